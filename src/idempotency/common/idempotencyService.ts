import type { Effect } from 'effect';

/** A non-idempotent call with an `Idempotency-Key`. */
export interface KeyedCall {
	/** Client account; keys of different accounts are unrelated. */
	readonly account: string;
	/** Value of `Idempotency-Key`. */
	readonly key: string;
	/** SHA-256 (hexadecimal) of service, method, path and body. */
	readonly requestDigest: string;
}

/** Complete response of a backend server, stored for retries of the call. */
export interface StoredOutcome {
	readonly status: number;
	readonly headers: readonly (readonly [string, string])[];
	/** Undefined when the body was too large for a record. */
	readonly body: Uint8Array | undefined;
}

/** The right to dispatch a call, once. */
export interface Claim {
	readonly recordKey: string;
	readonly attemptId: string;
	readonly requestDigest: string;
	/** Store revision of the record, also used as the fencing number: it increases with each record of the same key. */
	readonly revision: number;
	readonly leaseId: string;
}

/** State of a call, read without claiming the call. */
export type LookupResult =
	/** There is no record. */
	| { readonly kind: 'absent' }
	/** The call ran; its stored response is to be sent. */
	| { readonly kind: 'replay'; readonly outcome: StoredOutcome }
	/** Another attempt has the right to dispatch the call, and its outcome is not known. */
	| { readonly kind: 'in-doubt' }
	/** The key was used with another request. */
	| { readonly kind: 'mismatch' }
	/** The store does not respond. This attempt did not run and must not run. */
	| { readonly kind: 'unavailable'; readonly retryAfterSeconds: number };

/** Result of a claim. */
export type ClaimResult =
	{ readonly kind: 'claimed'; readonly claim: Claim } | Exclude<LookupResult, { readonly kind: 'absent' }>;

/** Keeps at-most-once records of calls with an `Idempotency-Key`. */
export interface IIdempotencyService {
	/**
	 * Reads the record, so that a retry receives its response without waiting for a slot.
	 *
	 * @param call received call
	 * @returns state of the call
	 */
	lookup(call: KeyedCall): Effect.Effect<LookupResult>;
	/**
	 * Creates the record. Only the attempt that gets `claimed` may dispatch the call, and only once.
	 *
	 * @param call call that is about to be dispatched
	 * @returns the claim, or the reason why the call must not be dispatched
	 */
	claim(call: KeyedCall): Effect.Effect<ClaimResult>;
	/**
	 * Stores the response. Completes when it is stored or after a short time limit; storing then continues in the
	 * background.
	 *
	 * @param claim claim with which the call was dispatched
	 * @param outcome complete response
	 */
	complete(claim: Claim, outcome: StoredOutcome): Effect.Effect<void>;
	/**
	 * Removes the record of a call that was not run, so that a retry can run it. Completes when it is removed or after a
	 * short time limit; removal then continues in the background.
	 *
	 * @param claim claim that was not used
	 */
	release(claim: Claim): Effect.Effect<void>;
}
