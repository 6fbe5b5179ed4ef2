import { describe, expect, test } from '@jest/globals';
import { Effect, Fiber } from 'effect';
import { systemClock } from '../../base/common/clock.js';
import type { KeyValue, StoreError } from '../common/keyValueStore.js';
import type { ChangeSet, IRevisionedStore, KeyChange, Snapshot } from '../common/revisionedStore.js';
import { PrefixFollower } from '../node/prefixFollower.js';

type Step<T> = Effect.Effect<T, StoreError>;

const LOST: StoreError = { outcome: 'unknown', message: 'no answer' };

function entry(key: string, revision: number): KeyValue {
	return { key, revision, value: Buffer.from(`${key}@${revision}`) };
}

/** A store whose calls return the given results one after the other, and then wait for ever. */
function storeWith(
	reads: readonly Step<Snapshot>[],
	watches: readonly Step<ChangeSet | 'history-lost'>[],
): IRevisionedStore & {
	readonly watchedAfter: readonly number[];
} {
	const pending = { reads: [...reads], watches: [...watches] };
	const watchedAfter: number[] = [];
	return {
		watchedAfter,
		readAll: () => pending.reads.shift() ?? Effect.never,
		waitForChanges: (_prefix, afterRevision) => {
			watchedAfter.push(afterRevision);
			return pending.watches.shift() ?? Effect.never;
		},
		get: () => Effect.never,
		compareAndSwap: () => Effect.never,
		remove: () => Effect.never,
		grantLease: () => Effect.never,
		keepAlive: () => Effect.never,
	};
}

async function follow(
	store: IRevisionedStore,
	milliseconds = 60,
	routers = 1,
	isReader: () => boolean = () => true,
	patienceMs = 0,
): Promise<{
	readonly follower: PrefixFollower;
	readonly contacts: readonly boolean[];
	readonly changes: readonly (readonly string[])[];
}> {
	const follower = PrefixFollower.create(
		'servers/',
		store,
		systemClock,
		{ write: () => undefined },
		{ routers: () => routers, isReader, isReadByPeers: () => false, peerSnapshotWaitMs: () => patienceMs },
		() => 1,
	);
	const contacts: boolean[] = [];
	const changes: (readonly string[])[] = [];
	follower.onDidChangeContact((contact) => contacts.push(contact));
	follower.onDidChange((entries) => changes.push([...entries.keys()]));
	const fiber = Effect.runFork(follower.run());
	await new Promise((resolve) => setTimeout(resolve, milliseconds));
	await Effect.runPromise(Fiber.interrupt(fiber));
	return { follower, contacts, changes };
}

const removed = (key: string, revision: number): KeyChange => ({ key, revision, value: undefined });

describe('PrefixFollower', () => {
	test('reads everything and goes on from the revision of the read', async () => {
		const store = storeWith(
			[Effect.succeed({ entries: [entry('servers/a', 3)], revision: 5 })],
			[Effect.succeed({ changes: [entry('servers/b', 6), removed('servers/a', 7)], revision: 7 })],
		);
		const { follower, changes } = await follow(store);
		expect(store.watchedAfter).toEqual([5, 7]);
		expect(changes).toEqual([['servers/a'], ['servers/b']]);
		expect(follower.lastChangeRevision).toBe(7);
	});

	// What was removed while the history was lost shows in the next read only.
	test('reads everything again when the history was lost', async () => {
		const store = storeWith(
			[
				Effect.succeed({ entries: [entry('servers/a', 3), entry('servers/b', 4)], revision: 5 }),
				Effect.succeed({ entries: [entry('servers/b', 4)], revision: 9 }),
			],
			[Effect.succeed('history-lost')],
		);
		const { follower, changes } = await follow(store);
		expect(changes.at(-1)).toEqual(['servers/b']);
		expect(follower.lastChangeRevision).toBe(9);
	});

	test('keeps what it knows while the store is away, and tells the loss and the return once', async () => {
		const store = storeWith(
			[Effect.succeed({ entries: [entry('servers/a', 3)], revision: 5 })],
			[Effect.fail(LOST), Effect.fail(LOST), Effect.succeed({ changes: [], revision: 6 })],
		);
		const { follower, contacts } = await follow(store, 400);
		expect(contacts).toEqual([true, false, true]);
		expect(follower.snapshot()?.entries).toHaveLength(1);
	});

	test('repeats failed calls with growing pauses', async () => {
		const store = storeWith([], []);
		let calls = 0;
		const failing: IRevisionedStore = {
			...store,
			readAll: () =>
				Effect.andThen(
					Effect.sync(() => calls++),
					Effect.fail(LOST),
				),
		};
		await follow(failing, 500);
		expect(calls).toBeLessThan(10);
	});

	// Each change cost one call of each of 73 routers.
	test('gathers changes in a large fleet', async () => {
		const change = (revision: number): Step<ChangeSet> =>
			Effect.succeed({ changes: [entry('servers/a', revision)], revision });
		const store = storeWith([Effect.succeed({ entries: [], revision: 1 })], [2, 3, 4, 5, 6, 7, 8].map(change));
		await follow(store, 700, 73);
		expect(store.watchedAfter.length).toBeLessThanOrEqual(3);
	});

	test('takes a newer snapshot of a peer and refuses an older one', async () => {
		const { follower } = await follow(
			storeWith([Effect.succeed({ entries: [entry('servers/a', 3)], revision: 5 })], []),
		);
		expect(follower.apply({ entries: [], revision: 4 })).toBe(false);
		expect(follower.snapshot()?.entries).toHaveLength(1);
		expect(follower.apply({ entries: [], revision: 8 })).toBe(true);
		expect(follower.lastChangeRevision).toBe(8);
	});

	// Seventy routers that all watched the store paid a tenth of their worth for it.
	test('a router for which others read makes no calls, and goes on from what they told it', async () => {
		let isReader = false;
		const store = storeWith([Effect.succeed({ entries: [entry('servers/a', 3)], revision: 5 })], []);
		const { follower, contacts } = await follow(store, 300, 40, () => isReader);
		expect(store.watchedAfter).toEqual([]);
		expect(follower.isConnected).toBe(false);
		expect(contacts).toEqual([true, false]);
		follower.apply({ entries: [entry('servers/b', 8)], revision: 9 });
		isReader = true;
		const fiber = Effect.runFork(follower.run());
		await new Promise((resolve) => setTimeout(resolve, 20));
		await Effect.runPromise(Fiber.interrupt(fiber));
		expect(store.watchedAfter).toEqual([9]);
	});

	// After a herd of restarts each router read everything from the store, though most peers knew it.
	test('a new router that a peer tells in time does not read everything', async () => {
		let reads = 0;
		const store = {
			...storeWith([], []),
			readAll: () => {
				reads++;
				return Effect.never;
			},
		};
		const fleet = {
			routers: () => 40,
			isReader: () => false,
			isReadByPeers: () => true,
			peerSnapshotWaitMs: () => 200,
		};
		const follower = PrefixFollower.create('servers/', store, systemClock, { write: () => undefined }, fleet);
		const fiber = Effect.runFork(follower.run());
		await new Promise((resolve) => setTimeout(resolve, 50));
		follower.apply({ entries: [entry('servers/a', 3)], revision: 5 });
		await new Promise((resolve) => setTimeout(resolve, 300));
		await Effect.runPromise(Fiber.interrupt(fiber));
		expect(reads).toBe(0);
	});

	test('a new router whom no peer tells reads everything after its patience', async () => {
		const store = storeWith([Effect.succeed({ entries: [entry('servers/a', 3)], revision: 5 })], []);
		const { follower } = await follow(store, 50, 1, () => true, 100);
		expect(follower.snapshot()).toBeUndefined();
		const { follower: later } = await follow(
			storeWith([Effect.succeed({ entries: [entry('servers/a', 3)], revision: 5 })], []),
			300,
			1,
			() => true,
			100,
		);
		expect(later.snapshot()?.revision).toBe(5);
	});

	// An entry that a listener could not deal with ended the following, and the router never heard of changes again.
	test('goes on when a listener fails', async () => {
		const store = storeWith(
			[Effect.succeed({ entries: [entry('servers/a', 3)], revision: 5 })],
			[Effect.succeed({ changes: [entry('servers/b', 6)], revision: 6 })],
		);
		const lines: string[] = [];
		const log = { write: (event: string) => void lines.push(event) };
		const follower = PrefixFollower.create('servers/', store, systemClock, log);
		follower.onDidChange(() => {
			throw new Error('unexpected');
		});
		const fiber = Effect.runFork(follower.run());
		await new Promise((resolve) => setTimeout(resolve, 60));
		await Effect.runPromise(Fiber.interrupt(fiber));
		expect(store.watchedAfter).toEqual([5, 6]);
		expect(lines.filter((line) => line === 'change-not-applied')).toHaveLength(2);
	});
});
