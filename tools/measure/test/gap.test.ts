import { describe, expect, test } from '@jest/globals';
import * as fc from 'fast-check';
import { GapTracker, computeGapBound } from '../gap.js';

interface Step {
	readonly account: number;
	readonly service: number;
	readonly toggles: boolean;
}

/** Computes the gap directly from its definition: over every interval in which both accounts of a pair stay backlogged. */
function gapByDefinition(shares: readonly number[], steps: readonly Step[]): number {
	const states = [{ service: shares.map(() => 0), backlogged: shares.map(() => false) }];
	for (const step of steps) {
		const last = states[states.length - 1] ?? { service: [], backlogged: [] };
		const service = [...last.service];
		const backlogged = [...last.backlogged];
		if (step.toggles) {
			backlogged[step.account] = backlogged[step.account] !== true;
		} else {
			service[step.account] = (service[step.account] ?? 0) + step.service;
		}
		states.push({ service, backlogged });
	}
	let gap = 0;
	for (let i = 0; i < shares.length; i++) {
		for (let j = i + 1; j < shares.length; j++) {
			for (let from = 0; from < states.length; from++) {
				for (let to = from; to < states.length; to++) {
					const end = states[to];
					const start = states[from];
					if (end?.backlogged[i] !== true || end.backlogged[j] !== true || start === undefined) {
						break;
					}
					const gained = (account: number): number =>
						((end.service[account] ?? 0) - (start.service[account] ?? 0)) / (shares[account] ?? 1);
					gap = Math.max(gap, Math.abs(gained(i) - gained(j)));
				}
			}
		}
	}
	return gap;
}

describe('GapTracker', () => {
	// Guards against a gap that omits an interval, or includes one in which an account was not backlogged.
	test('equals the definition on random histories', () => {
		const step = fc.record({
			account: fc.integer({ min: 0, max: 2 }),
			service: fc.integer({ min: 1, max: 9 }),
			toggles: fc.boolean(),
		});
		fc.assert(
			fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
				const shares = [1, 2, 5];
				const tracker = GapTracker.create(shares);
				const backlogged = [false, false, false];
				for (const { account, service, toggles } of steps) {
					if (toggles) {
						backlogged[account] = backlogged[account] !== true;
						tracker.setBacklogged(account, backlogged[account]);
					} else {
						tracker.deliver(account, service);
					}
				}
				expect(tracker.gap).toBeCloseTo(gapByDefinition(shares, steps), 9);
			}),
			{ seed: 1 },
		);
	});
});

describe('gapBound', () => {
	// Guards against changes of the formula: the expected values are computed by hand from design section 4.6.
	test('evaluates the formula for two accounts', () => {
		// slack = 2·10·2/4 = 10; requestsInFlight k = [1+1+2, 1+3+6]; commonTerm = 10+4·5+2·3 = 36;
		// excess = [4·90/1, 10·90/3]; overcharge = [4·10/1, 10·10/3].
		const parameters = {
			shares: [1, 3],
			slots: 8,
			meanCost: 10,
			largestCost: 100,
			entries: 4,
			quantum: 5,
			ratePerMs: 2,
			delayMs: 3,
			slack: 2,
		};
		expect(computeGapBound(parameters)).toBeCloseTo(72 + 360 + 300 + 40 + 100 / 3, 9);
		// Each account may be backlogged alone: k = [1+1+8, 1+3+8].
		expect(computeGapBound({ ...parameters, backloggedShares: 1 })).toBeCloseTo(72 + 900 + 360 + 100 + 40, 9);
	});
});
