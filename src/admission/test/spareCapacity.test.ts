import { describe, expect, test } from '@jest/globals';
import { optionWith } from '../../engines/test/engineFixture.js';
import { FleetShares } from '../../shares/common/fleetShares.js';
import { SlidingSum } from '../../shares/common/slidingSum.js';
import { decideAdmission } from '../common/admission.js';

/** Time over which the load of engines is told, in milliseconds. */
const LOAD_WINDOW_MS = 1_000;
const END_MS = 10_000;
const JUDGED_FROM_MS = 4_000;

/** What the engines are said to produce, and what they can read besides, in tokens. */
const CAPACITY_PER_SECOND = 300_000;
const SPARE_PER_STEP = 70_000;
const STEP_MS = 100;

interface Account {
	readonly key: number;
	readonly tokens: number;
	readonly perSecond: number;
}

/**
 * Replays accounts that ask for more than their share, at engines that have some capacity left.
 *
 * @param accounts that send requests evenly
 * @returns tokens that each account got from {@link JUDGED_FROM_MS} on
 */
function replay(accounts: readonly Account[]): readonly number[] {
	const admitted = SlidingSum.create(LOAD_WINDOW_MS);
	const most = CAPACITY_PER_SECOND + (SPARE_PER_STEP * 1_000) / STEP_MS;
	const shares = FleetShares.create({
		nominalCapacityPerSecond: () => CAPACITY_PER_SECOND,
		load: (now) => admitted.sum(now) / ((most * LOAD_WINDOW_MS) / 1_000),
	});
	const got = accounts.map(() => 0);
	const arrivals = accounts
		.flatMap((account, index) =>
			Array.from({ length: (account.perSecond * END_MS) / 1_000 }, (_, request) => {
				return { at: (request * 1_000) / account.perSecond, index, account };
			}),
		)
		.sort((one, other) => one.at - other.at);
	let step = -1;
	let left = 0;
	for (const { at, index, account } of arrivals) {
		if (Math.floor(at / STEP_MS) > step) {
			step = Math.floor(at / STEP_MS);
			left = (most * STEP_MS) / 1_000;
		}
		shares.recordOffered(account.key, account.tokens, at);
		const shareStatus = shares.shareStatusOf(account.key, at);
		if (shareStatus.throttledMs > 0) {
			continue;
		}
		const hasRoom = left >= account.tokens;
		const decision = decideAdmission({
			options: [optionWith({ load: hasRoom ? 0.3 : 0.9, waitMs: hasRoom ? 0 : 400 })],
			declinedBy: new Set(),
			shareStatus,
			aimMs: 500,
			aimLeftMs: 500,
			deadlineLeftMs: 10_000,
			retryJitter: 0,
		});
		if (decision.kind === 'place') {
			shares.spend(account.key, account.tokens, at);
			shares.recordAdmitted(account.key, account.tokens, at);
			admitted.add(account.tokens, at);
			left -= account.tokens;
			got[index] = (got[index] ?? 0) + (at >= JUDGED_FROM_MS ? account.tokens : 0);
		}
	}
	return got;
}

describe('capacity that is left', () => {
	// An account that flooded the fleet took nearly all of it, since it asked most often.
	test('an account beyond its share gets at least half of what another one beyond its share gets', () => {
		const flood = { key: 1, tokens: 2_000, perSecond: 1_600 };
		const other = { key: 2, tokens: 6_000, perSecond: 120 };
		const [floodGot = 0, otherGot = 0] = replay([flood, other]);
		expect(otherGot / floodGot).toBeGreaterThanOrEqual(0.5);
	});
});
