import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { fairLevel } from '../common/fairLevel.js';
import { FleetShares } from '../common/fleetShares.js';
import { CapacityEstimator } from '../common/capacityEstimator.js';
import { SlidingSum } from '../common/slidingSum.js';

const WINDOW_MS = 4_000;

function sharesOf(nominalPerSecond: number | undefined, load?: number): FleetShares {
	return FleetShares.create({ nominalCapacityPerSecond: () => nominalPerSecond, load: () => load }, () => 2, WINDOW_MS);
}

describe('fairLevel', () => {
	test('is unbounded when everything fits', () => {
		expect(fairLevel([1, 2, 3], 6)).toBe(Infinity);
		expect(fairLevel([], 6)).toBe(Infinity);
	});

	test('gives capacity that small demands leave unused to the others', () => {
		expect(fairLevel([10, 100, 100], 110)).toBe(50);
	});

	test('allocates the full capacity and no more', () => {
		fc.assert(
			fc.property(
				fc.array(fc.integer({ min: 0, max: 1_000 })),
				fc.integer({ min: 1, max: 5_000 }),
				(demands, capacity) => {
					const level = fairLevel(demands, capacity);
					const total = demands.reduce((sum, demand) => sum + demand, 0);
					const allocated = demands.reduce((sum, demand) => sum + Math.min(demand, level), 0);
					expect(allocated).toBeCloseTo(Math.min(total, capacity), 5);
				},
			),
		);
	});
});

describe('SlidingSum', () => {
	test('matches the sum of the amounts added within the window', () => {
		fc.assert(
			fc.property(
				fc.array(fc.record({ step: fc.integer({ min: 0, max: 3_000 }), amount: fc.integer({ min: 0, max: 100 }) })),
				(steps) => {
					const sum = SlidingSum.create(WINDOW_MS);
					const added: { readonly at: number; readonly amount: number }[] = [];
					let now = 0;
					for (const { step, amount } of steps) {
						now += step;
						sum.add(amount, now);
						added.push({ at: now, amount });
						const within = (age: number): number =>
							added.filter(({ at }) => now - at < age).reduce((total, item) => total + item.amount, 0);
						expect(sum.sum(now)).toBeGreaterThanOrEqual(within(WINDOW_MS - WINDOW_MS / 16) - 1e-6);
						expect(sum.sum(now)).toBeLessThanOrEqual(within(WINDOW_MS + 1) + 1e-6);
					}
				},
			),
		);
	});
});

describe('FleetShares', () => {
	test('counts the usage of an account at all routers', () => {
		const shares = sharesOf(25);
		shares.recordOffered(1, 200, 0);
		shares.recordAdmitted(1, 30, 0);
		shares.applyPeerUsage('router-2', [{ account: 1, offered: 100, admitted: 20 }], 0);
		expect(shares.shareStatusOf(1, 100)).toMatchObject({ admitted: 50, level: 25, usedShare: 0.5, offeredShare: 3 });
	});

	test('does not count a peer that has stopped reporting', () => {
		const shares = sharesOf(25);
		shares.recordOffered(1, 200, 0);
		shares.applyPeerUsage('router-2', [{ account: 1, offered: 0, admitted: 90 }], 0);
		expect(shares.shareStatusOf(1, 2_500).admitted).toBe(0);
	});

	// One account sends eight times its usual load; the others must get all they request.
	test('an account that overloads the fleet is over its share while the others are not', () => {
		const shares = sharesOf(75);
		for (let now = 0; now < WINDOW_MS; now += 100) {
			shares.recordOffered(1, 20, now);
			shares.recordAdmitted(1, 10, now);
			shares.recordOffered(2, 2, now);
			shares.recordAdmitted(2, 2, now);
		}
		expect(shares.shareStatusOf(1, WINDOW_MS - 1).usedShare).toBeGreaterThan(1);
		expect(shares.shareStatusOf(2, WINDOW_MS - 1).usedShare).toBeLessThan(1);
	});

	test('nobody is over its share when no nominal capacity is stated', () => {
		const shares = sharesOf(undefined);
		shares.recordAdmitted(1, 1_000, 0);
		expect(shares.shareStatusOf(1, 0).usedShare).toBe(0);
	});

	test('an account over its share is admitted at the rate of the fraction that arrives here', () => {
		const shares = sharesOf(100);
		let admitted = 0;
		for (let now = 0; now < 20_000; now += 10) {
			shares.applyPeerUsage('router-2', [{ account: 1, offered: 3_000, admitted: 300 }], now);
			shares.recordOffered(1, 10, now);
			if (shares.shareStatusOf(1, now).throttledMs === 0) {
				shares.spend(1, 10, now);
				admitted += now >= 10_000 ? 10 : 0;
			}
		}
		// 4,000 of 7,000 cost units arrive here, and the account may use 100 per second in total.
		expect(admitted / 10).toBeGreaterThan(50);
		expect(admitted / 10).toBeLessThan(65);
	});

	test('reports when a refused account is admitted again', () => {
		const shares = sharesOf(100);
		shares.recordOffered(1, 10_000, 0);
		shares.spend(1, 500, 100);
		const { throttledMs } = shares.shareStatusOf(1, 200);
		expect(throttledMs).toBeGreaterThan(0);
		expect(shares.shareStatusOf(1, 200 + throttledMs + 1).throttledMs).toBe(0);
	});

	test('returns the credit of a request that was refused', () => {
		const shares = sharesOf(100);
		shares.recordOffered(1, 10_000, 0);
		const grant = shares.spend(1, 500, 100);
		grant.settle('not-run', 100);
		expect(shares.shareStatusOf(1, 200).throttledMs).toBe(0);
	});

	// Guards against discarding the fair level together with the reports: no account was throttled for seconds after the
	// relays had lost power.
	test('keeps the fair level until new sources have reported what lost routers reported before', () => {
		const shares = sharesOf(100);
		shares.applyPeerUsage('router-2', [{ account: 1, offered: 3_000, admitted: 300 }], 0);
		expect(shares.shareStatusOf(1, 100).level).toBe(100);
		shares.discardRemoteUsage(200);
		expect(shares.shareStatusOf(1, 900).level).toBe(100);
		expect(shares.shareStatusOf(1, 1_500).level).toBe(Infinity);
	});

	// Without the check at the queue owner, an account got seven times its share in the first second of a burst through
	// all routers.
	test('a queue owner (keeper) throttles a burst of an account before routers have exchanged their usage', () => {
		const shares = sharesOf(100);
		shares.applyPeerUsage('router-2', [{ account: 2, offered: 300, admitted: 300 }], 0);
		let placed = 0;
		for (let now = 0; now < 1_000; now += 5) {
			if (!shares.isOverShareAtQueueOwner(1, 0.5, now)) {
				shares.recordPlacement(1, 10, now);
				placed += 10;
			}
		}
		expect(placed).toBeGreaterThanOrEqual(80);
		expect(placed).toBeLessThan(250);
	});

	test('a queue owner (keeper) does not treat a few large requests as a burst', () => {
		const shares = sharesOf(100);
		for (let request = 0; request < 6; request++) {
			shares.recordPlacement(1, 1_000, request);
			expect(shares.isOverShareAtQueueOwner(1, 0.1, request)).toBe(false);
		}
	});
});

describe('LearnedCapacity', () => {
	test('learns what engines take at the target load, in both directions from the nominal capacity', () => {
		const capacityAt = (admittedPerSecond: number, load: number): number => {
			const capacity = CapacityEstimator.create();
			for (let now = 0; now < 20_000; now += 50) {
				capacity.observe({ admittedPerSecond, load }, now);
			}
			return capacity.estimatePerSecond(1_000);
		};
		expect(capacityAt(1_000, 0.3) / 1_000).toBeCloseTo(2, 0);
		expect(capacityAt(600, 0.9)).toBeLessThan(450);
		expect(capacityAt(600, 0.9)).toBeGreaterThan(350);
	});

	test('equals the stated nominal capacity before any observation, and stays near it afterwards', () => {
		const capacity = CapacityEstimator.create();
		capacity.observe({ admittedPerSecond: 0, load: undefined }, 0);
		capacity.observe({ admittedPerSecond: 10, load: 0.01 }, 10);
		expect(capacity.estimatePerSecond(1_000)).toBe(1_000);
		capacity.observe({ admittedPerSecond: 1e9, load: 0.2 }, 20);
		expect(capacity.estimatePerSecond(1_000)).toBeLessThanOrEqual(4_000);
	});
});

describe('the capacity of engines that name limits', () => {
	const admittedPerSecond = 1_000;

	// Guards against a fair level that stays too high for seconds, while engines refuse requests whatever their account.
	test('falls at once by what the limits take away, and rises at once when they end', () => {
		const capacity = CapacityEstimator.create();
		for (let now = 0; now <= 20_000; now += 50) {
			capacity.observe({ admittedPerSecond, load: 0.65, remainingFraction: 1 }, now);
		}
		const before = capacity.estimatePerSecond(admittedPerSecond);
		capacity.observe({ admittedPerSecond, load: 0.65, remainingFraction: 0.5 }, 20_050);
		expect(capacity.estimatePerSecond(admittedPerSecond) / before).toBeCloseTo(0.5, 1);
		for (let now = 20_100; now <= 60_000; now += 50) {
			capacity.observe({ admittedPerSecond: admittedPerSecond / 2, load: 0.65, remainingFraction: 0.5 }, now);
		}
		expect(capacity.estimatePerSecond(admittedPerSecond) / before).toBeCloseTo(0.5, 1);
		capacity.observe({ admittedPerSecond: admittedPerSecond / 2, load: 0.65, remainingFraction: 1 }, 60_050);
		expect(capacity.estimatePerSecond(admittedPerSecond) / before).toBeCloseTo(1, 1);
	});

	// Guards against refusing requests for the share of their account while engines without a limit are idle.
	test('is the stated one while the engines are idle', () => {
		const capacity = CapacityEstimator.create();
		capacity.observe({ admittedPerSecond: 10, load: 0.05, remainingFraction: 0.4 }, 0);
		expect(capacity.estimatePerSecond(admittedPerSecond)).toBe(admittedPerSecond);
	});
});
