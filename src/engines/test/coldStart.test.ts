import { describe, expect, test } from '@jest/globals';
import type { PromptWork } from '../common/engineChoice.js';
import { EngineFleet } from '../common/engineFleet.js';
import { shortKey } from '../../base/common/shortKey.js';
import { engineWith, SERVICE } from './engineFixture.js';

const ROUTERS = 40;
const REQUESTS_PER_SECOND = 11;

/** The platform's bound, as a multiple of what a server bears. */
const EXCESS = 1.5;

const COLD_MS = 3_000;
const WORK: PromptWork = { parts: [], promptTokens: 200, tokensPerEvent: 5, pauseAimMs: 500 };

/** Fleet of the router that keeps the queues of all engines. */
function keeperOf(ids: readonly string[]): EngineFleet {
	const fleet = EngineFleet.create('router-0', 'a', { ownsQueueOf: () => true, queueGroupOf: () => 0 });
	fleet.setServers(
		ids.map((id) => engineWith(id)),
		0,
	);
	return fleet;
}

/**
 * Asks for a place every 2 ms for 5 s, each time for another router, and reads each prompt at once.
 *
 * @returns moments in milliseconds at which the cold engine got a request
 */
function replay(fleet: EngineFleet, cold: string): readonly number[] {
	const moments: number[] = [];
	for (let now = 0; now < 5_000; now += 2) {
		const router = `router-${now % ROUTERS}`;
		const answer = fleet.reserve(
			router,
			{
				work: WORK,
				failureDomain: 'a',
				connected: [shortKey(cold)],
				service: shortKey(SERVICE),
				excluded: [],
				sequence: now,
				claim: { account: 0, cost: 0 },
				limitMs: 500,
				maximumLoad: 1,
				maximumRereadTokens: Infinity,
			},
			now,
		);
		if (answer?.server !== undefined) {
			fleet.applyFirstEvent(router, { server: shortKey(answer.server), sequence: now, abandoned: false }, now);
			moments.push(...(answer.server === cold ? [now] : []));
		}
	}
	return moments;
}

/** Most moments within one second. */
function mostInASecond(moments: readonly number[]): number {
	return Math.max(0, ...moments.map((from) => moments.filter((at) => at >= from && at < from + 1_000).length));
}

describe('a cold server', () => {
	// It looked idle, so all routers chose it: 22 to 25 requests in a second where it bears 11.
	test('gets no more requests in a second than it bears, of all routers together', () => {
		const fleet = keeperOf(['engine-1', 'engine-2']);
		fleet.recordCold('engine-1', COLD_MS, REQUESTS_PER_SECOND, 0);
		const moments = replay(fleet, 'engine-1');
		const whileCold = moments.filter((at) => at < COLD_MS);
		expect(whileCold.length).toBeGreaterThan(2 * REQUESTS_PER_SECOND);
		expect(mostInASecond(whileCold)).toBeLessThanOrEqual(REQUESTS_PER_SECOND * EXCESS);
	});

	test('gets all that it can take when it is warm', () => {
		const fleet = keeperOf(['engine-1', 'engine-2']);
		fleet.recordCold('engine-1', COLD_MS, REQUESTS_PER_SECOND, 0);
		const moments = replay(fleet, 'engine-1');
		expect(mostInASecond(moments.filter((at) => at >= COLD_MS))).toBeGreaterThan(REQUESTS_PER_SECOND * EXCESS);
	});

	test('that is left out is told to other routers as such', () => {
		const fleet = keeperOf(['engine-1']);
		fleet.recordCold('engine-1', COLD_MS, 0.5, 0);
		expect(fleet.ownedQueueReports(10).get(shortKey('engine-1'))?.suspendedMs).toBeGreaterThan(0);
		expect(fleet.ownedQueueReports(COLD_MS + 10).get(shortKey('engine-1'))?.suspendedMs).toBe(0);
	});
});
