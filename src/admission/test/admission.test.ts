import { describe, expect, test } from '@jest/globals';
import type { EngineOption } from '../../engines/common/engineChoice.js';
import type { ShareStatus } from '../../shares/common/fleetShares.js';
import { type AdmissionInputs, decideAdmission, overShareRetryAfterMs } from '../common/admission.js';
import { optionWith } from '../../engines/test/engineFixture.js';

function shareStatusWith(overrides: Partial<ShareStatus> = {}): ShareStatus {
	return {
		offeredShare: 0.5,
		usedShare: 0.5,
		level: 100,
		admitted: 50,
		rate: 100,
		credit: 100,
		throttledMs: 0,
		...overrides,
	};
}

function inputsWith(overrides: Partial<AdmissionInputs> = {}): AdmissionInputs {
	return {
		options: [optionWith()],
		declinedBy: new Set(),
		shareStatus: shareStatusWith(),
		aimMs: 500,
		aimLeftMs: 500,
		deadlineLeftMs: 15_000,
		retryJitter: 0,
		...overrides,
	};
}

describe('decideAdmission', () => {
	test('places a request whose first event will be on time', () => {
		expect(decideAdmission(inputsWith({ options: [optionWith({ waitMs: 200 })] })).kind).toBe('place');
	});

	test('refuses at once a request that would be late, with a retry time that can still meet the target', () => {
		const decision = decideAdmission(inputsWith({ options: [optionWith({ waitMs: 450 })] }));
		expect(decision).toMatchObject({ kind: 'refuse', reason: 'busy' });
		expect(decision.kind === 'refuse' && decision.retryAfterMs).toBeLessThan(500);
	});

	test('chooses the next engine when the preferred one is too busy', () => {
		const other = optionWith({ waitMs: 20, cost: 300 });
		const decision = decideAdmission(inputsWith({ options: [optionWith({ waitMs: 450 }), other] }));
		expect(decision).toMatchObject({ kind: 'place', option: other });
	});

	// With a single wait limit, prompts whose prefill takes most of the target were never served.
	test('a prompt that takes most of the target for its prefill may still wait a little', () => {
		const large = optionWith({ waitMs: 100, readMs: 480 });
		expect(decideAdmission(inputsWith({ options: [large] })).kind).toBe('place');
	});

	// Queued work of an overloading account left no room at the engines for the other accounts.
	test('an account that offers more than its share leaves room at engines for the others', () => {
		const options = [optionWith({ waitMs: 200 })];
		const shareStatus = shareStatusWith({ offeredShare: 3 });
		expect(decideAdmission(inputsWith({ options, shareStatus }))).toMatchObject({
			kind: 'refuse',
			reason: 'busy',
		});
		expect(decideAdmission(inputsWith({ shareStatus })).kind).toBe('place');
	});

	test('a caller of an account over its share retries when it is admitted again, in time for its deadline', () => {
		expect(overShareRetryAfterMs(700, { aimMs: 500, deadlineLeftMs: 15_000 })).toBe(700);
		expect(overShareRetryAfterMs(1, { aimMs: 500, deadlineLeftMs: 15_000 })).toBeGreaterThan(100);
		expect(overShareRetryAfterMs(9_000, { aimMs: 500, deadlineLeftMs: 3_000 })).toBeLessThanOrEqual(1_000);
	});

	test('an account within its share is not refused because of load from accounts over their share', () => {
		expect(decideAdmission(inputsWith({ options: [optionWith({ load: 0.9, waitMs: 100 })] })).kind).toBe('place');
	});

	test('without a server the caller is asked to retry in time for its deadline', () => {
		const decision = decideAdmission(inputsWith({ options: [], deadlineLeftMs: 600 }));
		expect(decision).toMatchObject({ kind: 'refuse', reason: 'no-server' });
		expect(decision.kind === 'refuse' && decision.retryAfterMs).toBeLessThanOrEqual(200);
	});

	// With a fixed retry time, callers retried before any engine was usable, and all at the same time.
	test('when no engine takes requests the caller retries when the first one is expected to', () => {
		const unusable = (unusableMs: number): EngineOption =>
			optionWith({ health: { usable: false, failureRate: 0, unusableMs } });
		const retryMsWith = (
			retryJitter: number,
			options = [unusable(3_000), unusable(1_200), unusable(Infinity)],
		): number => {
			const decision = decideAdmission(inputsWith({ options, retryJitter }));
			expect(decision).toMatchObject({ kind: 'refuse', reason: 'no-server' });
			return decision.kind === 'refuse' ? decision.retryAfterMs : 0;
		};
		expect(retryMsWith(0)).toBe(1_200);
		expect(retryMsWith(1)).toBeGreaterThan(1_200);
		expect(retryMsWith(0, [unusable(Infinity)])).toBeLessThan(1_000);
	});

	test('an engine that cannot be reached is not chosen while another one is usable', () => {
		const unreachable = optionWith({ health: { usable: false, failureRate: 1, unusableMs: 400 } });
		const reachable = optionWith({ cost: 900, waitMs: 10 });
		expect(decideAdmission(inputsWith({ options: [unreachable, reachable] }))).toMatchObject({ option: reachable });
	});
});
