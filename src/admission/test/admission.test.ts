import { describe, expect, test } from '@jest/globals';
import type { EngineOption } from '../../engines/common/engineChoice.js';
import { type AdmissionInputs, decideAdmission } from '../common/admission.js';
import { optionWith } from '../../engines/test/engineFixture.js';

function inputsWith(overrides: Partial<AdmissionInputs> = {}): AdmissionInputs {
	return {
		options: [optionWith()],
		declinedBy: new Set(),
		standing: { usedShare: 0.5, level: 100, admitted: 50 },
		aimMs: 500,
		aimLeftMs: 500,
		deadlineLeftMs: 15_000,
		spread: 0,
		...overrides,
	};
}

const overShare = { usedShare: 2, level: 100, admitted: 200 };

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

	test('an account beyond its share gets what an idle engine can give', () => {
		expect(decideAdmission(inputsWith({ standing: overShare })).kind).toBe('place');
		const busy = optionWith({ load: 0.8 });
		expect(decideAdmission(inputsWith({ standing: overShare, options: [busy] }))).toMatchObject({
			reason: 'over-share',
		});
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
		const returnsAt = (spread: number, options = [closed(3_000), closed(1_200), closed(Infinity)]): number => {
			const decision = decideAdmission(inputsWith({ options, spread }));
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
