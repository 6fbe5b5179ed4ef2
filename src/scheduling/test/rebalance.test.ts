import { describe, expect, test } from '@jest/globals';
import { PoolReport } from '../../peers/common/generated/masticloom/peers/v1/peers.js';
import { PoolScheduler } from '../common/poolScheduler.js';

const POOL = 1;
const ACCOUNT = 7;
const BACKEND = 9;
const SLOTS = 2;

function reportOf(queued: number, held: number): PoolReport {
	return PoolReport.create({
		pool: POOL,
		complete: true,
		newAccounts: [ACCOUNT],
		accounts: [0],
		demands: [2 * queued + (held > 0 ? 1 : 0)],
		charged: [0],
		excesses: [0],
		slots: held > 0 ? [{ backend: BACKEND, held, failed: false }] : [],
	});
}

/** One account at two entries; the first holds both slots. */
function schedulerWith(queuedAtHolder: number, queuedAtOther: number): PoolScheduler {
	const slotLimits = new Map([[BACKEND, SLOTS]]);
	const scheduler = PoolScheduler.create(POOL, 1, { slack: 2, slotLimits, shareOf: () => 1 });
	scheduler.applyReport('holder', 'a', reportOf(queuedAtHolder, SLOTS));
	scheduler.applyReport('other', 'b', reportOf(queuedAtOther, 0));
	scheduler.finishRebuild();
	scheduler.rebalance();
	return scheduler;
}

describe('rebalance', () => {
	// Guards against requests of an account that wait at one router for ever while its slots are reused at another one.
	test('recalls a slot from the entry with the shorter queue', () => {
		const update = schedulerWith(2, 12).takeUpdate('holder');
		expect(update?.recalls).toEqual([{ backend: BACKEND, count: 1 }]);
	});

	// Guards against slots that move back and forth between entries whose queues hardly differ.
	test('recalls no slot when queues are nearly even', () => {
		expect(schedulerWith(5, 8).takeUpdate('holder')?.recalls).toEqual([]);
		expect(schedulerWith(12, 2).takeUpdate('holder')?.recalls).toEqual([]);
	});

	// Guards against a second recall while the first slot is still in use.
	test('waits for a recalled slot before it recalls another one', () => {
		const scheduler = schedulerWith(2, 12);
		scheduler.takeUpdate('holder');
		scheduler.rebalance();
		expect(scheduler.takeUpdate('holder')?.recalls).toEqual([]);
	});
});
