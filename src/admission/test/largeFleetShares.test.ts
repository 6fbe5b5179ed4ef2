import { describe, expect, test } from '@jest/globals';
import { type ReplayedAccount, type ReplayedFleet, replayShares } from './shareReplay.js';

/** An account with delayed requests must be served half of its comparable cost; the test requires 1.5 times that. */
const OWED_RATIO = 0.5;
const MARGIN = 1.5;

const END_MS = 14_000;
const SEEDS = [1, 2];

const FLEET: ReplayedFleet = { routers: 70, engines: 78, nominalTokensPerSecond: 3_000_000, hasRelays: true };

const USUAL_ACCOUNTS = 27;

function usualAccounts(): readonly ReplayedAccount[] {
	return Array.from({ length: USUAL_ACCOUNTS }, (_, index) => ({
		name: `usual-${index}`,
		meanTokens: index % 3 === 0 ? 9_000 : 1_500,
		requestsPerSecond: () => (index % 3 === 0 ? 4 : 15),
		routers: 1 + (index % 5) * 3,
	}));
}

/** An account that floods from a given time on. */
function floodingAccount(
	name: string,
	routers: number,
	meanTokens: number,
	tokensPerSecond: number,
	at: number,
): ReplayedAccount {
	return {
		name,
		meanTokens,
		requestsPerSecond: (now) => (now < at ? 0.2 : 1) * (tokensPerSecond / meanTokens),
		routers,
	};
}

describe('accounts that flood a large fleet', () => {
	// The routers of an account that arrives at all of them admitted more than its share together, since each admitted
	// at least a fixed part of it; accounts that arrive at few routers got less.
	test.each(SEEDS)('are served alike, at however many routers their requests arrive (seed %i)', (seed) => {
		const accounts = [
			...usualAccounts(),
			floodingAccount('at-all-routers', 70, 10_000, 2_500_000, 4_000),
			floodingAccount('at-some-routers', 12, 9_000, 2_500_000, 6_000),
			floodingAccount('at-one-router', 1, 9_000, 1_500_000, 6_000),
		];
		const { windows } = replayShares(FLEET, accounts, END_MS, seed);
		expect(Math.min(1, ...windows.map(({ ratio }) => ratio))).toBeGreaterThanOrEqual(OWED_RATIO * MARGIN);
	});
});
