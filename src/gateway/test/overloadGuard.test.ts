import { describe, expect, test } from '@jest/globals';
import { LAG_SAMPLE_INTERVAL_MS, LoadShedder } from '../common/loadShedder.js';

/** CPU time of an accepted and of a refused request, in milliseconds. */
const ACCEPTED_MS = 8;
const REFUSED_MS = 0.6;

const ACCOUNT = 'harbour';

const never = (): boolean => false;
const always = (): boolean => true;

interface SimulationResult {
	readonly acceptedPerSecond: number;
	/** Longest time in milliseconds between the arrival and the reading of a request, in the last second. */
	readonly longestWaitMs: number;
}

/**
 * Simulates requests that arrive at a constant rate at a router with one CPU, which handles them one after the other.
 *
 * @param loadShedder load shedder of the router; undefined to accept all requests
 * @param perSecond requests per second
 * @param seconds duration of the simulation
 * @returns results of the last second
 */
function simulate(loadShedder: LoadShedder | undefined, perSecond: number, seconds: number): SimulationResult {
	const end = seconds * 1_000;
	const lastSecond = end - 1_000;
	let freeAt = 0;
	let nextTick = LAG_SAMPLE_INTERVAL_MS;
	let accepted = 0;
	let longestWaitMs = 0;
	for (let arrival = 0; arrival < end; arrival += 1_000 / perSecond) {
		for (; nextTick <= arrival; nextTick += LAG_SAMPLE_INTERVAL_MS) {
			const lagMs = Math.max(0, freeAt - nextTick);
			loadShedder?.recordLag(lagMs, nextTick + lagMs);
		}
		const readAt = Math.max(freeAt, arrival);
		const isAccepted = loadShedder === undefined || loadShedder.decide(ACCOUNT, readAt, never, never) === 'take';
		freeAt = readAt + (isAccepted ? ACCEPTED_MS : REFUSED_MS);
		if (arrival >= lastSecond) {
			accepted += isAccepted ? 1 : 0;
			longestWaitMs = Math.max(longestWaitMs, readAt - arrival);
		}
	}
	return { acceptedPerSecond: accepted, longestWaitMs };
}

describe('OverloadGuard', () => {
	// Guards against a queue of unread requests: a router with eight times its usual load read requests a second late, when
	// most callers had disconnected.
	test('a router that receives far more than it can process reads requests promptly and accepts part of them', () => {
		const limitedResult = simulate(LoadShedder.create(), 800, 10);
		expect(simulate(undefined, 800, 10).longestWaitMs).toBeGreaterThan(1_000);
		expect(limitedResult.longestWaitMs).toBeLessThan(150);
		// Refusing 730 requests takes 0.44 s, which leaves time for 70.
		expect(limitedResult.acceptedPerSecond).toBeGreaterThan(40);
	});

	test('a router below its limit accepts all requests', () => {
		expect(simulate(LoadShedder.create(), 100, 10).acceptedPerSecond).toBe(100);
	});

	test('the limit is removed when the overload has ended', () => {
		const loadShedder = LoadShedder.create();
		simulate(loadShedder, 800, 5);
		expect(loadShedder.requestsPerSecond).toBeLessThan(130);
		for (let now = 5_000; now < 12_000; now += LAG_SAMPLE_INTERVAL_MS) {
			loadShedder.recordLag(0, now);
			loadShedder.decide(ACCOUNT, now, never, never);
		}
		expect(loadShedder.requestsPerSecond).toBe(Infinity);
	});

	test('a single short pause limits no requests', () => {
		const loadShedder = LoadShedder.create();
		for (let now = 0; now < 1_000; now += 10) {
			loadShedder.decide(ACCOUNT, now, never, never);
		}
		loadShedder.recordLag(60, 1_060);
		expect(loadShedder.requestsPerSecond).toBe(Infinity);
	});

	// Guards against refusals that save no CPU time: each refused request was retried on a new connection, and refusing it
	// twice took as long as handing it over once.
	test('hands all requests over while callers would retry here, until the lag is too long', () => {
		const loadShedder = LoadShedder.create();
		loadShedder.recordLag(120, 1_000);
		expect(loadShedder.isLimiting).toBe(true);
		const decisions = Array.from({ length: 50 }, () => loadShedder.decide(ACCOUNT, 1_000, always, always));
		expect(new Set(decisions)).toEqual(new Set(['hand-over']));
		expect(Array.from({ length: 50 }, () => loadShedder.decide(ACCOUNT, 1_000, always, never))).toContain('refuse');
		for (let now = 1_250; now < 4_000; now += 250) {
			loadShedder.recordLag(250, now);
		}
		expect(Array.from({ length: 50 }, () => loadShedder.decide(ACCOUNT, 4_000, always, always))).toContain('refuse');
	});

	// Guards against a limit that one account uses up, so that another one with few requests is refused for its load.
	test('an account that sends less than an equal part of the limit is admitted beside one that sends many times as much', () => {
		const loadShedder = LoadShedder.create();
		const accepted = { flood: 0, small: 0 };
		for (let now = 0; now < 10_000; now++) {
			if (now % LAG_SAMPLE_INTERVAL_MS === 0) {
				loadShedder.recordLag(now < 2_000 ? 100 : 15, now);
			}
			accepted.flood += loadShedder.decide('flood', now, never, never) === 'take' ? 1 : 0;
			if (now >= 5_000 && now % 200 === 0) {
				accepted.small += loadShedder.decide('small', now, never, never) === 'take' ? 1 : 0;
			}
		}
		expect(loadShedder.isLimiting).toBe(true);
		expect(accepted.small).toBe(25);
	});

	// Guards against a limit that falls to its lower bound because requests wait for their turn, although the CPU could process more.
	test('requests that wait for their turn do not lower the limit', () => {
		const loadShedder = LoadShedder.create();
		let taken = 0;
		for (let now = 0; now < 10_000; now += 5) {
			if (now % LAG_SAMPLE_INTERVAL_MS === 0) {
				loadShedder.recordLag(5, now, 250);
			}
			taken += loadShedder.decide(ACCOUNT, now, never, never) === 'take' ? 1 : 0;
		}
		expect(loadShedder.isLimiting).toBe(true);
		expect(taken).toBeGreaterThan(0.9 * 2_000);
	});
});
