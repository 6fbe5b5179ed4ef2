import { describe, expect, test } from '@jest/globals';
import { LAG_SAMPLE_INTERVAL_MS, LoadShedder } from '../common/loadShedder.js';

/** Processor time of a request that is taken and of one that is refused, in milliseconds. */
const TAKEN_MS = 8;
const REFUSED_MS = 0.6;

const never = (): boolean => false;
const always = (): boolean => true;

interface Replay {
	readonly takenPerSecond: number;
	/** Longest time that a request waited to be read in the last second, in milliseconds. */
	readonly longestWaitMs: number;
}

/**
 * Replays requests that arrive evenly at a router with one processor, which handles them one after the other.
 *
 * @param guard of the router; undefined takes all requests
 * @param perSecond requests that arrive in a second
 * @param seconds for which they do
 * @returns what the last second looked like
 */
function replay(guard: LoadShedder | undefined, perSecond: number, seconds: number): Replay {
	const end = seconds * 1_000;
	const lastSecond = end - 1_000;
	let freeAt = 0;
	let nextTick = LAG_SAMPLE_INTERVAL_MS;
	let taken = 0;
	let longestWaitMs = 0;
	for (let arrival = 0; arrival < end; arrival += 1_000 / perSecond) {
		for (; nextTick <= arrival; nextTick += LAG_SAMPLE_INTERVAL_MS) {
			const lateMs = Math.max(0, freeAt - nextTick);
			guard?.recordLag(lateMs, nextTick + lateMs);
		}
		const readAt = Math.max(freeAt, arrival);
		const admits = guard === undefined || guard.decide(readAt, never, never) === 'take';
		freeAt = readAt + (admits ? TAKEN_MS : REFUSED_MS);
		if (arrival >= lastSecond) {
			taken += admits ? 1 : 0;
			longestWaitMs = Math.max(longestWaitMs, readAt - arrival);
		}
	}
	return { takenPerSecond: taken, longestWaitMs };
}

describe('OverloadGuard', () => {
	// A router with eight times the usual requests read them a second late, when most callers had left.
	test('a router that gets far more than it can do reads what arrives at once and takes what it can', () => {
		const guarded = replay(LoadShedder.create(), 800, 10);
		expect(replay(undefined, 800, 10).longestWaitMs).toBeGreaterThan(1_000);
		expect(guarded.longestWaitMs).toBeLessThan(150);
		// Refusing 730 requests takes 0.44 s, which leaves time for 70.
		expect(guarded.takenPerSecond).toBeGreaterThan(40);
	});

	test('a router below its limit takes everything', () => {
		expect(replay(LoadShedder.create(), 100, 10).takenPerSecond).toBe(100);
	});

	test('the limit ends with the overload', () => {
		const guard = LoadShedder.create();
		replay(guard, 800, 5);
		expect(guard.requestsPerSecond).toBeLessThan(130);
		for (let now = 5_000; now < 12_000; now += LAG_SAMPLE_INTERVAL_MS) {
			guard.recordLag(0, now);
			guard.decide(now, never, never);
		}
		expect(guard.requestsPerSecond).toBe(Infinity);
	});

	test('a single pause limits nothing for long', () => {
		const guard = LoadShedder.create();
		for (let now = 0; now < 1_000; now += 10) {
			guard.decide(now, never, never);
		}
		guard.recordLag(60, 1_060);
		expect(guard.requestsPerSecond).toBe(Infinity);
	});

	// Each refused request came back on a new connection, and refusing twice took as long as handing over once.
	test('hands over everything while callers would come back, until requests wait too long', () => {
		const guard = LoadShedder.create();
		guard.recordLag(120, 1_000);
		expect(guard.isLimiting).toBe(true);
		const decisions = Array.from({ length: 50 }, () => guard.decide(1_000, always, always));
		expect(new Set(decisions)).toEqual(new Set(['hand-over']));
		expect(Array.from({ length: 50 }, () => guard.decide(1_000, always, never))).toContain('refuse');
		for (let now = 1_250; now < 4_000; now += 250) {
			guard.recordLag(250, now);
		}
		expect(Array.from({ length: 50 }, () => guard.decide(4_000, always, always))).toContain('refuse');
	});
});
