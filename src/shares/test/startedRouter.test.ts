import { expect, test } from '@jest/globals';
import { FleetShares } from '../common/fleetShares.js';

const CAPACITY_PER_SECOND = 1_000;
const ACCOUNT = 1;
const FLOOD = [{ account: ACCOUNT, offered: 10 * CAPACITY_PER_SECOND, admitted: CAPACITY_PER_SECOND }];

function startedShares(): FleetShares {
	const engines = { nominalCapacityPerSecond: () => CAPACITY_PER_SECOND, load: () => undefined };
	const shares = FleetShares.create(engines, () => 70);
	shares.discardRemoteUsage(0);
	return shares;
}

// Guards against accounts that are unbounded for a second at each router that has just started.
test('a router that has just started applies the level as soon as it hears of the usage of the fleet', () => {
	const shares = startedShares();
	expect(shares.shareStatusOf(ACCOUNT, 50).level).toBe(Infinity);
	shares.applyFleetSum(FLOOD, 250);
	expect(shares.shareStatusOf(ACCOUNT, 350).level).toBe(CAPACITY_PER_SECOND);
});

// Guards against a relay whose first sums lack most routers, so that the routers of its domain admit as if the fleet were idle.
test('a router whose sources have just changed has no complete sums, and keeps its level', () => {
	const shares = startedShares();
	expect(shares.hasCompleteSources(900)).toBe(false);
	expect(shares.hasCompleteSources(1_000)).toBe(true);
	shares.applyFleetSum(FLOOD, 1_000);
	expect(shares.shareStatusOf(ACCOUNT, 1_100).level).toBe(CAPACITY_PER_SECOND);
	shares.discardRemoteUsage(1_200);
	expect(shares.hasCompleteSources(1_300)).toBe(false);
	expect(shares.shareStatusOf(ACCOUNT, 1_300).level).toBe(CAPACITY_PER_SECOND);
});
