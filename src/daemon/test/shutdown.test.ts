import { describe, expect, test } from '@jest/globals';
import { Deferred, Effect, Fiber } from 'effect';
import { TestClock } from 'effect/testing';
import { type ShutdownResult, type ShutdownSteps, shutDown } from '../common/shutdown.js';

const LIMITS = { balancerDelayMs: 5_000, deadlineMs: 60_000 };

interface Harness {
	readonly executed: string[];
	readonly finishRequests: Effect.Effect<unknown>;
	readonly signal: Effect.Effect<unknown>;
	readonly result: Effect.Effect<ShutdownResult>;
}

/** Runs a shutdown in virtual time and passes its controls to a scenario. */
function inVirtualTime(scenario: (harness: Harness) => Effect.Effect<void>): Promise<void> {
	const program = Effect.gen(function* () {
		const executed: string[] = [];
		const idle = yield* Deferred.make<void>();
		const second = yield* Deferred.make<void>();
		const steps: ShutdownSteps = {
			announce: () => void executed.push('announce'),
			stopAccepting: () => void executed.push('stop accepting'),
			idle: Deferred.await(idle),
			abortRequests: () => executed.push('abort requests'),
			leave: Effect.sync(() => void executed.push('leave')),
		};
		const fiber = yield* Effect.forkChild(shutDown(steps, LIMITS, Deferred.await(second)));
		yield* TestClock.adjust(0);
		yield* scenario({
			executed,
			finishRequests: Deferred.succeed(idle, undefined),
			signal: Deferred.succeed(second, undefined),
			result: Fiber.join(fiber),
		});
	});
	return Effect.runPromise(Effect.provide(program, TestClock.layer()));
}

describe('shutDown', () => {
	// Guards against refusing connections while the load balancer still routes callers here, and against aborting a
	// stream.
	test('accepts requests during the balancer delay and then waits for the last request to end', () =>
		inVirtualTime(({ executed, finishRequests, result }) =>
			Effect.gen(function* () {
				yield* TestClock.adjust(LIMITS.balancerDelayMs - 1);
				expect(executed).toEqual(['announce']);
				yield* TestClock.adjust(LIMITS.deadlineMs - LIMITS.balancerDelayMs);
				expect(executed).toEqual(['announce', 'stop accepting']);
				yield* finishRequests;
				expect(yield* result).toEqual({ end: 'drained', cut: 0 });
				expect(executed).toEqual(['announce', 'stop accepting', 'leave']);
			}),
		));

	// Guards against an idle router that exits before the load balancer has detected the shutdown.
	test('waits for the balancer delay even without requests in progress', () =>
		inVirtualTime(({ executed, finishRequests }) =>
			Effect.gen(function* () {
				yield* finishRequests;
				yield* TestClock.adjust(LIMITS.balancerDelayMs - 1);
				expect(executed).toEqual(['announce']);
			}),
		));

	// Guards against a stuck request that keeps the process alive, and against an exit without sending verdicts.
	test.each([
		['deadline', TestClock.adjust(LIMITS.deadlineMs)],
		['second-signal', undefined],
	] as const)('ends the requests at the %s', (end, wait) =>
		inVirtualTime(({ executed, signal, result }) =>
			Effect.gen(function* () {
				yield* wait ?? signal;
				yield* TestClock.adjust(1_000);
				expect((yield* result).end).toBe(end);
				expect(executed.slice(-3)).toEqual(['stop accepting', 'abort requests', 'leave']);
			}),
		),
	);
});
