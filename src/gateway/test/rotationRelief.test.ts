import { describe, expect, test } from '@jest/globals';
import { OverloadGuard } from '../common/overloadGuard.js';
import { type Caller, type ILoadDecisions, replayBalancedRouters } from './balancedRouters.js';

const ROUTERS = 13;
const RISE_MS = 4_000;
const WINDOW_MS = 6_000;

/** An exhausted router refuses what it cannot do, and stays in the rotation. */
function guardOnly(): ILoadDecisions {
	const guard = OverloadGuard.create();
	return {
		record: ({ lateMs }, now) => guard.recordLateness(lateMs, now),
		takes: (now) => guard.tryAdmit(now),
		isReady: () => true,
		closesRefused: () => false,
		returnMs: () => 50,
	};
}

/** One caller of an account that sends three times its usual from {@link RISE_MS} on, and small ones of others. */
function oneLargeCaller(): readonly Caller[] {
	const small = Array.from({ length: 30 }, (_, index) => ({ name: `small-${index}`, perSecond: () => 5 }));
	return [{ name: 'large', perSecond: (now) => (now < RISE_MS ? 60 : 180) }, ...small];
}

describe('routers behind a balancer', () => {
	// The balancer gave all connections of an account to one router, which refused four in five of its requests for want
	// of a processor while its neighbours were idle.
	test('an account whose caller exhausts one router gets at least half of what it asks', () => {
		const requests = replayBalancedRouters(oneLargeCaller(), ROUTERS, guardOnly, RISE_MS + WINDOW_MS + 2_000);
		const asked = requests.filter(
			({ caller, sentAt }) => caller === 'large' && sentAt >= RISE_MS && sentAt < RISE_MS + WINDOW_MS,
		);
		const taken = asked.filter(({ takenAt }) => takenAt !== undefined && takenAt < RISE_MS + WINDOW_MS);
		expect(taken.length / asked.length).toBeGreaterThanOrEqual(0.5);
	});
});
