import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { parseRetryAfter } from '../common/retryAfter.js';

const NOW = Date.UTC(2026, 11, 4, 12, 0, 0);

describe('parseRetryAfter', () => {
	test.each([
		['3', 3_000],
		['0', 0],
		['0.25', 250],
		['1.4142135623730951', 1_414.2135623730951],
		[' 2 ', 2_000],
		['1, 4', 4_000],
		[['2', '1.5'], 2_000],
		['Fri, 04 Dec 2026 12:00:05 GMT', 5_000],
		['Fri, 04 Dec 2026 11:00:00 GMT', 0],
		['1, Fri, 04 Dec 2026 12:00:05 GMT', 5_000],
		['999999999999', 600_000],
		['nonsense, 2', 2_000],
	])('%p', (header, milliseconds) => {
		expect(parseRetryAfter(header, NOW)).toBe(milliseconds);
	});

	test.each([
		'',
		'-3',
		'soon',
		'1e9',
		'0x10',
		'Infinity',
		'NaN',
		'3s',
		'1.',
		'.5',
		'4 5',
		'2026-12-04',
		'9'.repeat(400),
	])('%p is not a valid time', (header) => {
		expect(parseRetryAfter(header, NOW)).toBeUndefined();
	});

	// A result of NaN would exclude an engine permanently.
	test('any text gives a time within bounds or none', () => {
		fc.assert(
			fc.property(fc.oneof(fc.string(), fc.array(fc.string()), fc.double().map(String)), (header) => {
				const milliseconds = parseRetryAfter(header, NOW);
				expect(milliseconds === undefined || (milliseconds >= 0 && milliseconds <= 600_000)).toBe(true);
			}),
		);
	});

	test('whole and fractional seconds are parsed exactly', () => {
		fc.assert(
			fc.property(fc.nat(599), fc.nat(999), (seconds, thousandths) => {
				const text = `${seconds}.${String(thousandths).padStart(3, '0')}`;
				expect(parseRetryAfter(text, NOW)).toBeCloseTo(seconds * 1_000 + thousandths, 6);
			}),
		);
	});
});
