import { describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import type { Claim, KeyedCall, StoredOutcome } from '../common/idempotencyService.js';
import { IdempotencyService } from '../node/idempotencyService.js';
import { FaultyStore } from './faultyStore.js';

const HOUR_MS = 3_600_000;
const CALL: KeyedCall = { account: 'press/1', key: 'order 7', requestDigest: 'aa' };
const OUTCOME: StoredOutcome = { status: 201, headers: [['x', 'y']], body: new Uint8Array([0, 200, 255]) };
const run = Effect.runPromise;

function createServices(
	store: FaultyStore,
	count: number,
	now = (): number => 0,
	claimLimitMs = 20_000,
): readonly IdempotencyService[] {
	const times = { firstPauseMs: 0, longestPauseMs: 1, claimLimitMs, refusalMs: 1_000, settleLimitMs: 5_000 };
	return Array.from({ length: count }, () => IdempotencyService.create(store, { clock: { now }, times }));
}

async function claimCall(service: IdempotencyService, call = CALL): Promise<Claim> {
	const result = await run(service.claim(call));
	if (result.kind !== 'claimed') {
		throw new Error(`not claimed: ${result.kind}`);
	}
	return result.claim;
}

describe('StoredCalls', () => {
	// Guards against two routers that both dispatch retries of one call, also when responses of the store are lost.
	test.each([[[]], [['answer-lost']], [['refused', 'answer-lost', 'answer-lost']]] as const)(
		'gives one of many concurrent attempts the claim, with store faults %j',
		async (faults) => {
			const store = FaultyStore.create();
			store.failNext(...faults);
			const attempts = createServices(store, 8).flatMap((service) => [service.claim(CALL), service.claim(CALL)]);
			const kinds = (await run(Effect.all(attempts, { concurrency: 'unbounded' }))).map((result) => result.kind);
			expect(kinds.filter((kind) => kind === 'claimed')).toHaveLength(1);
			expect(kinds.filter((kind) => kind === 'in-doubt')).toHaveLength(15);
		},
	);

	// Guards against a retry that runs the call again or receives another response than the first attempt.
	test('replays the stored outcome at another router, also when the response to the write was lost', async () => {
		const store = FaultyStore.create();
		const [first, second] = createServices(store, 2) as [IdempotencyService, IdempotencyService];
		const claim = await claimCall(first);
		store.failNext('answer-lost');
		await run(first.complete(claim, OUTCOME));
		expect(await run(second.claim(CALL))).toEqual({ kind: 'replay', outcome: OUTCOME });
		expect(await run(second.lookup({ ...CALL, requestDigest: 'bb' }))).toEqual({ kind: 'mismatch' });
		expect(await run(second.lookup({ ...CALL, account: 'press' }))).toEqual({ kind: 'absent' });
	});

	// Guards against a call that was not run and can never be run, and against removing another attempt's record.
	test('a released call can be claimed again with a higher fencing number', async () => {
		const store = FaultyStore.create();
		const [first, second] = createServices(store, 2) as [IdempotencyService, IdempotencyService];
		const claim = await claimCall(first);
		store.failNext('answer-lost');
		await run(first.release(claim));
		const next = await claimCall(second);
		expect(next.revision).toBeGreaterThan(claim.revision);
		await run(first.release(claim));
		expect((await run(first.claim(CALL))).kind).toBe('in-doubt');
	});

	// Guards against a dispatch without a record, and against a refused call that is blocked for a day because its record
	// was written late.
	test('refuses while the store is down and removes a record whose creation got no response', async () => {
		const store = FaultyStore.create();
		let now = 0;
		const [service] = createServices(store, 1, () => now, 50) as [IdempotencyService];
		store.losesResponses = true;
		expect(await run(service.claim(CALL))).toEqual({ kind: 'unavailable', retryAfterSeconds: 1 });
		expect(await run(service.claim({ ...CALL, key: 'other' }))).toMatchObject({ kind: 'unavailable' });
		expect(store.values.size).toBe(1);
		store.losesResponses = false;
		while (store.values.size > 0) {
			await new Promise((resolve) => setTimeout(resolve, 1));
		}
		store.down = true;
		now = 2_000;
		expect((await run(service.lookup(CALL))).kind).toBe('unavailable');
		store.down = false; // The background removal can finish.
	});

	// Guards against records that expire before the end of the retention time, and against one lease per record.
	test('shares one lease per hour that outlives the retention time', async () => {
		const store = FaultyStore.create();
		let now = 0;
		const [service] = createServices(store, 1, () => now) as [IdempotencyService];
		const claims = ['a', 'b', 'c'].map((key) => service.claim({ ...CALL, key }));
		await run(Effect.all(claims, { concurrency: 'unbounded' }));
		now = HOUR_MS;
		await claimCall(service, { ...CALL, key: 'd' });
		expect(store.grantedSeconds).toEqual([25 * 3_600, 25 * 3_600]);
		expect([...store.values.values()].map((item) => item.leaseId)).toEqual(['1', '1', '1', '2']);
	});
});
