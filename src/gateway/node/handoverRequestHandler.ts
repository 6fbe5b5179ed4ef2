import { Effect } from 'effect';
import type { BackendFailure, IAttemptSink, IBackendClient } from '../../backends/common/backendClient.js';
import type { IClock } from '../../base/common/clock.js';
import { CONNECTION_HEADERS, HANDED_OVER_HEADER, passedHeaders } from '../../base/common/headerFields.js';
import { combineVerdicts, type Verdict } from '../../base/common/verdict.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import { formatAddress } from '../../settings/common/settings.js';
import type { AcceptedRequest } from '../common/acceptedRequest.js';
import { encodeHandoverHeader } from '../common/handoverHeader.js';
import type { Neighbour, NeighbourSelector } from '../common/neighbourSelector.js';
import { REROUTED_RETRY_MS } from '../common/rotationController.js';
import type { GatewayResponse } from './gatewayResponse.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { IRequestHandler } from './requestHandler.js';

/** What handing over needs. */
export interface HandoverContext {
	readonly clock: IClock;
	/** Calls other routers; their refusals say that the request was not started. */
	readonly client: IBackendClient;
	readonly neighbours: NeighbourSelector;
	readonly log: IDecisionLog;
	readonly metrics: GatewayMetrics;
}

/** Routers that are asked to run one request. */
const MOST_ROUTERS = 2;

/** Time for the answer of a router that ends a request at its limit to arrive. */
const ANSWER_MARGIN_MS = 100;

const BAD_GATEWAY = 502;
const SERVICE_UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;

const NOT_HANDED_OVER: ReadonlySet<string> = new Set([...CONNECTION_HEADERS, 'content-length', 'expect', 'host']);

/** Lets another router run a request, and passes its answer on. */
export class HandoverRequestHandler implements IRequestHandler {
	private verdict: Verdict = 'not-run';
	/** The request was sent and its end is not known. */
	private inProgress = false;
	private routersAsked = 0;
	private status = 0;
	private reason = '';

	private constructor(
		private readonly context: HandoverContext,
		private readonly request: AcceptedRequest,
		private readonly answer: GatewayResponse,
	) {}

	/**
	 * @param context parts of the router
	 * @param request to hand over
	 * @param answer receives the answer
	 * @returns a run that has not begun
	 */
	public static create(
		context: HandoverContext,
		request: AcceptedRequest,
		answer: GatewayResponse,
	): HandoverRequestHandler {
		return new HandoverRequestHandler(context, request, answer);
	}

	public run(): Effect.Effect<void> {
		const { routing, fields, arrivedAt } = this.request;
		const limitMs = Math.min(fields.deadlineMs ?? Infinity, routing.route.timeoutMs) + ANSWER_MARGIN_MS;
		return this.askRouters().pipe(
			Effect.catchDefect((defect) => Effect.sync(() => this.endUnexpectedly(defect))),
			Effect.timeoutOption(limitMs - (this.context.clock.now() - arrivedAt)),
			Effect.map((result) => {
				if (result._tag === 'None') {
					this.sendUnfinished('deadline', GATEWAY_TIMEOUT);
				}
			}),
			Effect.onExit((exit) => Effect.sync(() => this.finish(exit._tag === 'Failure'))),
		);
	}

	public abort(): void {
		this.sendUnfinished('shutting-down', BAD_GATEWAY);
	}

	/** An error of the router's own ends the request that it belongs to. */
	private endUnexpectedly(defect: unknown): void {
		this.context.log.write('request-failed-unexpectedly', {
			id: this.request.fields.id,
			reason: defect instanceof Error ? defect.stack : String(defect),
		});
		this.sendUnfinished('internal-error', BAD_GATEWAY);
	}

	private askRouters(): Effect.Effect<void> {
		const self = this;
		const { neighbours, clock } = this.context;
		return Effect.gen(function* () {
			for (;;) {
				const neighbour = self.routersAsked < MOST_ROUTERS ? neighbours.select(clock.now()) : undefined;
				if (neighbour === undefined) {
					self.sendUnfinished('overloaded', BAD_GATEWAY);
					return;
				}
				self.routersAsked++;
				const result = yield* Effect.result(self.ask(neighbour));
				self.inProgress = false;
				if (result._tag === 'Success') {
					self.verdict = 'completed';
					self.answer.end();
					return;
				}
				const failure = result.failure;
				self.verdict = combineVerdicts(self.verdict, failure.verdict);
				self.noteFailure(neighbour, failure);
				if (self.verdict !== 'not-run') {
					self.sendUnfinished(`router-${failure.kind}`, BAD_GATEWAY);
					return;
				}
			}
		});
	}

	private ask(neighbour: Neighbour): Effect.Effect<void, BackendFailure> {
		const { request, answer } = this;
		const { client, clock } = this.context;
		const sink: IAttemptSink = {
			sent: () => (this.inProgress = true),
			head: (head) => {
				this.status = head.status;
				answer.head(head);
			},
			write: (chunk, resume) => answer.write(chunk, resume),
		};
		const outgoing = {
			method: request.method,
			path: request.target,
			authority: request.host,
			headers: handedOverHeaders(request, clock.now() - request.arrivedAt),
			body: request.body,
		};
		return client.call({ id: neighbour.instance, url: `http://${formatAddress(neighbour.address)}` }, outgoing, sink);
	}

	private noteFailure(neighbour: Neighbour, { kind, verdict, message }: BackendFailure): void {
		const { neighbours, clock, log } = this.context;
		neighbours.rest(neighbour.instance, clock.now());
		log.write('handover-failed', {
			id: this.request.fields.id,
			router: neighbour.instance,
			kind,
			verdict,
			reason: message,
		});
	}

	private sendUnfinished(code: string, statusAfterSending: number): void {
		const verdict = combineVerdicts(this.verdict, this.inProgress ? 'may-have-run' : 'not-run');
		const notRun = verdict === 'not-run';
		const status = notRun ? SERVICE_UNAVAILABLE : statusAfterSending;
		this.reason = code;
		if (!this.answer.hasHead) {
			this.status = status;
		}
		this.answer.sendLocal({ status, code, verdict, retryAfterMs: notRun ? REROUTED_RETRY_MS : undefined });
	}

	private finish(isInterrupted: boolean): void {
		const { clock, log, metrics } = this.context;
		const { fields, routing, arrivedAt } = this.request;
		const reason = isInterrupted && this.reason === '' ? 'caller-left' : this.reason;
		metrics.countHandover(routing.service, reason);
		log.write('handed-over', {
			id: fields.id,
			account: routing.account?.name,
			service: routing.service,
			routers: this.routersAsked,
			status: this.status,
			reason,
			verdict: this.verdict,
			totalMs: Math.round(clock.now() - arrivedAt),
		});
	}
}

function handedOverHeaders(
	{ headers, configurationVersion }: AcceptedRequest,
	elapsedMs: number,
): Record<string, string | readonly string[]> {
	const passed = passedHeaders(headers, (name) => NOT_HANDED_OVER.has(name));
	passed[HANDED_OVER_HEADER] = encodeHandoverHeader({ elapsedMs, configurationVersion });
	return passed;
}
