import { describe, expect, test } from '@jest/globals';
import { isProcessPause } from '../common/processPause.js';

const SMALLEST_CPU_SHARE = 0.12;

describe('isProcessPause', () => {
	// Guards against taking in more than the CPU can process, since its lag passes for a freeze.
	test.each([25, 250, 1_000, 30_000])('is false for a saturated CPU that runs a timer %i ms late', (lateMs) => {
		expect(isProcessPause(lateMs, lateMs * SMALLEST_CPU_SHARE)).toBe(false);
		expect(isProcessPause(lateMs, lateMs)).toBe(false);
	});

	test('is false for a process that waits for its CPU quota', () => {
		expect(isProcessPause(100, 0)).toBe(false);
	});

	// Guards against refusing requests as overload after a freeze.
	test.each([600, 4_000, 60_000])('is true for a busy process that was frozen for %i ms', (lateMs) => {
		expect(isProcessPause(lateMs, 50)).toBe(true);
	});
});
