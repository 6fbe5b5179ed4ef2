import { Effect } from 'effect';
import type {
	BackendFailure,
	BackendRequest,
	IAttemptSink,
	IBackendClient,
} from '../../backends/common/backendClient.js';
import type { CrashSuspects } from '../../backends/common/crashSuspects.js';
import { ServerCooldowns } from '../../backends/common/serverCooldowns.js';
import type { IClock } from '../../base/common/clock.js';
import type { IConfigurationService } from '../../configuration/common/configurationService.js';
import type { BackendServer } from '../../configuration/common/model.js';
import type { Slot } from '../../scheduling/common/slotService.js';
import { CostMeter } from '../common/costMeter.js';
import type { Job } from './job.js';

/** Time for which this router does not use a server after a refusal, as the server probably has no free slot. */
const REFUSED_COOLDOWN_MS = 50;

/** Time for which this router does not use a server after a failed connection. */
const UNREACHABLE_COOLDOWN_MS = 250;

/** Interval at which running calls to plain services are charged. */
const CHARGE_INTERVAL_MS = 100;

/** A slot on which a request may run. */
export interface UsableSlot {
	readonly slot: Slot;
	readonly server: BackendServer;
	/** Whether the request is a suspect that this router has claimed, with the server reserved for it. */
	readonly suspect: boolean;
}

/** Dependencies of attempts. */
export interface AttemptRunnerOptions {
	readonly configuration: IConfigurationService;
	readonly client: IBackendClient;
	readonly suspects: CrashSuspects;
	readonly clock: IClock;
}

/** Runs single attempts on slots. */
export class AttemptRunner {
	private readonly running = new Set<CostMeter>();
	private readonly servers: ServerCooldowns;
	private chargeTimer: NodeJS.Timeout | undefined;

	private constructor(private readonly options: AttemptRunnerOptions) {
		this.servers = ServerCooldowns.create(options.clock);
	}

	/**
	 * @param options dependencies
	 * @returns a runner without running attempts
	 */
	public static create(options: AttemptRunnerOptions): AttemptRunner {
		return new AttemptRunner(options);
	}

	/**
	 * Checks whether a request may run on a slot, and releases the slot if it may not.
	 *
	 * @param slot slot that was assigned to the request
	 * @param job the request
	 * @param suspect whether the request is a suspect that this router has claimed
	 * @returns the usable slot, or undefined when the request needs another one
	 */
	public tryPrepare(slot: Slot, job: Job, suspect: boolean): UsableSlot | undefined {
		const { configuration } = this.options;
		const server = configuration.current?.backendServers.find((item) => item.id === slot.backendServer);
		if (server === undefined) {
			slot.release(true);
			return undefined;
		}
		const cooldownMs = this.remainingCooldownMs(job, server);
		if (cooldownMs > 0) {
			// If released at once, the slot would be assigned to the same request again while no other one is free.
			releaseLater(slot, cooldownMs);
			return undefined;
		}
		if (suspect && !this.options.suspects.tryReserveServer(server.id)) {
			releaseLater(slot, REFUSED_COOLDOWN_MS);
			return undefined;
		}
		return { slot, server, suspect };
	}

	/**
	 * Makes one attempt at the request. The slot is released when the attempt ends.
	 *
	 * @param usable result of {@link tryPrepare}
	 * @param job the request
	 * @param request request to send
	 * @param restore makes the call itself interruptible
	 * @returns undefined after a complete response, otherwise the failure
	 */
	public run(
		usable: UsableSlot,
		job: Job,
		request: BackendRequest,
		restore: <A, E>(effect: Effect.Effect<A, E>) => Effect.Effect<A, E>,
	): Effect.Effect<BackendFailure | undefined> {
		return Effect.suspend(() => {
			const { slot, server } = usable;
			const meter = CostMeter.create(job.request.service.kind, this.options.clock, (cost) => slot.charge(cost));
			this.startMetering(meter);
			const attempt = new RelayedAttempt(job, meter);
			const call = Effect.match(restore(this.options.client.call(server, request, attempt)), {
				onSuccess: () => attempt.checkEnd(server.id),
				onFailure: (failure) => {
					this.recordFailure(failure, server, job);
					return failure;
				},
			});
			return Effect.onExit(call, (exit) =>
				Effect.sync(() => {
					this.stopMetering(meter);
					meter.chargeElapsedTime();
					const failure = exit._tag === 'Success' ? exit.value : undefined;
					this.end(usable, job, failure, exit._tag === 'Success');
				}),
			);
		});
	}

	/**
	 * Releases a slot that was not used.
	 *
	 * @param usable result of {@link tryPrepare}
	 * @param job the request
	 */
	public releaseUnused(usable: UsableSlot, job: Job): void {
		this.releaseSuspect(usable, job);
		usable.slot.release(true);
	}

	private releaseSuspect(usable: UsableSlot, job: Job): void {
		if (usable.suspect) {
			this.options.suspects.releaseServer(usable.server.id);
			this.options.suspects.releaseClaim(job.fingerprint);
		}
	}

	// A request is tried on each server of its pool once before it is tried again on one where it failed.
	private remainingCooldownMs(job: Job, server: BackendServer): number {
		if (job.failedServers.has(server.id)) {
			const servers = this.options.configuration.current?.backendServers ?? [];
			if (servers.some((item) => item.pool === server.pool && !job.failedServers.has(item.id))) {
				return Math.max(REFUSED_COOLDOWN_MS, this.servers.remainingMs(server.id));
			}
		}
		return this.servers.remainingMs(server.id);
	}

	private recordFailure(failure: BackendFailure, server: BackendServer, job: Job): void {
		if (failure.kind === 'broken') {
			this.options.suspects.recordCrash(job.fingerprint);
		} else if (failure.kind === 'unreachable') {
			this.servers.start(server.id, UNREACHABLE_COOLDOWN_MS);
		} else if (failure.kind === 'refused') {
			this.servers.start(server.id, REFUSED_COOLDOWN_MS);
		}
	}

	private end(usable: UsableSlot, job: Job, failure: BackendFailure | undefined, ended: boolean): void {
		const { suspects } = this.options;
		const { slot, server } = usable;
		if (suspects.hasSuspects && ended && failure === undefined) {
			suspects.recordCompletion(job.fingerprint);
		}
		this.releaseSuspect(usable, job);
		if (failure === undefined) {
			slot.release(false);
			return;
		}
		// If released at once, the slot would be assigned to another request, which the same server cannot run either.
		job.failedServers.add(server.id);
		releaseLater(slot, this.servers.remainingMs(server.id));
	}

	private startMetering(meter: CostMeter): void {
		this.running.add(meter);
		this.chargeTimer ??= setInterval(
			() => this.running.forEach((item) => item.chargeElapsedTime()),
			CHARGE_INTERVAL_MS,
		);
	}

	private stopMetering(meter: CostMeter): void {
		this.running.delete(meter);
		if (this.running.size === 0) {
			clearInterval(this.chargeTimer);
			this.chargeTimer = undefined;
		}
	}
}

class RelayedAttempt implements IAttemptSink {
	private accepted = false;
	private readonly countTokens = (count: number): void => this.meter.chargeTokens(count);

	public constructor(
		private readonly job: Job,
		private readonly meter: CostMeter,
	) {}

	public sent(): void {
		this.job.markSent();
		this.meter.start();
	}

	public head(head: Parameters<IAttemptSink['head']>[0]): void {
		this.accepted = this.job.relay.begin(head);
		this.meter.chargePrompt(this.job.request.request.body.length);
	}

	public write(chunk: Uint8Array, resume: () => void): boolean {
		return !this.accepted || this.job.relay.write(chunk, resume, this.countTokens);
	}

	public findFault(): string | undefined {
		return this.accepted ? this.job.relay.findFault() : 'did not resume the stream';
	}

	public hasEndMarker(): boolean {
		return this.accepted && this.job.relay.hasEndMarker();
	}

	public checkEnd(server: string): BackendFailure | undefined {
		if (this.accepted && this.job.relay.isComplete()) {
			return undefined;
		}
		const message = this.accepted ? 'ended the stream without its end marker' : 'did not resume the stream';
		return { kind: 'broken', verdict: 'may-have-run', message: `backend server ${server}: ${message}` };
	}
}

function releaseLater(slot: Slot, delayMs: number): void {
	if (delayMs <= 0) {
		slot.release(true);
		return;
	}
	setTimeout(() => slot.release(true), delayMs).unref();
}
