import { expect, test } from '@jest/globals';
import { RateCorrection } from '../common/rateCorrection.js';

/** Follows an account that asks for three times its share, a part of whose rate is used by nobody. */
function admittedAfter(unusedPart: number, durationMs: number): number {
	const correction = RateCorrection.create();
	let admitted = 1;
	for (let now = 0; now < durationMs; now += 100) {
		admitted += 0.1 * ((1 - unusedPart) * correction.update(3, admitted, now) - admitted);
	}
	return admitted;
}

// Guards against an account that gets a fraction of its share because the rest of its rate belongs to routers that it has left.
test.each([0, 0.2, 0.4])('an account is admitted at its share when %d of its rate is unused', (unusedPart) => {
	expect(admittedAfter(unusedPart, 10_000)).toBeCloseTo(1, 1);
});

test('the correction is bounded, and ends when the account asks for no more than its share', () => {
	const correction = RateCorrection.create();
	let factor = 1;
	for (let now = 0; now < 10_000; now += 100) {
		factor = correction.update(3, 0, now);
	}
	expect(factor).toBe(2);
	expect(correction.update(0.9, 0.9, 10_000)).toBe(1);
});
