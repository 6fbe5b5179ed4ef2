import { describe, expect, test } from '@jest/globals';
import { Deferred, Effect, Fiber } from 'effect';
import { TestClock } from 'effect/testing';
import { type ShutdownResult, type ShutdownSteps, shutDown } from '../common/shutdown.js';

const LIMITS = { balancerDelayMs: 5_000, deadlineMs: 60_000 };

interface Harness {
	readonly done: string[];
	readonly finishRequests: Effect.Effect<unknown>;
	readonly signal: Effect.Effect<unknown>;
	readonly result: Effect.Effect<ShutdownResult>;
}

/** Runs a shutdown in virtual time and hands its controls to a scenario. */
function inVirtualTime(scenario: (harness: Harness) => Effect.Effect<void>): Promise<void> {
	const program = Effect.gen(function* () {
		const done: string[] = [];
		const idle = yield* Deferred.make<void>();
		const second = yield* Deferred.make<void>();
		const steps: ShutdownSteps = {
			announce: () => void done.push('announce'),
			stopAccepting: () => void done.push('stop accepting'),
			idle: Deferred.await(idle),
			abortRequests: () => done.push('end requests'),
			leave: Effect.sync(() => void done.push('leave')),
		};
		const fiber = yield* Effect.forkChild(shutDown(steps, LIMITS, Deferred.await(second)));
		yield* TestClock.adjust(0);
		yield* scenario({
			done,
			finishRequests: Deferred.succeed(idle, undefined),
			signal: Deferred.succeed(second, undefined),
			result: Fiber.join(fiber),
		});
	});
	return Effect.runPromise(Effect.provide(program, TestClock.layer()));
}

describe('shutDown', () => {
	// Guards against refused connections while the balancer still sends callers, and against cutting off a long stream.
	test('accepts during the balancer delay and then waits for the last request', () =>
		inVirtualTime(({ done, finishRequests, result }) =>
			Effect.gen(function* () {
				yield* TestClock.adjust(LIMITS.balancerDelayMs - 1);
				expect(done).toEqual(['announce']);
				yield* TestClock.adjust(LIMITS.deadlineMs - LIMITS.balancerDelayMs);
				expect(done).toEqual(['announce', 'stop accepting']);
				yield* finishRequests;
				expect(yield* result).toEqual({ end: 'drained', cut: 0 });
				expect(done).toEqual(['announce', 'stop accepting', 'leave']);
			}),
		));

	// Guards against an idle router that exits before the balancer has noticed.
	test('waits for the balancer even when nothing is in progress', () =>
		inVirtualTime(({ done, finishRequests }) =>
			Effect.gen(function* () {
				yield* finishRequests;
				yield* TestClock.adjust(LIMITS.balancerDelayMs - 1);
				expect(done).toEqual(['announce']);
			}),
		));

	// Guards against a process that a stuck request keeps alive for ever, and against ending without verdicts.
	test.each([
		['deadline', TestClock.adjust(LIMITS.deadlineMs)],
		['second-signal', undefined],
	] as const)('ends the requests at the %s', (end, wait) =>
		inVirtualTime(({ done, signal, result }) =>
			Effect.gen(function* () {
				yield* wait ?? signal;
				yield* TestClock.adjust(1_000);
				expect((yield* result).end).toBe(end);
				expect(done.slice(-3)).toEqual(['stop accepting', 'end requests', 'leave']);
			}),
		),
	);
});
