import type { Effect } from 'effect';

/** A stored value. */
export interface KeyValue {
	readonly key: string;
	readonly value: Uint8Array;
	/** Store revision of the last write of this key; never 0. */
	readonly revision: number;
}

/**
 * A failed call to the store. `no-effect`: the call was rejected or not sent. `unknown`: the call may have taken
 * effect, which must be determined by reading the key.
 */
export interface StoreError {
	readonly outcome: 'no-effect' | 'unknown';
	readonly message: string;
}

/** Result of a compare-and-swap: the new revision, or the current value (undefined when the key is absent). */
export type SwapResult =
	| { readonly swapped: true; readonly revision: number }
	| { readonly swapped: false; readonly current: KeyValue | undefined };

/** Client of the platform's key-value service. */
export interface IKeyValueStore {
	/**
	 * @param key exact key
	 * @param options `withoutValue` reads only the revision and leaves the value empty
	 * @returns the value, or undefined when the key is absent
	 */
	get(key: string, options?: { readonly withoutValue?: boolean }): Effect.Effect<KeyValue | undefined, StoreError>;
	/**
	 * @param prefix start of the keys
	 * @param options `withoutValue` reads only keys and revisions and leaves the values empty
	 * @returns all values below the prefix, in key order
	 */
	list(prefix: string, options?: { readonly withoutValue?: boolean }): Effect.Effect<readonly KeyValue[], StoreError>;
	/**
	 * @param key exact key
	 * @param expectedRevision revision the key must have; 0 when it must be absent
	 * @param value new value
	 * @param leaseId lease whose expiry removes the key
	 * @returns whether the value was written
	 */
	compareAndSwap(
		key: string,
		expectedRevision: number,
		value: Uint8Array,
		leaseId?: string,
	): Effect.Effect<SwapResult, StoreError>;
	/**
	 * @param key exact key
	 * @param expectedRevision revision the key must have
	 * @returns whether the key was removed
	 */
	remove(key: string, expectedRevision: number): Effect.Effect<SwapResult, StoreError>;
	/**
	 * @param timeToLiveSeconds time to live, in whole seconds
	 * @returns identifier of the lease
	 */
	grantLease(timeToLiveSeconds: number): Effect.Effect<string, StoreError>;
	/**
	 * @param leaseId lease to renew
	 * @returns false when the lease has expired
	 */
	keepAlive(leaseId: string): Effect.Effect<boolean, StoreError>;
	/**
	 * Reports each change of a key until it is interrupted or the watch connection fails.
	 *
	 * @param key exact key
	 * @param onChange called with the new value, or undefined when the key was removed
	 * @param startRevision first revision to report, so that no change between a read and the watch is missed; by default
	 * the watch starts at the current revision
	 * @returns fails when the watch connection fails
	 */
	watch(
		key: string,
		onChange: (value: KeyValue | undefined) => void,
		startRevision?: number,
	): Effect.Effect<never, StoreError>;
}
