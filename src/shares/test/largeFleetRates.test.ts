import { describe, expect, test } from '@jest/globals';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { type AccountUsage, FleetShares } from '../common/fleetShares.js';

const ROUTERS = 70;
const ACCOUNT = 1;
const CAPACITY_PER_SECOND = 500_000;
const REQUEST_COST = 10_000;

/** Excess of the summed rates over the level that is tolerated, as for the rate of an account. */
const TOLERANCE = 0.15;

const STEP_MS = 50;
const EXCHANGE_INTERVAL_MS = 250;
const EXCHANGE_DELAY_MS = 500;
const SETTLED_MS = 4_000;
const END_MS = 8_000;

function sumUsage(usages: readonly (readonly AccountUsage[])[]): AccountUsage {
	const all = usages.flat();
	return {
		account: ACCOUNT,
		offered: all.reduce((sum, { offered }) => sum + offered, 0),
		admitted: all.reduce((sum, { admitted }) => sum + admitted, 0),
	};
}

/**
 * Simulates an account whose requests arrive at some routers of a fleet with relays, at twice the level.
 *
 * @returns mean of the sum of all routers' rates, relative to the level
 */
function meanSummedRate(routersOfAccount: number, seed: number): number {
	const generator = xoroshiro128plus(seed);
	const random = (): number => uniformFloat64(generator);
	const engines = { nominalCapacityPerSecond: () => CAPACITY_PER_SECOND, load: () => undefined };
	const fleet = Array.from({ length: ROUTERS }, () => FleetShares.create(engines, () => ROUTERS));
	const requestsPerStep = (((2 * CAPACITY_PER_SECOND) / REQUEST_COST) * STEP_MS) / 1_000;
	const reports: { readonly at: number; readonly usages: readonly (readonly AccountUsage[])[] }[] = [];
	const ratios: number[] = [];
	for (let now = 0; now < END_MS; now += STEP_MS) {
		for (let left = requestsPerStep; left > random(); left--) {
			fleet[Math.floor(random() * routersOfAccount)]?.recordOffered(ACCOUNT, REQUEST_COST, now);
		}
		if (now % EXCHANGE_INTERVAL_MS === 0) {
			reports.push({ at: now + EXCHANGE_DELAY_MS, usages: fleet.map((shares) => shares.ownUsage(now)) });
		}
		while ((reports[0]?.at ?? Infinity) <= now) {
			const { usages } = reports.shift() ?? { usages: [] };
			const usageSum = sumUsage(usages);
			fleet.forEach((shares, router) => {
				shares.recordReportedUsage(usages[router] ?? []);
				shares.applyFleetSum([usageSum], now);
			});
		}
		const statuses = fleet.map((shares) => shares.shareStatusOf(ACCOUNT, now));
		if (now >= SETTLED_MS) {
			ratios.push(statuses.reduce((sum, { rate, level }) => sum + rate / level, 0));
		}
	}
	return ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length;
}

describe('the rates at which the routers of a large fleet admit an account', () => {
	// Guards against a lower bound on the rate of each router, which gave an account that arrives at all routers a multiple
	// of what an account behind few routers gets.
	test.each([1, 3, 12, 70])('add up to the fair level when its requests arrive at %i routers', (routers) => {
		for (const seed of [1, 2, 3]) {
			const ratio = meanSummedRate(routers, seed);
			expect(ratio).toBeLessThanOrEqual(1 + TOLERANCE);
			expect(ratio).toBeGreaterThanOrEqual(1 - TOLERANCE);
		}
	});
});
