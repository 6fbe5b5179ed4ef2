import { Effect } from 'effect';

/** Maximum time in which the responses of aborted requests are flushed to their callers. */
const FLUSH_LIMIT_MS = 1_000;
/** Maximum time in which slots are returned and the scheduler role is handed over. */
const LEAVE_LIMIT_MS = 2_000;

/** Actions of a graceful shutdown on the components of a router. */
export interface ShutdownSteps {
	/** Makes the readiness check fail and asks callers not to reuse their connections. */
	readonly announce: () => void;
	/** Refuses new connections. */
	readonly stopAccepting: () => void;
	/** Completes when no request is in progress. */
	readonly idle: Effect.Effect<void>;
	/** Aborts the requests in progress, each with its verdict, and returns their number. */
	readonly abortRequests: () => number;
	/** Returns slots and hands over the scheduler role. */
	readonly leave: Effect.Effect<void>;
}

/** Limits from the settings, in milliseconds. */
export interface ShutdownLimits {
	readonly balancerDelayMs: number;
	readonly deadlineMs: number;
}

/** How a shutdown ended. */
export interface ShutdownResult {
	readonly end: 'drained' | 'deadline' | 'second-signal';
	/** Number of requests that were aborted before their response was complete. */
	readonly cut: number;
}

/**
 * Shuts a router down. It accepts requests until the load balancer has detected the failing readiness check, completes
 * its queued requests and streams, and then leaves the fleet. Only the deadline or a second signal aborts requests.
 *
 * @param steps actions on the components
 * @param limits balancer delay and deadline, both counted from the start of the shutdown
 * @param secondSignal completes when the operator requests an immediate shutdown
 * @returns how the shutdown ended
 */
export function shutDown(
	steps: ShutdownSteps,
	limits: ShutdownLimits,
	secondSignal: Effect.Effect<void>,
): Effect.Effect<ShutdownResult> {
	return Effect.gen(function* () {
		steps.announce();
		const forced = Effect.raceFirst(
			Effect.as(Effect.sleep(limits.deadlineMs), 'deadline' as const),
			Effect.as(secondSignal, 'second-signal' as const),
		);
		const end = yield* Effect.raceFirst(drain(steps, limits), forced);
		let cut = 0;
		if (end !== 'drained') {
			steps.stopAccepting();
			cut = steps.abortRequests();
			yield* Effect.timeoutOption(steps.idle, FLUSH_LIMIT_MS);
		}
		yield* Effect.timeoutOption(steps.leave, LEAVE_LIMIT_MS);
		return { end, cut };
	});
}

function drain(steps: ShutdownSteps, limits: ShutdownLimits): Effect.Effect<'drained'> {
	return Effect.gen(function* () {
		yield* Effect.sleep(limits.balancerDelayMs);
		steps.stopAccepting();
		yield* steps.idle;
		return 'drained' as const;
	});
}
