import { describe, expect, test } from '@jest/globals';
import { eraOf, formatRevision, splitRevision, toRevision } from '../common/storeRevision.js';

describe('a revision', () => {
	// Guards against the content of a restored store being taken for older than what was read before.
	test('is higher after a restore, whatever the counter', () => {
		const before = toRevision({ era: 1, counter: 5_000 }) ?? 0;
		const after = toRevision({ era: 2, counter: 3 }) ?? 0;
		expect(after).toBeGreaterThan(before);
		expect(splitRevision(after)).toEqual({ era: 2, counter: 3 });
		expect([eraOf(before), formatRevision(after)]).toEqual([1, '2.3']);
	});

	test('equals the counter of a store that was never restored', () => {
		expect(toRevision({ era: 0, counter: 17 })).toBe(17);
	});

	test('does not exist for numbers that are not whole or out of range', () => {
		const parts = [
			{ era: -1, counter: 1 },
			{ era: 0.5, counter: 1 },
			{ era: Number.NaN, counter: 1 },
			{ era: 2 ** 13, counter: 1 },
			{ era: 1, counter: 2 ** 40 },
		];
		expect(parts.map(toRevision)).toEqual(parts.map(() => undefined));
	});
});
