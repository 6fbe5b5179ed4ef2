import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals';
import { Effect, Fiber } from 'effect';
import { systemClock } from '../../base/common/clock.js';
import type { KeyValue, StoreError } from '../common/keyValueStore.js';
import type { ChangeSet, IRevisionedStore, KeyChange, Snapshot } from '../common/revisionedStore.js';
import { toRevision } from '../common/storeRevision.js';
import { PrefixFollower } from '../node/prefixFollower.js';

type StoreCall<T> = Effect.Effect<T, StoreError>;

const UNAVAILABLE: StoreError = { outcome: 'unknown', message: 'no answer' };

function entry(key: string, revision: number): KeyValue {
	return { key, revision, value: Buffer.from(`${key}@${revision}`) };
}

/** A store whose calls return the given results in order; further calls never complete. */
function createStore(
	reads: readonly StoreCall<Snapshot>[],
	watches: readonly StoreCall<ChangeSet | 'history-lost'>[],
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

async function runFollower(
	store: IRevisionedStore,
	milliseconds = 60,
	routers = 1,
	isReader: () => boolean = () => true,
	peerSnapshotWaitMs = 0,
	onStart: (follower: PrefixFollower) => void = () => undefined,
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
		{
			routers: () => routers,
			isReader,
			isFrequentReader: () => false,
			isStoreReadByPeers: () => false,
			peerSnapshotWaitMs: () => peerSnapshotWaitMs,
		},
		() => 1,
	);
	const contacts: boolean[] = [];
	const changes: (readonly string[])[] = [];
	follower.onDidChangeStoreContact((contact) => contacts.push(contact));
	follower.onDidChange((entries) => changes.push([...entries.keys()]));
	const fiber = Effect.runFork(follower.run());
	onStart(follower);
	await new Promise((resolve) => setTimeout(resolve, milliseconds));
	await Effect.runPromise(Fiber.interrupt(fiber));
	return { follower, contacts, changes };
}

const removed = (key: string, revision: number): KeyChange => ({ key, revision, value: undefined });

describe('PrefixFollower', () => {
	test('reads everything and then watches from the revision of the read', async () => {
		const store = createStore(
			[Effect.succeed({ entries: [entry('servers/a', 3)], revision: 5 })],
			[Effect.succeed({ changes: [entry('servers/b', 6), removed('servers/a', 7)], revision: 7 })],
		);
		const { follower, changes } = await runFollower(store);
		expect(store.watchedAfter).toEqual([5, 7]);
		expect(changes).toEqual([['servers/a'], ['servers/b']]);
		expect(follower.lastChangeRevision).toBe(7);
	});

	// Removals in the part of the history that the store no longer has can only be detected by the next full read.
	test('reads everything again when the history was lost', async () => {
		const store = createStore(
			[
				Effect.succeed({ entries: [entry('servers/a', 3), entry('servers/b', 4)], revision: 5 }),
				Effect.succeed({ entries: [entry('servers/b', 4)], revision: 9 }),
			],
			[Effect.succeed('history-lost')],
		);
		const { follower, changes } = await runFollower(store);
		expect(changes.at(-1)).toEqual(['servers/b']);
		expect(follower.lastChangeRevision).toBe(9);
	});

	test('keeps its values while the store is unreachable, and reports the loss and the recovery once each', async () => {
		const store = createStore(
			[Effect.succeed({ entries: [entry('servers/a', 3)], revision: 5 })],
			[Effect.fail(UNAVAILABLE), Effect.fail(UNAVAILABLE), Effect.succeed({ changes: [], revision: 6 })],
		);
		const { follower, contacts } = await runFollower(store, 400);
		expect(contacts).toEqual([true, false, true]);
		expect(follower.snapshot()?.entries).toHaveLength(1);
	});

	test('retries failed calls with increasing delays', async () => {
		const store = createStore([], []);
		let calls = 0;
		const failing: IRevisionedStore = {
			...store,
			readAll: () =>
				Effect.andThen(
					Effect.sync(() => calls++),
					Effect.fail(UNAVAILABLE),
				),
		};
		await runFollower(failing, 500);
		expect(calls).toBeLessThan(10);
	});

	// Without batching, each change caused one store call on each of 73 routers.
	test('batches changes in a large fleet', async () => {
		const change = (revision: number): StoreCall<ChangeSet> =>
			Effect.succeed({ changes: [entry('servers/a', revision)], revision });
		const store = createStore([Effect.succeed({ entries: [], revision: 1 })], [2, 3, 4, 5, 6, 7, 8].map(change));
		await runFollower(store, 700, 73);
		expect(store.watchedAfter.length).toBeLessThanOrEqual(3);
	});

	test('applies a newer snapshot from a peer and refuses an older one', async () => {
		const { follower } = await runFollower(
			createStore([Effect.succeed({ entries: [entry('servers/a', 3)], revision: 5 })], []),
		);
		expect(follower.apply({ entries: [], revision: 4 })).toBe(false);
		expect(follower.snapshot()?.entries).toHaveLength(1);
		expect(follower.apply({ entries: [], revision: 8 })).toBe(true);
		expect(follower.lastChangeRevision).toBe(8);
	});

	// When 70 routers all watched the store, the calls cost a tenth of the routers' value.
	test('a router that is not a reader makes no calls, and later watches from the revision its peers sent', async () => {
		let isReader = false;
		const store = createStore([Effect.succeed({ entries: [entry('servers/a', 3)], revision: 5 })], []);
		const { follower, contacts } = await runFollower(store, 300, 40, () => isReader);
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

	// After many routers had restarted at once, each read everything from the store although most peers had a snapshot.
	test('a new router that receives a snapshot from a peer in time does not read everything', async () => {
		let reads = 0;
		const store = {
			...createStore([], []),
			readAll: () => {
				reads++;
				return Effect.never;
			},
		};
		const fleet = {
			routers: () => 40,
			isReader: () => false,
			isFrequentReader: () => false,
			isStoreReadByPeers: () => true,
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

	test('a new router that receives no snapshot from a peer reads everything after its waiting period', async () => {
		const store = createStore([Effect.succeed({ entries: [entry('servers/a', 3)], revision: 5 })], []);
		const { follower } = await runFollower(store, 50, 1, () => true, 100);
		expect(follower.snapshot()).toBeUndefined();
		const { follower: later } = await runFollower(
			createStore([Effect.succeed({ entries: [entry('servers/a', 3)], revision: 5 })], []),
			300,
			1,
			() => true,
			100,
		);
		expect(later.snapshot()?.revision).toBe(5);
	});

	// An exception in a listener ended the watch, after which the router received no more changes.
	test('continues when a listener throws', async () => {
		const store = createStore(
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

	// Guards against a read whose result is older than what is known being repeated without a pause.
	test('waits before it reads again when the store returns an older state', async () => {
		const older = Effect.succeed({ entries: [entry('servers/a', 3)], revision: 3 });
		const store = createStore(
			[Effect.succeed({ entries: [entry('servers/a', 5)], revision: 5 }), ...Array<typeof older>(1_000).fill(older)],
			Array<StoreCall<'history-lost'>>(1_000).fill(Effect.succeed('history-lost')),
		);
		const { follower, contacts } = await runFollower(store, 300);
		expect(store.watchedAfter.length).toBeLessThanOrEqual(10);
		expect(follower.snapshot()).toMatchObject({ revision: 5 });
		expect(contacts).toEqual([true, false]);
	});

	// Guards against the result of a watch replacing newer values that a peer has sent while the watch was waiting.
	test('ignores changes of a watch that are older than a snapshot of a peer', async () => {
		const late = Effect.delay(Effect.succeed({ changes: [entry('servers/a', 6)], revision: 6 }), 30);
		const store = createStore([Effect.succeed({ entries: [entry('servers/a', 5)], revision: 5 })], [late]);
		const { follower, changes } = await runFollower(
			store,
			80,
			1,
			() => true,
			0,
			(started) => setTimeout(() => started.apply({ entries: [entry('servers/a', 9)], revision: 9 }), 10),
		);
		expect(follower.snapshot()).toEqual({ entries: [entry('servers/a', 9)], revision: 9 });
		expect(changes).toHaveLength(2);
	});

	describe('of a store that is restored from an older copy', () => {
		const revisionIn = (era: number, counter: number): number => toRevision({ era, counter }) ?? 0;
		const first = entry('servers/a', revisionIn(1, 20));
		const second = entry('servers/b', revisionIn(1, 25));

		function startRestored(): { readonly follower: PrefixFollower; readonly changes: (readonly string[])[] } {
			const follower = PrefixFollower.create('servers/', createStore([], []), systemClock, { write: () => undefined });
			const changes: (readonly string[])[] = [];
			follower.apply({ entries: [first, second], revision: revisionIn(1, 25) });
			follower.onDidChange((entries) => changes.push([...entries.keys()].sort()));
			follower.apply({ entries: [entry('servers/a', revisionIn(2, 20))], revision: revisionIn(2, 20) });
			return { follower, changes };
		}

		beforeEach(() => void jest.useFakeTimers());
		afterEach(() => void jest.useRealTimers());

		// Guards against an entry that the copy lacks being taken for one that was removed.
		test('keeps an entry that is missing until it can have been written again', () => {
			const { follower, changes } = startRestored();
			expect(changes).toEqual([['servers/a', 'servers/b']]);
			jest.advanceTimersByTime(2_300);
			expect(changes).toEqual([['servers/a', 'servers/b'], ['servers/a']]);
			follower.dispose();
		});

		test('does not drop an entry that was written again, also after a second restore', () => {
			const { follower, changes } = startRestored();
			const rewritten = entry('servers/b', revisionIn(2, 21));
			follower.apply({ entries: [first, rewritten], revision: revisionIn(2, 21) });
			follower.apply({ entries: [first], revision: revisionIn(3, 20) });
			jest.advanceTimersByTime(1_000);
			follower.apply({ entries: [first, rewritten], revision: revisionIn(3, 21) });
			jest.advanceTimersByTime(2_000);
			expect(changes.every((keys) => keys.length === 2)).toBe(true);
			follower.dispose();
		});

		// Guards against the old era being restored by a router that was cut off.
		test('ignores a snapshot of an earlier era', () => {
			const { follower } = startRestored();
			expect(follower.apply({ entries: [first, second], revision: revisionIn(1, 90) })).toBe(false);
			expect(follower.snapshot()?.entries).toHaveLength(1);
			follower.dispose();
		});
	});
});
