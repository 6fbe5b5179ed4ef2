import { describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { PlatformStandIn } from '../../../standins/platform/platformStandIn.js';
import type { IKeyValueStore, StoreError } from '../../store/common/keyValueStore.js';
import { EtcdStore } from '../../store/node/etcdStore.js';
import { ConfigurationPublisher } from '../node/configurationPublisher.js';
import { type ConfigurationSnapshot, loadSnapshot, type LoadedParts } from '../node/configurationSnapshot.js';
import { createAccount, createContent } from './fixtures.js';

const ACCOUNTS = 200;
const READS_BEFORE_REFUSAL = 10;

/** Wraps a store so that it refuses one read after every `readsBeforeRefusal` reads, like a store over its rate limit. */
function withRefusedReads(store: IKeyValueStore, readsBeforeRefusal: number): IKeyValueStore {
	let reads = 0;
	return {
		get: (key, options) =>
			Effect.suspend(() => {
				reads = (reads + 1) % (readsBeforeRefusal + 1);
				const refusal: StoreError = { outcome: 'no-effect', message: 'the store answered 429' };
				return reads === 0 ? Effect.fail(refusal) : store.get(key, options);
			}),
		compareAndSwap: (key, revision, value, leaseId) => store.compareAndSwap(key, revision, value, leaseId),
		list: (prefix, options) => store.list(prefix, options),
		remove: (key, revision) => store.remove(key, revision),
		grantLease: (seconds) => store.grantLease(seconds),
		keepAlive: (leaseId) => store.keepAlive(leaseId),
		watch: (key, onChange, start) => store.watch(key, onChange, start),
	};
}

describe('loadSnapshot', () => {
	// Guards against a router that never loads a configuration of many parts while the store is over its rate limit.
	test('continues with the parts that were read before a refused read', async () => {
		const standIn = await PlatformStandIn.start();
		const store = EtcdStore.create(standIn.storeUrl);
		const publisher = ConfigurationPublisher.create(store);
		const base = await Effect.runPromise(publisher.load());
		const accounts = Array.from({ length: ACCOUNTS }, (_, index) => createAccount(`account-${index}`));
		await Effect.runPromise(publisher.publish(base, createContent(accounts)));
		const limitedStore = withRefusedReads(store, READS_BEFORE_REFUSAL);
		const loadedParts: LoadedParts = new Map();
		let snapshot: ConfigurationSnapshot | undefined;
		const parts = (await Effect.runPromise(publisher.load())).cache.size;
		for (let attempt = 0; attempt < parts && snapshot === undefined; attempt++) {
			const result = await Effect.runPromise(
				Effect.result(loadSnapshot(limitedStore, new Map(), undefined, loadedParts)),
			);
			snapshot = result._tag === 'Success' ? result.success : undefined;
		}
		await standIn.close();
		expect(parts).toBeGreaterThan(READS_BEFORE_REFUSAL);
		expect(snapshot?.configuration.accounts).toHaveLength(ACCOUNTS);
	});
});
