import { describe, expect, test } from '@jest/globals';
import type { EngineOption } from '../../engines/common/engineChoice.js';
import type { ShareStatus } from '../../shares/common/fleetShares.js';
import { type AdmissionInputs, decideAdmission, overShareRetryAfterMs } from '../common/admission.js';
import { optionWith } from '../../engines/test/engineFixture.js';

function standingWith(overrides: Partial<ShareStatus> = {}): ShareStatus {
	return { offeredShare: 0.5, usedShare: 0.5, level: 100, admitted: 50, throttledMs: 0, ...overrides };
}

function inputsWith(overrides: Partial<AdmissionInputs> = {}): AdmissionInputs {
	return {
		options: [optionWith()],
		declinedBy: new Set(),
		shareStatus: standingWith(),
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

	test('refuses at once what would be late, with a time within which it can still be on time', () => {
		const decision = decideAdmission(inputsWith({ options: [optionWith({ waitMs: 450 })] }));
		expect(decision).toMatchObject({ kind: 'refuse', reason: 'busy' });
		expect(decision.kind === 'refuse' && decision.retryAfterMs).toBeLessThan(500);
	});

	test('takes the next engine when the preferred one is too busy', () => {
		const other = optionWith({ waitMs: 20, cost: 300 });
		const decision = decideAdmission(inputsWith({ options: [optionWith({ waitMs: 450 }), other] }));
		expect(decision).toMatchObject({ kind: 'place', option: other });
	});

	// At one plain limit, prompts that take most of their aim to read were never served.
	test('a prompt that takes most of its aim to read may still wait a little', () => {
		const large = optionWith({ waitMs: 100, readMs: 480 });
		expect(decideAdmission(inputsWith({ options: [large] })).kind).toBe('place');
	});

	// Work of an account that floods left no room for the others.
	test('an account that asks for more than its share leaves room at engines for the others', () => {
		const options = [optionWith({ waitMs: 200 })];
		const shareStatus = standingWith({ offeredShare: 3 });
		expect(decideAdmission(inputsWith({ options, shareStatus }))).toMatchObject({
			kind: 'refuse',
			reason: 'busy',
		});
		expect(decideAdmission(inputsWith({ shareStatus })).kind).toBe('place');
	});

	test('the caller of an account beyond its share returns when it is admitted again, within its time', () => {
		expect(overShareRetryAfterMs(700, { aimMs: 500, deadlineLeftMs: 15_000 })).toBe(700);
		expect(overShareRetryAfterMs(1, { aimMs: 500, deadlineLeftMs: 15_000 })).toBeGreaterThan(100);
		expect(overShareRetryAfterMs(9_000, { aimMs: 500, deadlineLeftMs: 3_000 })).toBeLessThanOrEqual(1_000);
	});

	test('an account within its share is not refused for the load of others beyond theirs', () => {
		expect(decideAdmission(inputsWith({ options: [optionWith({ load: 0.9, waitMs: 100 })] })).kind).toBe('place');
	});

	test('without a server the caller is asked to return within its time', () => {
		const decision = decideAdmission(inputsWith({ options: [], deadlineLeftMs: 600 }));
		expect(decision).toMatchObject({ kind: 'refuse', reason: 'no-server' });
		expect(decision.kind === 'refuse' && decision.retryAfterMs).toBeLessThanOrEqual(200);
	});

	// Callers were told the usual time, came back before any engine could take them, and all at once.
	test('when no engine takes requests the caller is told when the first one will', () => {
		const closed = (unusableMs: number): EngineOption =>
			optionWith({ health: { usable: false, failureRate: 0, unusableMs } });
		const returnsAt = (retryJitter: number, options = [closed(3_000), closed(1_200), closed(Infinity)]): number => {
			const decision = decideAdmission(inputsWith({ options, retryJitter }));
			expect(decision).toMatchObject({ kind: 'refuse', reason: 'no-server' });
			return decision.kind === 'refuse' ? decision.retryAfterMs : 0;
		};
		expect(returnsAt(0)).toBe(1_200);
		expect(returnsAt(1)).toBeGreaterThan(1_200);
		expect(returnsAt(0, [closed(Infinity)])).toBeLessThan(1_000);
	});

	test('an engine that cannot be reached is not chosen while another can', () => {
		const dead = optionWith({ health: { usable: false, failureRate: 1, unusableMs: 400 } });
		const sound = optionWith({ cost: 900, waitMs: 10 });
		expect(decideAdmission(inputsWith({ options: [dead, sound] }))).toMatchObject({ option: sound });
	});
});
