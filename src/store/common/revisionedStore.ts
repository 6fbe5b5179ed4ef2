import type { Effect } from 'effect';
import type { IKeyValueStore, KeyValue, StoreError } from './keyValueStore.js';

/**
 * The operator and the servers write their entries again within 2 s after an outage or a restore of the store; the
 * remaining 0.2 s allow for reading them.
 */
export const REAPPEARANCE_PERIOD_MS = 2_200;

/** All values below a key prefix at one revision of the store. */
export interface Snapshot {
	readonly entries: readonly KeyValue[];
	/** Changes after this revision may be missing. */
	readonly revision: number;
}

/** A key that was written, or removed if the value is undefined. */
export interface KeyChange {
	readonly key: string;
	readonly revision: number;
	readonly value: Uint8Array | undefined;
}

/** Changes below a prefix, in revision order. */
export interface ChangeSet {
	readonly changes: readonly KeyChange[];
	/** All changes up to this revision are included. */
	readonly revision: number;
}

/**
 * A key-value store with a single revision counter for all keys. Revisions rise also when the store is restored from an
 * older copy, see `storeRevision.ts`.
 */
export interface IRevisionedStore extends Pick<
	IKeyValueStore,
	'get' | 'compareAndSwap' | 'remove' | 'grantLease' | 'keepAlive'
> {
	/**
	 * @param prefix start of the keys
	 * @param options `mayBeStale` accepts values that are seconds old, at a lower cost per call
	 * @returns all values below the prefix
	 */
	readAll(prefix: string, options?: { readonly mayBeStale?: boolean }): Effect.Effect<Snapshot, StoreError>;
	/**
	 * Waits for changes below a prefix.
	 *
	 * @param prefix start of the keys
	 * @param afterRevision last known revision
	 * @param waitMs maximum wait in milliseconds, after which the result is empty
	 * @returns the changes, or `history-lost` when the store no longer has them, so all values must be read again
	 */
	waitForChanges(
		prefix: string,
		afterRevision: number,
		waitMs: number,
	): Effect.Effect<ChangeSet | 'history-lost', StoreError>;
}
