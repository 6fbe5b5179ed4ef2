import { describe, expect, test } from '@jest/globals';
import { type ReplayedAccount, type ReplayedFleet, replayShares } from './shareReplay.js';

/** An account with delayed requests must be served half of its comparable cost; the tests require 1.5 times that. */
const OWED_RATIO = 0.5;
const MARGIN = 1.5;

const END_MS = 18_000;
const SEEDS = [1, 2, 3];

const FAILURE_DOMAINS = 4;
const ROUTERS = 72;
const ENGINES = 42;

const FLEET: ReplayedFleet = {
	routers: ROUTERS,
	engines: ENGINES,
	nominalTokensPerSecond: 1_500_000,
	failureDomains: FAILURE_DOMAINS,
};

const LOST_FROM_MS = 10_300;
const LOST_UNTIL_MS = 14_000;

function isWithin(now: number, from: number, until: number): boolean {
	return now >= from && now < until;
}

function usualAccounts(): readonly ReplayedAccount[] {
	return Array.from({ length: 27 }, (_, index) => ({
		name: `usual-${index}`,
		meanTokens: index % 3 === 0 ? 9_000 : 1_500,
		requestsPerSecond: () => (index % 3 === 0 ? 2 : 8),
		routers: 1 + (index % 5) * 3,
	}));
}

/** An account that floods from a given time on. */
function floodingAccount(overrides: Partial<ReplayedAccount>, tokensPerSecond: number, at: number): ReplayedAccount {
	const meanTokens = overrides.meanTokens ?? 5_000;
	return {
		name: 'flood',
		meanTokens,
		requestsPerSecond: (now) => (now < at ? 0.1 : 1) * (tokensPerSecond / meanTokens),
		routers: ROUTERS,
		...overrides,
	};
}

function lowestRatio(fleet: ReplayedFleet, accounts: readonly ReplayedAccount[], seed: number): number {
	const { windows } = replayShares(fleet, [...usualAccounts(), ...accounts], END_MS, seed);
	return Math.min(1, ...windows.map(({ ratio }) => ratio));
}

const EVERYWHERE = floodingAccount({ name: 'at-all-routers' }, 3_000_000, 4_000);

describe('accounts that flood a large fleet', () => {
	// Guards against a rate that stays at the routers which an account's requests have left, so that an account behind one router
	// at a time gets a fraction of its share.
	test.each(SEEDS)('are served alike when the requests of one move from router to router (seed %i)', (seed) => {
		const moving = floodingAccount({ name: 'moving', routers: 1, moveIntervalMs: 2_500 }, 1_500_000, 5_000);
		expect(lowestRatio(FLEET, [EVERYWHERE, moving], seed)).toBeGreaterThanOrEqual(OWED_RATIO * MARGIN);
	});

	// Guards against sums of usage that lack most routers, from relays that have just started.
	test.each(SEEDS)('are served alike when routers, relays among them, are lost and return (seed %i)', (seed) => {
		const isRouterLost = (router: number, now: number): boolean =>
			router % FAILURE_DOMAINS < 2 && router < 5 * FAILURE_DOMAINS && isWithin(now, LOST_FROM_MS, LOST_UNTIL_MS);
		const behindFew = floodingAccount({ name: 'behind-few', routers: 2 }, 1_500_000, 5_000);
		const fleet = { ...FLEET, isRouterLost };
		expect(lowestRatio(fleet, [EVERYWHERE, behindFew], seed)).toBeGreaterThanOrEqual(OWED_RATIO * MARGIN);
	});

	test.each(SEEDS)(
		'are served alike when engines are lost in the seconds in which routers return (seed %i)',
		(seed) => {
			const isRouterLost = (router: number, now: number): boolean =>
				router % FAILURE_DOMAINS < 2 && router < 5 * FAILURE_DOMAINS && isWithin(now, LOST_FROM_MS, LOST_UNTIL_MS);
			const isEngineLost = (engine: number, now: number): boolean => engine < 9 && isWithin(now, 11_000, 15_500);
			const moving = floodingAccount({ name: 'moving', routers: 1, moveIntervalMs: 2_500 }, 1_500_000, 5_000);
			const fleet = { ...FLEET, isRouterLost, isEngineLost };
			expect(lowestRatio(fleet, [EVERYWHERE, moving], seed)).toBeGreaterThanOrEqual(OWED_RATIO * MARGIN);
		},
	);
});
