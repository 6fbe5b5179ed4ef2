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

/** Whole answer of a backend server, as it is kept for resends. */
export interface StoredOutcome {
	readonly status: number;
	readonly headers: readonly (readonly [string, string])[];
	/** Undefined when the body was larger than records may be. */
	readonly body: Uint8Array | undefined;
}

/** The right to dispatch a call once. */
export interface Claim {
	readonly recordKey: string;
	readonly attemptId: string;
	readonly requestDigest: string;
	/** Store revision of the record. It grows with each record of the same key, so it is also the fencing number. */
	readonly revision: number;
	readonly leaseId: string;
}

/** What is known about a call without claiming it. */
export type LookupResult =
	/** There is no record. */
	| { readonly kind: 'absent' }
	/** The call ran; its answer is to be sent again. */
	| { readonly kind: 'replay'; readonly outcome: StoredOutcome }
	/** Another attempt has the right to dispatch the call, and its outcome is not known. */
	| { readonly kind: 'in-doubt' }
	/** The key was used with another request. */
	| { readonly kind: 'mismatch' }
	/** The store does not answer. This attempt did not run and must not run. */
	| { readonly kind: 'unavailable'; readonly retryAfterSeconds: number };

/** Result of a claim. */
export type ClaimResult =
	{ readonly kind: 'claimed'; readonly claim: Claim } | Exclude<LookupResult, { readonly kind: 'absent' }>;

/** At-most-once records of calls with a key. */
export interface IIdempotencyService {
	/**
	 * Reads the record, so that a resend is answered without waiting for a slot.
	 *
	 * @param call call that arrived
	 * @returns what is known
	 */
	lookup(call: KeyedCall): Effect.Effect<LookupResult>;
	/**
	 * Creates the record. Only the attempt that gets `claimed` may dispatch the call, and only once.
	 *
	 * @param call call that is about to be dispatched
	 * @returns the claim, or why there is none
	 */
	claim(call: KeyedCall): Effect.Effect<ClaimResult>;
	/**
	 * Stores the answer. Returns when it is stored or after a short time limit; storing goes on in the background.
	 *
	 * @param claim claim with which the call was dispatched
	 * @param outcome whole answer
	 */
	complete(claim: Claim, outcome: StoredOutcome): Effect.Effect<void>;
	/**
	 * Removes the record of a call that was not run, so that a resend can run it. Removal goes on in the background.
	 *
	 * @param claim claim that was not used
	 */
	release(claim: Claim): Effect.Effect<void>;
}
