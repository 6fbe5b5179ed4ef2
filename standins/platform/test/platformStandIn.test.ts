import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { Effect, Fiber } from 'effect';
import type { KeyValue } from '../../../src/store/common/keyValueStore.js';
import { EtcdStore } from '../../../src/store/node/etcdStore.js';
import { HttpInstanceList } from '../../../src/store/node/httpInstanceList.js';
import { PlatformStandIn } from '../platformStandIn.js';

const KEY = 'a/key';

function bytes(text: string): Uint8Array {
	return Buffer.from(text);
}

async function control(standIn: PlatformStandIn, path: string, body: unknown): Promise<unknown> {
	const response = await fetch(`http://${standIn.address}/control/${path}`, {
		method: 'POST',
		body: JSON.stringify(body),
	});
	expect(response.status).toBe(200);
	return response.json();
}

describe('platform stand-in with the clients of the router', () => {
	let standIn: PlatformStandIn;
	let store: EtcdStore;

	beforeEach(async () => {
		standIn = await PlatformStandIn.start();
		store = EtcdStore.create(standIn.storeUrl);
	});

	afterEach(() => standIn.close());

	test('only one of two writers succeeds with a compare-and-swap on an absent key', async () => {
		const swap = (text: string) => Effect.runPromise(store.compareAndSwap(KEY, 0, bytes(text)));
		const results = await Promise.all([swap('one'), swap('two')]);
		expect(results.filter((result) => result.swapped)).toHaveLength(1);
		const loser = results.find((result) => !result.swapped);
		expect(loser?.swapped === false && loser.current !== undefined).toBe(true);
	});

	test('a lost response is reported as unknown although the write took effect', async () => {
		await control(standIn, 'store', { lose_answers: 1, seed: 7 });
		const error = await Effect.runPromise(Effect.flip(store.compareAndSwap(KEY, 0, bytes('kept'))));
		expect(error.outcome).toBe('unknown');
		const found = await Effect.runPromise(store.get(KEY));
		expect(Buffer.from(found?.value ?? []).toString()).toBe('kept');
	});

	test('a refused connection and a call over the rate limit have no effect', async () => {
		await control(standIn, 'store', { writes_per_s: 1 });
		const attempts = [1, 2, 3].map((index) =>
			Effect.runPromise(Effect.result(store.compareAndSwap(`${KEY}${index}`, 0, bytes('x')))),
		);
		const limited = (await Promise.all(attempts)).filter((result) => result._tag === 'Failure');
		expect(limited.map((result) => result.failure.outcome)).toEqual(['no-effect', 'no-effect']);
		await control(standIn, 'store', { mode: 'refused' });
		// A client with an open connection cannot tell whether its call arrived; a new connection is refused.
		const fresh = EtcdStore.create(standIn.storeUrl);
		expect((await Effect.runPromise(Effect.flip(fresh.get(KEY)))).outcome).toBe('no-effect');
		await control(standIn, 'store', { mode: 'up' });
		expect(await Effect.runPromise(store.get(KEY))).toBeUndefined();
	});

	test('a watch delivers changes and ends with an outage', async () => {
		const seen: (KeyValue | undefined)[] = [];
		const watch = Effect.runFork(store.watch(KEY, (value) => seen.push(value)));
		while (standIn.counters.waitingWatches === 0) {
			await new Promise((resolve) => setTimeout(resolve, 1));
		}
		const swapped = await Effect.runPromise(store.compareAndSwap(KEY, 0, bytes('1')));
		await Effect.runPromise(store.remove(KEY, swapped.swapped ? swapped.revision : 0));
		while (seen.length < 2) {
			await new Promise((resolve) => setTimeout(resolve, 1));
		}
		expect(seen.map((value) => value && Buffer.from(value.value).toString())).toEqual(['1', undefined]);
		await control(standIn, 'store', { mode: 'refused' });
		const exit = await Effect.runPromise(Fiber.await(watch));
		expect(exit._tag).toBe('Failure');
	});

	test('a key with a lease disappears when the lease ends', async () => {
		const lease = await Effect.runPromise(store.grantLease(100));
		await Effect.runPromise(store.compareAndSwap(KEY, 0, bytes('x'), lease));
		expect(await Effect.runPromise(store.keepAlive(lease))).toBe(true);
		expect(await control(standIn, 'leases/expire', { id: lease })).toEqual({ expired: true });
		expect(await Effect.runPromise(store.get(KEY))).toBeUndefined();
		expect(await Effect.runPromise(store.keepAlive(lease))).toBe(false);
	});

	test('the list lags and contains the addresses set for a viewer', async () => {
		const instance = { instance: 'router-1', role: 'router', address: '127.0.0.1:1', failure_domain: 'east-1' };
		await control(standIn, 'instances', [instance, { ...instance, instance: 'router-2', address: '127.0.0.1:2' }]);
		await control(standIn, 'views', { viewer: 'router-2', addresses: { 'router-1': '127.0.0.1:9', 'router-2': null } });
		const seen = await Effect.runPromise(HttpInstanceList.create(`${standIn.instanceListUrl}?viewer=router-2`).fetch());
		expect(seen.map((item) => [item.name, item.address])).toEqual([['router-1', '127.0.0.1:9']]);
		await control(standIn, 'list', { lag_ms: 1_000_000 });
		expect(await Effect.runPromise(HttpInstanceList.create(standIn.instanceListUrl).fetch())).toEqual([]);
	});
});
