import { expect, test } from '@jest/globals';
import { ShareCredit } from '../common/shareCredit.js';

const RATE = 1_000;

/** Time for which requests wait at a saturated router. */
const WAIT_MS = 1_600;

// Guards against a saturated router that refuses nearly all requests of an account which is below its share: their credit was
// computed for the times at which they had arrived, when requests that arrived later had already been counted.
test('a request that is counted late finds the credit that the account has', () => {
	const credit = ShareCredit.create();
	credit.spend(RATE, RATE, 0);
	expect(credit.remaining(RATE, 4_000)).toBe(RATE);
	expect(credit.throttledMs(RATE, 4_000 - WAIT_MS)).toBe(0);
	expect(credit.remaining(RATE, 4_000)).toBe(RATE);
});
