import { describe, expect, test } from '@jest/globals';
import { type ReplayedAccount, type ReplayedFleet, replayShares } from './shareReplay.js';

/** An account with delayed requests must be served half of its comparable cost; the tests require 1.5 times that. */
const OWED_RATIO = 0.5;
const MARGIN = 1.5;

/** Load up to which engines can process more work without slowing their streams too much. */
const USEFUL_LOAD = 0.45;

/** Fraction of an account's requests that may be refused as busy while it requests less than an equal part. */
const BUSY_FRACTION = 0.05;

const END_MS = 24_000;
const SEEDS = [1, 2, 3, 4, 5];

const FLEET: ReplayedFleet = { routers: 16, engines: 8, nominalTokensPerSecond: 160_000 };

const SMALL_ACCOUNTS = 8;
const SMALL_PER_SECOND = 4;

function smallAccounts(): readonly ReplayedAccount[] {
	return Array.from({ length: SMALL_ACCOUNTS }, (_, index) => ({
		name: `small-${index}`,
		meanTokens: 800,
		requestsPerSecond: () => SMALL_PER_SECOND,
		routers: 3,
	}));
}

function accountWith(name: string, overrides: Partial<ReplayedAccount> = {}): ReplayedAccount {
	return { name, meanTokens: 2_000, requestsPerSecond: () => 25, routers: 6, ...overrides };
}

/** Request rate that rises from `before` to `after` at a given time in milliseconds. */
function risingAt(at: number, before: number, after: number): (now: number) => number {
	return (now) => (now < at ? before : after);
}

function lowestRatio(accounts: readonly ReplayedAccount[], seed: number, fleet = FLEET): number {
	const { windows } = replayShares(fleet, [...smallAccounts(), ...accounts], END_MS, seed);
	return Math.min(1, ...windows.map(({ ratio }) => ratio));
}

describe('shares over a fleet', () => {
	// An account that had used idle engines was refused for seconds once another account began to overload the fleet.
	test.each(SEEDS)('capacity used while it was idle is not held against an account later (seed %i)', (seed) => {
		const accounts = [
			accountWith('steady', { meanTokens: 6_000, requestsPerSecond: () => 30 }),
			accountWith('flood', { requestsPerSecond: risingAt(8_000, 10, 200) }),
		];
		expect(lowestRatio(accounts, seed)).toBeGreaterThanOrEqual(OWED_RATIO * MARGIN);
	});

	// Spare capacity went to the account that sent the most requests.
	test.each(SEEDS)('accounts beyond their share get alike, however often they ask (seed %i)', (seed) => {
		const accounts = [
			accountWith('often', { requestsPerSecond: risingAt(6_000, 10, 300), routers: 12 }),
			accountWith('seldom', { meanTokens: 8_000, requestsPerSecond: risingAt(6_000, 2, 30) }),
			accountWith('one-router', { requestsPerSecond: risingAt(12_000, 10, 120), routers: 1 }),
		];
		expect(lowestRatio(accounts, seed)).toBeGreaterThanOrEqual(OWED_RATIO * MARGIN);
	});

	// Accounts that overload the fleet one after the other got bursts of many times their share, and nothing in between.
	test.each(SEEDS)('accounts that flood one after the other are served alike while they do (seed %i)', (seed) => {
		const accounts = [2_000, 6_000, 10_000, 14_000].map((at, index) =>
			accountWith(`flood-${index}`, { requestsPerSecond: risingAt(at, 10, 120 + 40 * index), routers: 4 + 2 * index }),
		);
		expect(lowestRatio(accounts, seed)).toBeGreaterThanOrEqual(OWED_RATIO * MARGIN);
	});

	// After a failure, prefill is slower and the engines do not reach their nominal capacity.
	test.each([...SEEDS, 15, 18])('shares hold when the engines give less than stated (seed %i)', (seed) => {
		const accounts = [
			accountWith('often', { requestsPerSecond: risingAt(4_000, 10, 300), routers: 12 }),
			accountWith('seldom', { meanTokens: 8_000, requestsPerSecond: risingAt(4_000, 2, 30) }),
		];
		const fleet = { ...FLEET, nominalTokensPerSecond: 500_000, pace: risingAt(10_000, 1, 1.6) };
		expect(lowestRatio(accounts, seed, fleet)).toBeGreaterThanOrEqual(OWED_RATIO * MARGIN);
	});

	test.each([...SEEDS, 15])(
		'engines are used while requests are refused for the share of their account (seed %i)',
		(seed) => {
			const accounts = [
				accountWith('steady', { meanTokens: 6_000, requestsPerSecond: () => 30 }),
				accountWith('flood', { requestsPerSecond: risingAt(8_000, 10, 200) }),
				accountWith('second', { meanTokens: 6_000, requestsPerSecond: risingAt(14_000, 2, 60) }),
			];
			const { loadWhileThrottled } = replayShares(FLEET, [...smallAccounts(), ...accounts], END_MS, seed);
			expect(Math.min(...loadWhileThrottled)).toBeGreaterThanOrEqual(USEFUL_LOAD);
		},
	);

	test.each([...SEEDS, 19])('accounts that ask for little find room beside ones that flood (seed %i)', (seed) => {
		const accounts = [
			accountWith('often', { requestsPerSecond: risingAt(4_000, 10, 400), routers: 12 }),
			accountWith('large', { meanTokens: 12_000, requestsPerSecond: risingAt(4_000, 2, 40) }),
		];
		const { busy: busyRefusals } = replayShares(FLEET, [...smallAccounts(), ...accounts], END_MS, seed);
		const mostRefusals = Math.max(0, ...smallAccounts().map(({ name }) => busyRefusals.get(name) ?? 0));
		expect(mostRefusals).toBeLessThanOrEqual((BUSY_FRACTION * SMALL_PER_SECOND * END_MS) / 1_000);
	});
});
