import { describe, expect, test } from '@jest/globals';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { LoadShedder } from '../common/loadShedder.js';
import { RotationController } from '../common/rotationController.js';
import { type Caller, type IRouterLoadPolicy, simulateBalancedRouters } from './balancedRouters.js';

const ROUTERS = 13;
const RISE_MS = 4_000;
const WINDOW_MS = 6_000;
const SEED = 7;
const BALANCER_DELAY_MS = 2_000;

/** Combines load shedding and rotation control in the same way as the gateway. */
function createRouterLoadPolicy(random: () => number): IRouterLoadPolicy {
	const loadShedder = LoadShedder.create();
	const rotationController = RotationController.create(BALANCER_DELAY_MS);
	return {
		recordLag: (lagMs, now, neighbours) => {
			loadShedder.recordLag(lagMs, now);
			rotationController.update(loadShedder.isLimiting, () => neighbours, now);
		},
		decide: (caller, now, isHandedOver) =>
			loadShedder.decide(
				caller,
				now,
				() => !isHandedOver,
				() => !rotationController.isDetectedByBalancer(now),
			),
		isReady: () => !rotationController.isRelieved,
		closesRefusedConnections: () => rotationController.isRelieved,
		retryAfterMs: (now) => rotationController.retryAfterMs(now, random()),
	};
}

/** One caller that sends several times its usual load from {@link RISE_MS} on, and small callers of other accounts. */
function oneLargeCaller(peakPerSecond: number): readonly Caller[] {
	const small = Array.from({ length: 30 }, (_, index) => ({ name: `small-${index}`, perSecond: () => 5 }));
	return [{ name: 'large', perSecond: (now) => (now < RISE_MS ? 60 : peakPerSecond) }, ...small];
}

describe('routers behind a load balancer', () => {
	// Guards against refusals by an overloaded router whose neighbours are idle: the load balancer assigned all connections
	// of an account to one router, which refused four in five of the account's requests because its CPU was saturated.
	test.each([180, 300])(
		'an account whose caller overloads one router gets at least half of its requests accepted, at %d requests/s',
		(peak) => {
			const generator = xoroshiro128plus(SEED);
			const random = (): number => uniformFloat64(generator);
			const requests = simulateBalancedRouters(
				oneLargeCaller(peak),
				ROUTERS,
				() => createRouterLoadPolicy(random),
				random,
				RISE_MS + WINDOW_MS + 2_000,
			);
			const sent = requests.filter(
				({ caller, sentAt }) => caller === 'large' && sentAt >= RISE_MS && sentAt < RISE_MS + WINDOW_MS,
			);
			const accepted = sent.filter(({ acceptedAt }) => acceptedAt !== undefined && acceptedAt < RISE_MS + WINDOW_MS);
			expect(accepted.length / sent.length).toBeGreaterThanOrEqual(0.5);
		},
	);
});
