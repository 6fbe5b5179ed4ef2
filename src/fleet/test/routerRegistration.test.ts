import { describe, expect, test } from '@jest/globals';
import { Effect, Fiber } from 'effect';
import type { StoreError } from '../../store/common/keyValueStore.js';
import type { IRevisionedStore } from '../../store/common/revisionedStore.js';
import { keepRegistered, discoverRouters } from '../node/routerRegistration.js';

const ENTRY = { instance: 'router-1', address: { host: '127.0.0.1', port: 7400 } };
const UNAVAILABLE: StoreError = { outcome: 'no-effect', message: 'away' };
const LOG = { write: () => undefined };

interface RecordingStore extends IRevisionedStore {
	readonly calls: string[];
}

/** Creates a store that records its calls. */
function storeWith(overrides: Partial<IRevisionedStore> = {}): RecordingStore {
	const calls: string[] = [];
	const recorded = <T>(name: string, result: Effect.Effect<T, StoreError>): Effect.Effect<T, StoreError> =>
		Effect.andThen(
			Effect.sync(() => calls.push(name)),
			result,
		);
	const store: IRevisionedStore = {
		get: () => Effect.never,
		remove: () => Effect.never,
		waitForChanges: () => Effect.never,
		readAll: () => Effect.succeed({ entries: [], revision: 1 }),
		grantLease: () => Effect.succeed('7'),
		keepAlive: () => Effect.succeed(true),
		compareAndSwap: () => Effect.succeed({ swapped: true, revision: 2 }),
		...overrides,
	};
	return {
		...store,
		calls,
		readAll: (prefix, options) => recorded('read', store.readAll(prefix, options)),
		grantLease: (seconds) => recorded('lease', store.grantLease(seconds)),
		keepAlive: (lease) => recorded('renew', store.keepAlive(lease)),
		compareAndSwap: (key, revision, value, lease) =>
			recorded(`write after ${revision}`, store.compareAndSwap(key, revision, value, lease)),
	};
}

async function runFor(milliseconds: number, effect: Effect.Effect<never>): Promise<void> {
	const fiber = Effect.runFork(effect);
	await new Promise((resolve) => setTimeout(resolve, milliseconds));
	await Effect.runPromise(Fiber.interrupt(fiber));
}

describe('keepRegistered', () => {
	test('a router registers with two calls', async () => {
		const store = storeWith();
		await runFor(
			1_000,
			keepRegistered(store, ENTRY, () => true, LOG),
		);
		expect(store.calls).toEqual(['lease', 'write after 0']);
	});

	test('the entry of an earlier process is replaced', async () => {
		const current = { key: 'masticloom/routers/router-1', revision: 9, value: Buffer.from('') };
		const store = storeWith({
			compareAndSwap: (_key, revision) =>
				Effect.succeed(revision === 9 ? { swapped: true, revision: 10 } : { swapped: false, current }),
		});
		await runFor(
			1_000,
			keepRegistered(store, ENTRY, () => true, LOG),
		);
		expect(store.calls).toEqual(['lease', 'write after 0', 'write after 9']);
	});

	// With entries of all 195 routers, registration made up a third of the calls to the store.
	test('a router whose entry is not wanted makes no calls until it is', async () => {
		const store = storeWith();
		let isWanted = false;
		setTimeout(() => (isWanted = true), 1_000);
		await runFor(
			900,
			keepRegistered(store, ENTRY, () => isWanted, LOG),
		);
		expect(store.calls).toEqual([]);
		await runFor(
			2_000,
			keepRegistered(store, ENTRY, () => isWanted, LOG),
		);
		expect(store.calls).toContain('write after 0');
	});

	// The store can refuse a third of the routers for nine seconds; each of them then called it every 1.5 s.
	test('calls become rare while the store is unavailable', async () => {
		const store = storeWith({ grantLease: () => Effect.fail(UNAVAILABLE) });
		await runFor(
			6_000,
			keepRegistered(store, ENTRY, () => true, LOG),
		);
		expect(store.calls.length).toBeLessThanOrEqual(3);
	}, 10_000);
});

describe('searchRouters', () => {
	test('a router that learns of the fleet from others does not search the store', async () => {
		const store = storeWith();
		await runFor(1_500, discoverRouters(store, { onFound: () => undefined, isDue: () => false }, LOG));
		expect(store.calls).toEqual([]);
	});
});
