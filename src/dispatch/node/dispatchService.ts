import { Effect } from 'effect';
import type { BackendFailure, IAnswerSink, IBackendClient } from '../../backends/common/backendClient.js';
import { combineVerdicts, type Verdict } from '../../base/common/verdict.js';
import type { IConfigurationService } from '../../configuration/common/configurationService.js';
import type { ISlotService, Slot } from '../../scheduling/common/slotService.js';
import type { DispatchFailure, DispatchRequest, IDispatchService } from '../common/dispatchService.js';
import { CostMeter } from './costMeter.js';

const MAXIMUM_ATTEMPTS = 3;

/** Runs one request from the fair queue to its verdict. */
export class DispatchService implements IDispatchService {
	private constructor(
		private readonly configuration: IConfigurationService,
		private readonly slots: ISlotService,
		private readonly client: IBackendClient,
	) {}

	/**
	 * @param configuration backend servers
	 * @param slots fair queue
	 * @param client calls backend servers
	 * @returns a dispatch service
	 */
	public static create(
		configuration: IConfigurationService,
		slots: ISlotService,
		client: IBackendClient,
	): DispatchService {
		return new DispatchService(configuration, slots, client);
	}

	public dispatch(request: DispatchRequest, sink: IAnswerSink): Effect.Effect<void, DispatchFailure> {
		const self = this;
		return Effect.gen(function* () {
			let verdict: Verdict = 'not-run';
			for (let attempt = 1; ; attempt++) {
				const result = yield* Effect.result(self.attempt(request, sink));
				if (result._tag === 'Success') {
					return;
				}
				const { failure } = result;
				verdict = combineVerdicts(verdict, failure.verdict);
				request.onDidChangeVerdict?.(verdict);
				const safe = failure.verdict === 'not-run' || request.idempotent;
				if (failure.answerStarted || !safe || attempt >= MAXIMUM_ATTEMPTS) {
					return yield* Effect.fail({ ...failure, verdict });
				}
			}
		});
	}

	private attempt(request: DispatchRequest, sink: IAnswerSink): Effect.Effect<void, BackendFailure> {
		const wait = this.slots.acquire({
			pool: request.service.pool,
			account: request.account.id,
			service: request.service.id,
			costHint: request.costHint,
		});
		return Effect.flatMap(wait, (slot) => this.runOn(slot, request, sink));
	}

	private runOn(slot: Slot, request: DispatchRequest, sink: IAnswerSink): Effect.Effect<void, BackendFailure> {
		const server = this.configuration.current?.backendServers.find((item) => item.id === slot.backendServer);
		if (server === undefined) {
			slot.release(true);
			const message = `${slot.backendServer} is no longer configured`;
			return Effect.fail({ verdict: 'not-run', answerStarted: false, refused: true, message });
		}
		const meter = CostMeter.create(request, (costUnits) => slot.charge(costUnits));
		const metered: IAnswerSink = {
			head: (head) => sink.head(head),
			write: (chunk, resume) => {
				meter.write(chunk);
				return sink.write(chunk, resume);
			},
		};
		request.onDidChangeVerdict?.('may-have-run');
		const call = this.client.call(server, request.request, metered);
		return Effect.onExit(call, (exit) =>
			Effect.sync(() => {
				meter.end();
				slot.release(exit._tag === 'Failure');
			}),
		);
	}
}
