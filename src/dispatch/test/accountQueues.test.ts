import { describe, expect, test } from '@jest/globals';
import { AccountQueue, AccountQueues } from '../common/accountQueues.js';

const LIMIT = 10;

function filledQueue(clock: { readonly now: () => number }, length: number): AccountQueue {
	const queue = AccountQueue.create(clock);
	for (let index = 0; index < length; index++) {
		queue.recordEnqueued();
	}
	return queue;
}

describe('AccountQueue', () => {
	// Guards against a Retry-After that ignores the drain rate, so that callers retry too early or too late.
	test('estimates for refused callers when half the queue will have drained, and follows a change of the rate', () => {
		let now = 0;
		const queue = filledQueue({ now: () => now }, LIMIT);
		const drain = (intervalMs: number, count: number): void => {
			for (let start = 0; start < count; start++) {
				now += intervalMs;
				queue.recordDequeued(true);
				queue.recordEnqueued();
			}
		};
		drain(2_000, 5);
		expect(queue.checkAdmission(LIMIT, undefined)).toEqual({ reason: 'queue-full', retryAfterSeconds: 10 });
		drain(200, 100);
		expect(queue.checkAdmission(LIMIT, undefined)).toEqual({ reason: 'queue-full', retryAfterSeconds: 2 });
		now += 30_000; // No request has been started since, so the measured rate is outdated.
		expect(queue.checkAdmission(LIMIT, undefined)).toEqual({ reason: 'queue-full', retryAfterSeconds: 150 });
	});

	// Guards against queueing a request that cannot meet its deadline, and against refusing one that can.
	test('refuses deadlines below the expected wait only', () => {
		let now = 0;
		const queue = filledQueue({ now: () => now }, 5);
		now += 1_000;
		queue.recordDequeued(true);
		expect(queue.checkAdmission(LIMIT, 3_000)).toEqual({ reason: 'deadline', retryAfterSeconds: 1 });
		expect(queue.checkAdmission(LIMIT, 4_000)).toBeUndefined();
	});

	// Guards against cancelled requests that raise the measured drain rate.
	test('does not count requests that were cancelled as drained', () => {
		let now = 0;
		const queue = filledQueue({ now: () => now }, 5);
		now += 1_000;
		queue.recordDequeued(true);
		queue.recordDequeued(false);
		expect([queue.length, queue.waitMs(3)]).toEqual([3, 3_000]);
	});
});

describe('AccountQueues', () => {
	// Guards against an account whose queue uses all the memory, and against a small share that cannot queue requests.
	test('derives limits from shares', () => {
		const queues = AccountQueues.create({ now: () => 0 });
		const account = (id: string, share: number) => ({ id, share, tokenDigests: [], services: ['s'] });
		const service = {
			id: 's',
			pool: 'p',
			kind: 'plain',
			operations: [],
			resumable: false,
			maximumBodyBytes: 1,
		} as const;
		const server = { id: 'b', pool: 'p', url: 'http://127.0.0.1:1', slots: 10, checksFencing: false };
		queues.configure({
			version: 1,
			accounts: [account('large', 9_999), account('medium', 1_000), account('small', 1)],
			services: [service],
			pools: [{ id: 'p', slack: 1 }],
			backendServers: [server],
		});
		const limits = ['large', 'medium', 'small'].map((id) => queues.getLimit('p', id));
		expect(limits).toEqual([582, 59, 32]);
	});
});
