import { Effect } from 'effect';

/** Bound of the time in which answers of ended requests reach their callers. */
const FLUSH_LIMIT_MS = 1_000;
/** Bound of the time in which slots are returned and the scheduler role is handed over. */
const LEAVE_LIMIT_MS = 2_000;

/** What a graceful shutdown does to the parts of a router. */
export interface ShutdownSteps {
	/** Makes readiness fail and tells callers not to reuse their connections. */
	readonly announce: () => void;
	/** Refuses new connections. */
	readonly stopAccepting: () => void;
	/** Completes when no request is in progress. */
	readonly idle: Effect.Effect<void>;
	/** Ends the requests in progress, each with its verdict, and returns their number. */
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
	/** Requests that were ended before their answer was complete. */
	readonly cut: number;
}

/**
 * Shuts a router down: it goes on accepting until the balancer has noticed, runs its queue and streams to the end, and
 * then leaves. Requests are cut off only by the deadline or a second signal.
 *
 * @param steps what to do to the parts
 * @param limits balancer delay and deadline, both counted from the start
 * @param secondSignal completes when the operator does not want to wait any longer
 * @returns how it ended
 */
export function shutDown(
	steps: ShutdownSteps,
	limits: ShutdownLimits,
	secondSignal: Effect.Effect<void>,
): Effect.Effect<ShutdownResult> {
	return Effect.gen(function* () {
		steps.announce();
		const impatient = Effect.raceFirst(
			Effect.as(Effect.sleep(limits.deadlineMs), 'deadline' as const),
			Effect.as(secondSignal, 'second-signal' as const),
		);
		const end = yield* Effect.raceFirst(drain(steps, limits), impatient);
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
