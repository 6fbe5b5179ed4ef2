import type { Effect } from 'effect';
import type { IKeyValueStore, KeyValue, StoreError } from './keyValueStore.js';

/** Values below a prefix as of one revision of the store. */
export interface Snapshot {
	readonly entries: readonly KeyValue[];
	/** Changes after this revision may be missing. */
	readonly revision: number;
}

/** A key that was written, or removed when it has no value. */
export interface KeyChange {
	readonly key: string;
	readonly revision: number;
	readonly value: Uint8Array | undefined;
}

/** Changes below a prefix, in their order. */
export interface ChangeSet {
	readonly changes: readonly KeyChange[];
	/** All changes up to this revision are known. */
	readonly revision: number;
}

/** A key-value store with one counter of revisions over all keys. */
export interface IRevisionedStore extends Pick<
	IKeyValueStore,
	'get' | 'compareAndSwap' | 'remove' | 'grantLease' | 'keepAlive'
> {
	/**
	 * @param prefix start of the keys
	 * @param options `mayBeStale` accepts values that are seconds old, at a lower price
	 * @returns all values below the prefix
	 */
	readAll(prefix: string, options?: { readonly mayBeStale?: boolean }): Effect.Effect<Snapshot, StoreError>;
	/**
	 * Waits until something below a prefix has changed.
	 *
	 * @param prefix start of the keys
	 * @param afterRevision the last revision that is known
	 * @param waitMs longest wait in milliseconds; the result is then empty
	 * @returns the changes, or `history-lost` when the store no longer has them and all values must be read again
	 */
	waitForChanges(
		prefix: string,
		afterRevision: number,
		waitMs: number,
	): Effect.Effect<ChangeSet | 'history-lost', StoreError>;
}
