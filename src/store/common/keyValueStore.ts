import type { Effect } from 'effect';

/** A stored value. */
export interface KeyValue {
	readonly key: string;
	readonly value: Uint8Array;
	/** Store revision of the last write of this key; never 0. */
	readonly revision: number;
}

/**
 * A call to the store failed. `no-effect`: it was refused or not sent. `unknown`: it may have taken effect, and must be
 * settled by reading back.
 */
export interface StoreError {
	readonly outcome: 'no-effect' | 'unknown';
	readonly message: string;
}

/** Result of a compare-and-swap: the new revision, or the value that stands in the way. */
export type SwapResult =
	| { readonly swapped: true; readonly revision: number }
	| { readonly swapped: false; readonly current: KeyValue | undefined };

/** The platform's key-value service. */
export interface IKeyValueStore {
	/**
	 * @param key exact key
	 * @param options `withoutValue` reads the revision only, and the value is empty
	 * @returns the value, or undefined when the key is absent
	 */
	get(key: string, options?: { readonly withoutValue?: boolean }): Effect.Effect<KeyValue | undefined, StoreError>;
	/**
	 * @param prefix start of the keys
	 * @param options `withoutValue` reads keys and revisions only, and the values are empty
	 * @returns all values below the prefix, in key order
	 */
	list(prefix: string, options?: { readonly withoutValue?: boolean }): Effect.Effect<readonly KeyValue[], StoreError>;
	/**
	 * @param key exact key
	 * @param expectedRevision revision the key must have; 0 when it must be absent
	 * @param value new value
	 * @param leaseId lease with which the key expires
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
	 * @param timeToLiveSeconds whole seconds
	 * @returns identifier of the lease
	 */
	grantLease(timeToLiveSeconds: number): Effect.Effect<string, StoreError>;
	/**
	 * @param leaseId lease to renew
	 * @returns false when the lease has lapsed
	 */
	keepAlive(leaseId: string): Effect.Effect<boolean, StoreError>;
	/**
	 * Calls back on each change of a key until interrupted or until the watch breaks.
	 *
	 * @param key exact key
	 * @param onChange called with the new value, or undefined when the key was removed
	 * @param startRevision first revision of interest, so that no change between a read and the watch is missed; without
	 * it the watch starts at the present
	 * @returns fails when the watch breaks
	 */
	watch(
		key: string,
		onChange: (value: KeyValue | undefined) => void,
		startRevision?: number,
	): Effect.Effect<never, StoreError>;
}
