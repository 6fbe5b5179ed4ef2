import { describe, expect, test } from '@jest/globals';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { LoadShedder } from '../common/loadShedder.js';
import { RotationController } from '../common/rotationController.js';
import { type Caller, type IRouterLoadPolicy, simulateBalancedRouters } from './balancerSimulation.js';

const ROUTERS = 13;
const RISE_MS = 4_000;
const WINDOW_MS = 6_000;
const SEED = 7;
const BALANCER_DELAY_MS = 2_000;

/** A router as the gateway composes it. */
function routerDecisions(random: () => number): IRouterLoadPolicy {
	const guard = LoadShedder.create();
	const relief = RotationController.create(BALANCER_DELAY_MS);
	return {
		recordLag: (lateMs, now, neighbours) => {
			guard.recordLag(lateMs, now);
			relief.update(guard.isLimiting, () => neighbours, now);
		},
		decide: (now, isHandedOver) =>
			guard.decide(
				now,
				() => !isHandedOver,
				() => !relief.isDetectedByBalancer(now),
			),
		isReady: () => !relief.isRelieved,
		closesRefusedConnections: () => relief.isRelieved,
		retryAfterMs: (now) => relief.retryAfterMs(now, random()),
	};
}

/** One caller of an account that sends several times its usual from {@link RISE_MS} on, and small ones of others. */
function oneLargeCaller(peakPerSecond: number): readonly Caller[] {
	const small = Array.from({ length: 30 }, (_, index) => ({ name: `small-${index}`, perSecond: () => 5 }));
	return [{ name: 'large', perSecond: (now) => (now < RISE_MS ? 60 : peakPerSecond) }, ...small];
}

describe('routers behind a balancer', () => {
	// The balancer gave all connections of an account to one router, which refused four in five of its requests for want
	// of a processor while its neighbours were idle.
	test.each([180, 300])(
		'an account whose caller exhausts one router gets at least half of what it asks, at %d requests/s',
		(peak) => {
			const generator = xoroshiro128plus(SEED);
			const random = (): number => uniformFloat64(generator);
			const requests = simulateBalancedRouters(
				oneLargeCaller(peak),
				ROUTERS,
				() => routerDecisions(random),
				random,
				RISE_MS + WINDOW_MS + 2_000,
			);
			const asked = requests.filter(
				({ caller, sentAt }) => caller === 'large' && sentAt >= RISE_MS && sentAt < RISE_MS + WINDOW_MS,
			);
			const taken = asked.filter(({ takenAt }) => takenAt !== undefined && takenAt < RISE_MS + WINDOW_MS);
			expect(taken.length / asked.length).toBeGreaterThanOrEqual(0.5);
		},
	);
});
