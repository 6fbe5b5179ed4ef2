import { describe, expect, test } from '@jest/globals';
import { ServerOutcomes } from '../common/serverOutcomes.js';

describe('ServerOutcomes', () => {
	// Guards against decay to subnormal numbers, which made each choice of an engine twenty times slower.
	test('a decayed failure rate is zero, however often it is read', () => {
		const outcomes = ServerOutcomes.create();
		outcomes.record('failed', 0);
		expect(outcomes.health(0).failureRate).toBeGreaterThan(0);
		for (let now = 10; now <= 60_000; now += 10) {
			outcomes.health(now);
		}
		expect(outcomes.health(60_000).failureRate).toBe(0);
	});

	test('a server that has not failed has a failure rate of zero', () => {
		const outcomes = ServerOutcomes.create();
		outcomes.record('answered', 0);
		expect(outcomes.health(1)).toEqual({ usable: true, failureRate: 0, unusableMs: 0 });
	});
});
