import type { Effect } from 'effect';
import type { BackendRequest, IResponseSink } from '../../backends/common/backendClient.js';
import type { Verdict } from '../../base/common/verdict.js';
import type { ClientAccount, Service } from '../../configuration/common/model.js';

/** A request that a caller was authenticated for. */
export interface DispatchRequest {
	readonly id: string;
	readonly account: ClientAccount;
	readonly service: Service;
	readonly idempotent: boolean;
	readonly costHint: number | undefined;
	/** Value of `Idempotency-Key`. It counts for calls that are not idempotent. */
	readonly idempotencyKey?: string | undefined;
	/** Milliseconds after which the caller needs no answer any more. */
	readonly deadlineMs?: number | undefined;
	readonly request: BackendRequest;
	/**
	 * Called when the verdict changes that the request would have if it was given up on now; `not-run` before the first
	 * call.
	 */
	readonly onDidChangeVerdict?: (verdict: Verdict) => void;
	/** Called when the request is first sent, with the milliseconds since its arrival. */
	readonly onDidStart?: (waitMs: number) => void;
}

/**
 * Why a request ended without a whole answer.
 *
 * - `queue-full`: the account's queue on this router is full.
 * - `deadline`: the deadline passed, or cannot be met.
 * - `quarantined`: backend servers died while they ran this request.
 * - `record-unavailable`: the store does not answer, so a call with a key cannot be recorded.
 * - `in-doubt`: another attempt with the same key was made, and its outcome is not known.
 * - `key-reused`: the key was used with another request.
 * - `answer-not-kept`: the call ran, but its answer was too large to be kept for resends.
 * - `backend`: backend servers refused, were unreachable or broke off.
 */
export type DispatchFailureCode =
	| 'queue-full'
	| 'deadline'
	| 'quarantined'
	| 'record-unavailable'
	| 'in-doubt'
	| 'key-reused'
	| 'answer-not-kept'
	| 'backend';

/** A request that ended without a whole answer. */
export interface DispatchFailure {
	readonly code: DispatchFailureCode;
	readonly verdict: Verdict;
	/** Parts of the answer have reached the sink, so no other answer can be given. */
	readonly responseStarted: boolean;
	readonly message: string;
	/** Seconds after which a retry makes sense; undefined when none does. */
	readonly retryAfterSeconds: number | undefined;
}

/** Takes a request from the queue to its verdict. */
export interface IDispatchService {
	/**
	 * Waits for a slot, sends the request, retries where that is safe, and passes the answer on. Interruption gives the
	 * request up; a call that was recorded under its key still runs to its end.
	 *
	 * @param request what to run
	 * @param sink receives the answer
	 * @returns succeeds after the whole answer was passed on
	 */
	dispatch(request: DispatchRequest, sink: IResponseSink): Effect.Effect<void, DispatchFailure>;
}
