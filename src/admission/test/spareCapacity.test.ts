import { describe, expect, test } from '@jest/globals';
import { optionWith } from '../../engines/test/engineFixture.js';
import { FleetShares } from '../../shares/common/fleetShares.js';
import { SlidingSum } from '../../shares/common/slidingSum.js';
import { decideAdmission } from '../common/admission.js';

/** Window over which the load of the engines is measured, in milliseconds. */
const LOAD_WINDOW_MS = 1_000;
const END_MS = 10_000;
const MEASURED_FROM_MS = 4_000;

/** Nominal capacity of the engines per second, and their additional capacity in each step, in tokens. */
const CAPACITY_PER_SECOND = 300_000;
const SPARE_PER_STEP = 70_000;
const STEP_MS = 100;

interface Account {
	readonly key: number;
	readonly tokens: number;
	readonly requestsPerSecond: number;
}

/**
 * Simulates accounts that offer more than their share to engines with spare capacity.
 *
 * @param accounts accounts that send requests at an even rate
 * @returns tokens that each account was served from {@link MEASURED_FROM_MS} on
 */
function simulate(accounts: readonly Account[]): readonly number[] {
	const admitted = SlidingSum.create(LOAD_WINDOW_MS);
	const maximumPerSecond = CAPACITY_PER_SECOND + (SPARE_PER_STEP * 1_000) / STEP_MS;
	const engines = {
		nominalCapacityPerSecond: () => CAPACITY_PER_SECOND,
		load: (now: number) => admitted.sum(now) / ((maximumPerSecond * LOAD_WINDOW_MS) / 1_000),
	};
	const shares = FleetShares.create(engines, () => 1);
	const served = accounts.map(() => 0);
	const arrivals = accounts
		.flatMap((account, index) =>
			Array.from({ length: (account.requestsPerSecond * END_MS) / 1_000 }, (_, request) => {
				return { at: (request * 1_000) / account.requestsPerSecond, index, account };
			}),
		)
		.sort((one, other) => one.at - other.at);
	let step = -1;
	let remaining = 0;
	for (const { at, index, account } of arrivals) {
		if (Math.floor(at / STEP_MS) > step) {
			step = Math.floor(at / STEP_MS);
			remaining = (maximumPerSecond * STEP_MS) / 1_000;
		}
		shares.recordOffered(account.key, account.tokens, at);
		const shareStatus = shares.shareStatusOf(account.key, at);
		if (shareStatus.throttledMs > 0) {
			continue;
		}
		const hasRoom = remaining >= account.tokens;
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
			remaining -= account.tokens;
			served[index] = (served[index] ?? 0) + (at >= MEASURED_FROM_MS ? account.tokens : 0);
		}
	}
	return served;
}

describe('capacity that is left unused', () => {
	// An account that overloaded the fleet took nearly all spare capacity, since it sent the most requests.
	test('an account over its share gets at least half as much as another account over its share', () => {
		const overload = { key: 1, tokens: 2_000, requestsPerSecond: 1_600 };
		const other = { key: 2, tokens: 6_000, requestsPerSecond: 120 };
		const [overloadServed = 0, otherServed = 0] = simulate([overload, other]);
		expect(otherServed / overloadServed).toBeGreaterThanOrEqual(0.5);
	});
});
