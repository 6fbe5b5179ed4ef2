import { describe, expect, test } from '@jest/globals';
import type { PoolReport } from '../../peers/common/generated/masticloom/peers/v1/peers.js';
import { type AccountDemand, AccountNumbers } from '../common/accountNumbers.js';
import { type PendingRequest, PoolEntry, type SlotLease } from '../common/poolEntry.js';
import { PoolScheduler } from '../common/poolScheduler.js';

const POOL = 1;
const BACKEND = 7;

function makeScheduler(term: number): PoolScheduler {
	return PoolScheduler.create(POOL, term, { slack: 2, slotLimits: new Map([[BACKEND, 4]]), shareOf: () => 1 });
}

function makeReport(demands: readonly Partial<AccountDemand>[]): PoolReport {
	const filled = demands.map((demand): AccountDemand => ({
		...{ account: 1, queued: 5, running: true, charged: 1_000, expected: 10, excess: 0, growth: 0 },
		...demand,
	}));
	const accounts = AccountNumbers.create().pack(filled, true);
	return { pool: POOL, term: 1, acknowledged: 0, complete: true, slots: [], ...accounts };
}

describe('rebuilding the scheduler state', () => {
	// Guards against an account at one router that is delayed after a change of the scheduler, because the service of
	// accounts at several routers during the change was counted only once.
	test('adds up the service that entries charged in the meantime, and uses the largest excess from before', () => {
		const scheduler = makeScheduler(2);
		scheduler.applyReport('router-1', 'a', makeReport([{ account: 1, excess: 3, growth: 20 }]));
		scheduler.applyReport('router-2', 'b', makeReport([{ account: 2, excess: 5, growth: 10 }]));
		scheduler.applyReport('router-3', 'c', makeReport([{ account: 2, excess: 4, growth: 10 }]));
		expect(scheduler.metrics()).toMatchObject({ floor: 23, gap: 2 });
	});

	// Guards against using absolute virtual service from the other side of a network partition, which differs by all the
	// service that either side delivered.
	test('uses the excess above the floor of an entry that joins later', () => {
		const scheduler = makeScheduler(2);
		scheduler.applyReport('router-1', 'a', makeReport([{ account: 1, growth: 500 }]));
		scheduler.finishRebuild();
		scheduler.applyReport('router-2', 'b', makeReport([{ account: 2, excess: 4, growth: 2, charged: 90_000 }]));
		expect(scheduler.metrics()).toMatchObject({ floor: 500, gap: 6 });
	});

	// Guards against an account that is delayed for seconds because an entry reports an outdated excess.
	test('reports no excess for an account that was idle at the entry', () => {
		const entry = PoolEntry.create(POOL, () => undefined);
		const scheduler = makeScheduler(1);
		scheduler.finishRebuild();
		const leases: SlotLease[] = [];
		const request: PendingRequest = { service: 's', expectedCost: 10, start: (lease) => leases.push(lease) };
		const state = entry.queue.account(1, 'account-1', 1);
		const exchange = (): void => {
			scheduler.applyReport('router-1', 'a', entry.takeReport());
			const update = scheduler.takeUpdate('router-1');
			if (update !== undefined) {
				entry.applyUpdate(update);
			}
		};
		entry.submit(state, request);
		exchange();
		entry.queue.setExcess(state, 400);
		leases[0]?.charge(10);
		leases[0]?.release(false);
		exchange();
		entry.submit(state, request);
		entry.requestCompleteReport();
		expect(entry.takeReport().excesses).toEqual([0]);
	});
});
