import { expect, test } from '@jest/globals';
import { soak } from '../soak.js';

const SEED = 11;
const DURATION_MS = 8_000;
const NETWORK = 204;

test('keeps its promises to callers and servers under random faults', async () => {
	const result = await soak(SEED, DURATION_MS, NETWORK);
	expect(result.violations).toEqual([]);
	expect(result.answered).toBeGreaterThan(result.calls / 2);
}, 60_000);
