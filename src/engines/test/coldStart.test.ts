import { describe, expect, test } from '@jest/globals';
import type { PromptWork } from '../common/engineChoice.js';
import { EngineFleet } from '../common/engineFleet.js';
import { shortKey } from '../../base/common/shortKey.js';
import { engineWith, reservationWith, SERVICE } from './engineFixture.js';

const ROUTERS = 40;
const REQUESTS_PER_SECOND = 11;

/** Limit of the platform, as a multiple of the rate that a server can handle. */
const RATE_TOLERANCE = 1.5;

const COLD_MS = 3_000;
const WORK: PromptWork = { parts: [], promptTokens: 200, tokensPerEvent: 5, pauseAimMs: 500 };

/** Creates the fleet of a router that owns the queues of all engines. */
function ownerOf(ids: readonly string[]): EngineFleet {
	const fleet = EngineFleet.create('router-0', 'a', { ownsQueueOf: () => true, queueGroupOf: () => 0 });
	fleet.setServers(
		ids.map((id) => engineWith(id)),
		0,
	);
	return fleet;
}

/**
 * Requests a reservation every 2 ms for 5 s, each time for a different router, and completes each prefill immediately.
 *
 * @returns times in milliseconds at which the cold engine received a request
 */
function replay(fleet: EngineFleet, cold: string): readonly number[] {
	const receivedAt: number[] = [];
	for (let now = 0; now < 5_000; now += 2) {
		const router = `router-${now % ROUTERS}`;
		const answer = fleet.reserve(
			router,
			reservationWith(WORK, { connected: [shortKey(cold)], sequence: now, limitMs: 500 }),
			now,
		);
		if (answer?.server !== undefined) {
			fleet.applyFirstEvent(router, { server: shortKey(answer.server), sequence: now, abandoned: false }, now);
			receivedAt.push(...(answer.server === cold ? [now] : []));
		}
	}
	return receivedAt;
}

/** Returns the largest number of requests that were received within one second. */
function mostInASecond(receivedAt: readonly number[]): number {
	return Math.max(0, ...receivedAt.map((from) => receivedAt.filter((at) => at >= from && at < from + 1_000).length));
}

describe('a cold server', () => {
	// Guards against all routers choosing a cold server because it looks idle: 22 to 25 requests in a second instead of 11.
	test('receives no more requests per second from all routers than it can handle', () => {
		const fleet = ownerOf(['engine-1', 'engine-2']);
		fleet.recordCold('engine-1', COLD_MS, REQUESTS_PER_SECOND, 0);
		const receivedAt = replay(fleet, 'engine-1');
		const whileCold = receivedAt.filter((at) => at < COLD_MS);
		expect(whileCold.length).toBeGreaterThan(2 * REQUESTS_PER_SECOND);
		expect(mostInASecond(whileCold)).toBeLessThanOrEqual(REQUESTS_PER_SECOND * RATE_TOLERANCE);
	});

	test('receives all requests that it can handle when it is warm', () => {
		const fleet = ownerOf(['engine-1', 'engine-2']);
		fleet.recordCold('engine-1', COLD_MS, REQUESTS_PER_SECOND, 0);
		const receivedAt = replay(fleet, 'engine-1');
		expect(mostInASecond(receivedAt.filter((at) => at >= COLD_MS))).toBeGreaterThan(
			REQUESTS_PER_SECOND * RATE_TOLERANCE,
		);
	});

	test('that is excluded is reported to other routers as suspended', () => {
		const fleet = ownerOf(['engine-1']);
		fleet.recordCold('engine-1', COLD_MS, 0.5, 0);
		expect(fleet.ownedQueueReports(10).get(shortKey('engine-1'))?.suspendedMs).toBeGreaterThan(0);
		expect(fleet.ownedQueueReports(COLD_MS + 10).get(shortKey('engine-1'))?.suspendedMs).toBe(0);
	});

	// Guards against plain servers, whose requests routers of a small fleet do not tell each other otherwise.
	test('receives no more requests than it can handle also when it is a plain server of a small fleet', () => {
		const plain: PromptWork = { ...WORK, promptTokens: 0 };
		const fleets = Array.from({ length: 8 }, (_, index) => {
			const fleet = EngineFleet.create(`router-${index}`, 'a');
			fleet.setServers([engineWith('plain-1')], 0);
			fleet.recordCold('plain-1', COLD_MS, REQUESTS_PER_SECOND, 0);
			return fleet;
		});
		fleets.forEach((fleet, index) =>
			fleet.onDidPlace((notice) =>
				fleets
					.filter((other) => other !== fleet)
					.forEach((other) =>
						other.applyPlacement(`router-${index}`, { ...notice, server: shortKey(notice.server) }, notice.at),
					),
			),
		);
		const receivedAt: number[] = [];
		for (let now = 0; now < COLD_MS; now += 10) {
			const fleet = fleets[(now / 10) % fleets.length];
			const [option] = fleet?.rankedOptions(SERVICE, plain, new Set(), now) ?? [];
			if (fleet !== undefined && option?.health.usable === true) {
				fleet.place(option, plain, now);
				receivedAt.push(now);
			}
		}
		expect(receivedAt.length).toBeGreaterThan(2 * REQUESTS_PER_SECOND);
		expect(mostInASecond(receivedAt)).toBeLessThanOrEqual(REQUESTS_PER_SECOND * RATE_TOLERANCE);
	});
});
