import { describe, expect, test } from '@jest/globals';
import type { LoadRecord, RequestRecord } from '../../load/load.js';
import { analyse } from '../analysis.js';

function request(id: string, account: number, sentMs: number, endMs: number): RequestRecord {
	return { id, account, router: 0, sentMs, firstTokenMs: undefined, endMs, outcome: undefined };
}

// One engine with two slots, times in milliseconds. `a` runs from 0 to 100 and `b` from 10 to 200. `c` is sent at 20 and
// starts at 107, although a slot is free from 100 on, so one slot is free for 7 ms while a request waits.
const record: LoadRecord = {
	startMs: 0,
	endMs: 200,
	requests: [request('a', 0, 0, 100), request('b', 0, 10, 200), request('c', 1, 20, 200)],
	deliveries: [
		{ atMs: 50, account: 0, service: 3 },
		{ atMs: 150, account: 1, service: 5 },
	],
};
const ledgers = [
	{ backend: 'engine-1', requestId: 'a', startedAtMs: [0], endedAtMs: [100] },
	{ backend: 'engine-1', requestId: 'b', startedAtMs: [10], endedAtMs: [200] },
	{ backend: 'engine-1', requestId: 'c', startedAtMs: [107], endedAtMs: [200] },
];

describe('analyse', () => {
	// Guards against idle slots that are not counted, or are counted while nothing waits (as from 0 to 10 ms).
	test('counts slot time only while a request waits', () => {
		const slots = new Map([['engine-1', 2]]);
		const result = analyse(record, ledgers, { shares: [1, 1], slots, fromMs: 0, untilMs: 200 });
		expect(result.utilisation).toBeCloseTo((80 * 2 + 7) / (87 * 2), 9);
		expect(Math.max(...result.idleMs)).toBeCloseTo(7, 9);
		expect(result.service).toEqual([3, 5]);
		expect(result.maximumServiceGapMs[1]).toBeCloseTo(87, 9);
	});

	// Guards against a gap that includes service of accounts without waiting requests.
	test('measures the gap only while both accounts wait, and separately in each phase', () => {
		const slots = new Map([['engine-1', 2]]);
		const waiting: LoadRecord = {
			...record,
			requests: [...record.requests, request('d', 0, 0, 200), request('e', 1, 0, 200)],
		};
		const options = { shares: [1, 1], slots, fromMs: 0, untilMs: 200 };
		expect(analyse(record, ledgers, options).gaps).toEqual([0]);
		expect(analyse(waiting, ledgers, options).gaps).toEqual([5]);
		expect(analyse(waiting, ledgers, { ...options, phasesMs: [100] }).gaps).toEqual([3, 5]);
	});
});
