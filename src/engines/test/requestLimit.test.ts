import { describe, expect, test } from '@jest/globals';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { shortKey } from '../../base/common/shortKey.js';
import { VirtualTime } from '../../base/test/virtualTime.js';
import type { PromptWork } from '../common/engineChoice.js';
import { EngineFleet } from '../common/engineFleet.js';
import { RequestLimit } from '../common/requestLimit.js';
import { engineWith, reservationWith, SERVICE } from './engineFixture.js';

const WORK: PromptWork = { parts: [], promptTokens: 200, tokensPerEvent: 5, pauseAimMs: 500 };
const NO_SERVERS: ReadonlySet<string> = new Set();
const WINDOW_MS = 4_000;

/** A server may receive this many times its limit in a window, and some requests more. */
const TOLERANCE = 1.5;
const SLACK = 5;

/** Fraction of a limit that has to be used while requests wait. */
const LEAST_USED_FRACTION = 0.9;

function fleetOf(router: string): EngineFleet {
	const fleet = EngineFleet.create(router, 'a');
	fleet.setServers([engineWith('engine-1')], 0);
	return fleet;
}

function limitOf(requestsPerSecond: number | undefined): Parameters<EngineFleet['recordRequestLimit']>[0] {
	return { server: 'engine-1', startedAt: 1, requestsPerSecond };
}

interface ReplayOptions {
	readonly routers: number;
	readonly limit: (now: number) => number;
	/** Delay in milliseconds after which a placement reaches the other routers. */
	readonly exchangeDelayMs: number;
	readonly lossRate?: number;
	readonly seed: number;
}

/**
 * Replays requests that arrive every 4 ms at random routers of a small fleet, and are sent to one limited engine whenever
 * it may take them. Each response names the limit.
 *
 * @returns times in milliseconds at which the engine received a request
 */
function replaySmallFleet({ routers, limit, exchangeDelayMs, lossRate = 0, seed }: ReplayOptions): readonly number[] {
	const generator = xoroshiro128plus(seed);
	const random = (): number => uniformFloat64(generator);
	const time = VirtualTime.create();
	const fleets = Array.from({ length: routers }, (_, index) => fleetOf(`router-${index}`));
	const received: number[] = [];
	const others = (fleet: EngineFleet, at: number, apply: (other: EngineFleet, now: number) => void): void => {
		fleets
			.filter((other) => other !== fleet && random() >= lossRate)
			.forEach((other) => time.schedule(at + exchangeDelayMs * (0.2 + 0.8 * random()), (now) => apply(other, now)));
	};
	fleets.forEach((fleet, index) => {
		fleet.recordRequestLimit(limitOf(limit(0)), 0, 0);
		fleet.onDidPlace((notice) =>
			others(fleet, notice.at, (other, now) =>
				other.applyPlacement(`router-${index}`, { ...notice, server: shortKey(notice.server) }, now),
			),
		);
		fleet.onDidReceiveFirstEvent((notice) =>
			others(fleet, notice.at, (other, now) =>
				other.applyFirstEvent(`router-${index}`, { ...notice, server: shortKey(notice.server) }, now),
			),
		);
	});
	for (let at = 0; at < 20_000; at += 4) {
		time.schedule(at, (now) => {
			const fleet = fleets[Math.floor(random() * routers)];
			const [option] = fleet?.rankedOptions(SERVICE, WORK, NO_SERVERS, now) ?? [];
			if (fleet === undefined || option?.health.usable !== true) {
				return;
			}
			const sequence = fleet.place(option, WORK, now);
			received.push(now);
			time.schedule(now + 20, (later) => {
				fleet.recordFirstEvent('engine-1', sequence, later);
				fleet.recordRequestLimit(limitOf(limit(later)), now, later);
				others(fleet, later, (other, heardAt) =>
					other.applyRequestLimit(shortKey('engine-1'), limitOf(limit(later)), heardAt),
				);
			});
		});
	}
	time.runUntil(20_000);
	return received;
}

function mostInWindow(times: readonly number[]): number {
	return Math.max(0, ...times.map((from) => times.filter((at) => at >= from && at < from + WINDOW_MS).length));
}

describe('the limit that a server names', () => {
	// Guards against routers that each send up to the whole limit: 8 times as much from 8 routers.
	test.each([0.4, 1, 3.7, 8, 40])('of %d a second is kept by all routers together, and used', (limit) => {
		for (const routers of [1, 8, 16]) {
			for (let seed = 1; seed <= 5; seed++) {
				const received = replaySmallFleet({ routers, limit: () => limit, exchangeDelayMs: 50, seed });
				expect(mostInWindow(received)).toBeLessThanOrEqual(TOLERANCE * 4 * limit + SLACK);
				expect(received.length).toBeGreaterThanOrEqual(Math.floor(LEAST_USED_FRACTION * 20 * limit));
			}
		}
	});

	test('is kept when a fifth of the datagrams are lost', () => {
		for (let seed = 1; seed <= 5; seed++) {
			const received = replaySmallFleet({ routers: 8, limit: () => 6, exchangeDelayMs: 50, lossRate: 0.2, seed });
			expect(mostInWindow(received)).toBeLessThanOrEqual(TOLERANCE * 4 * 6 + SLACK);
		}
	});

	test('is kept when it falls, and used when it rises', () => {
		const limit = (now: number): number => (now < 8_000 ? 7.6 : now < 14_000 ? 1 : 12);
		const received = replaySmallFleet({ routers: 8, limit, exchangeDelayMs: 50, seed: 1 });
		const whileLow = received.filter((at) => at >= 8_000 && at < 14_000);
		expect(mostInWindow(whileLow)).toBeLessThanOrEqual(TOLERANCE * 4 + SLACK);
		const afterwards = received.filter((at) => at >= 16_000).length;
		expect(afterwards).toBeGreaterThanOrEqual(LEAST_USED_FRACTION * 4 * 12);
	});

	// Guards against a part of one request for each of many routers, and against a keeper that does not count.
	test('is kept by the router that owns the queue of the server in a large fleet', () => {
		const owner = EngineFleet.create('router-0', 'a', { ownsQueueOf: () => true, queueGroupOf: () => 0 });
		owner.setServers([engineWith('engine-1')], 0);
		owner.applyRequestLimit(shortKey('engine-1'), limitOf(2), 0);
		const received: number[] = [];
		for (let now = 0; now < 20_000; now += 2) {
			const answer = owner.reserve(`router-${now % 195}`, reservationWith(WORK, { sequence: now, limitMs: 500 }), now);
			if (answer?.server !== undefined) {
				owner.applyFirstEvent(
					`router-${now % 195}`,
					{ server: shortKey('engine-1'), sequence: now, abandoned: false },
					now,
				);
				received.push(now);
			}
		}
		expect(mostInWindow(received)).toBeLessThanOrEqual(TOLERANCE * 4 * 2 + SLACK);
		expect(received.length).toBeGreaterThanOrEqual(LEAST_USED_FRACTION * 40);
	});

	test('excludes the server at routers that do not hear the owner of its queue', () => {
		const fleet = EngineFleet.create('router-1', 'a', { ownsQueueOf: () => false, queueGroupOf: () => 0 });
		fleet.setServers([engineWith('engine-1')], 0);
		fleet.recordRequestLimit(limitOf(5), 0, 0);
		const [option] = fleet.rankedOptions(SERVICE, WORK, NO_SERVERS, 100);
		expect(option?.health.usable).toBe(false);
		expect(option?.isLimited).toBe(true);
	});

	test('is known to a router that becomes the owner of the queue from the reports of the former one', () => {
		let owns = false;
		const fleet = EngineFleet.create('router-1', 'a', { ownsQueueOf: () => owns, queueGroupOf: () => 0 });
		fleet.setServers([engineWith('engine-1')], 0);
		const report = { waitMs: 0, pace: 1, load: 0, inProgress: 0, failureRate: 0, suspendedMs: 0 };
		fleet.applyReport(shortKey('engine-1'), { ...report, requestsPerSecond: 3 }, 0);
		owns = true;
		expect(fleet.requestLimits).toEqual([limitOf(3)]);
		// A report of another router that takes itself for the owner does not end the limit.
		fleet.applyReport(shortKey('engine-1'), report, 100);
		expect(fleet.requestLimits).toEqual([limitOf(3)]);
	});

	test('ends with a response without one, but not with one to a request that was sent before', () => {
		const fleet = fleetOf('router-1');
		fleet.recordRequestLimit(limitOf(5), 0, 100);
		fleet.recordRequestLimit(limitOf(undefined), 50, 200);
		expect(fleet.requestLimits).toHaveLength(1);
		fleet.recordRequestLimit(limitOf(undefined), 150, 300);
		expect(fleet.requestLimits).toHaveLength(0);
	});

	test('belongs to the incarnation of the server that named it', () => {
		const fleet = fleetOf('router-1');
		fleet.recordRequestLimit(limitOf(5), 0, 0);
		fleet.setServers([engineWith('engine-1', { startedAt: 2 })], 1_000);
		expect(fleet.requestLimits).toEqual([]);
		fleet.applyRequestLimit(shortKey('engine-1'), limitOf(5), 1_100);
		expect(fleet.requestLimits).toEqual([]);
	});

	test('is told to peers when it changes and again while it lasts', () => {
		const fleet = fleetOf('router-1');
		const told: (number | undefined)[] = [];
		fleet.onDidReceiveRequestLimit(({ requestsPerSecond }) => told.push(requestsPerSecond));
		for (let now = 0; now < 1_000; now += 10) {
			fleet.recordRequestLimit(limitOf(5), now, now);
		}
		fleet.recordRequestLimit(limitOf(undefined), 1_000, 1_010);
		expect(told.length).toBeGreaterThanOrEqual(3);
		expect(told.length).toBeLessThanOrEqual(5);
		expect(told.at(-1)).toBeUndefined();
	});

	// Guards against a limit that is never lifted, since no response can end it.
	test('of 0 leaves a few requests whose responses can end it', () => {
		const limit = RequestLimit.create();
		limit.apply(0, 0, 1);
		limit.recordRequest(0);
		expect(limit.blockedMs(10)).toBeGreaterThan(0);
		expect(limit.blockedMs(10)).toBeLessThanOrEqual(10_000);
	});

	// Guards against two halves of a divided fleet that each use the whole limit.
	test('is used in part by a router that does not hear all others', () => {
		const times = [0.25, 1].map((heardFraction) => {
			const limit = RequestLimit.create(
				() => heardFraction,
				() => 0,
			);
			limit.apply(4, 0, 1);
			limit.recordRequest(1_000);
			return limit.blockedMs(1_000);
		});
		expect(times).toEqual([750, 0]);
	});

	test('leaves the fraction of the capacity that it takes away, by the requests before', () => {
		const limit = RequestLimit.create();
		for (let now = 0; now < 2_000; now += 100) {
			limit.recordRequest(now);
		}
		limit.apply(5, 2_000, 0.65);
		// The rate before is exact to one of 16 parts of its window and to one request.
		expect(Math.abs(limit.remainingFraction - 0.5)).toBeLessThan(0.1);
		limit.apply(2.5, 2_100, 0.65);
		expect(Math.abs(limit.remainingFraction - 0.25)).toBeLessThan(0.05);
		limit.end(2_200, 2_200);
		expect(limit.remainingFraction).toBe(1);
	});
});
