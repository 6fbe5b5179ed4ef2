import { expect, test } from '@jest/globals';
import { runSoak } from '../soak.js';

const SEED = 11;
const DURATION_MS = 8_000;
const NETWORK = 204;

test('keeps its promises to callers and servers under random faults', async () => {
	const result = await runSoak(SEED, DURATION_MS, NETWORK);
	expect(result.violations).toEqual([]);
	expect(result.answered).toBeGreaterThan(result.calls / 2);
}, 60_000);
