import { expect, test } from '@jest/globals';
import { runSoak } from '../soak.js';

const SEED = 11;
const DURATION_MS = 8_000;
const LOOPBACK_NETWORK = 204;

test('keeps its guarantees to callers and servers under random faults', async () => {
	const result = await runSoak(SEED, DURATION_MS, LOOPBACK_NETWORK);
	expect(result.violations).toEqual([]);
	expect(result.answered).toBeGreaterThan(result.calls / 2);
}, 60_000);
