import { describe, expect, test } from '@jest/globals';
import { Effect, Fiber } from 'effect';
import type { StoreError } from '../../store/common/keyValueStore.js';
import type { IRevisionedStore } from '../../store/common/revisionedStore.js';
import { keepRegistered, discoverRouters } from '../node/routerRegistration.js';

const ENTRY = { instance: 'router-1', address: { host: '127.0.0.1', port: 7400 } };
const AWAY: StoreError = { outcome: 'no-effect', message: 'away' };
const LOG = { write: () => undefined };

interface CountingStore extends IRevisionedStore {
	readonly calls: string[];
}

/** A store that counts its calls. */
function storeWith(overrides: Partial<IRevisionedStore> = {}): CountingStore {
	const calls: string[] = [];
	const counted = <T>(name: string, result: Effect.Effect<T, StoreError>): Effect.Effect<T, StoreError> =>
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
		readAll: (prefix, options) => counted('read', store.readAll(prefix, options)),
		grantLease: (seconds) => counted('lease', store.grantLease(seconds)),
		keepAlive: (lease) => counted('renew', store.keepAlive(lease)),
		compareAndSwap: (key, revision, value, lease) =>
			counted(`write after ${revision}`, store.compareAndSwap(key, revision, value, lease)),
	};
}

async function runFor(milliseconds: number, effect: Effect.Effect<never>): Promise<void> {
	const fiber = Effect.runFork(effect);
	await new Promise((resolve) => setTimeout(resolve, milliseconds));
	await Effect.runPromise(Fiber.interrupt(fiber));
}

describe('keepRegistered', () => {
	test('a router has its entry after two calls', async () => {
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

	// Entries of all 195 routers were a third of the calls to the store.
	test('a router that is not wanted makes no calls until it is', async () => {
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

	// The store refuses a third of the routers for nine seconds, in which each called it every 1.5 s.
	test('calls become rare while the store is away', async () => {
		const store = storeWith({ grantLease: () => Effect.fail(AWAY) });
		await runFor(
			6_000,
			keepRegistered(store, ENTRY, () => true, LOG),
		);
		expect(store.calls.length).toBeLessThanOrEqual(3);
	}, 10_000);
});

describe('searchRouters', () => {
	test('a router that others tell of the fleet does not look for it in the store', async () => {
		const store = storeWith();
		await runFor(1_500, discoverRouters(store, { onFound: () => undefined, isDue: () => false }, LOG));
		expect(store.calls).toEqual([]);
	});
});
