import type { Effect } from 'effect';
import type { BackendRequest, IResponseSink } from '../../backends/common/backendClient.js';
import type { Verdict } from '../../base/common/verdict.js';
import type { ClientAccount, Service } from '../../configuration/common/model.js';

/** A request of an authenticated caller. */
export interface DispatchRequest {
	readonly id: string;
	readonly account: ClientAccount;
	readonly service: Service;
	readonly idempotent: boolean;
	readonly costHint: number | undefined;
	/** Value of `Idempotency-Key`. Only used for calls that are not idempotent. */
	readonly idempotencyKey?: string | undefined;
	/** Milliseconds after which the caller no longer needs a response. */
	readonly deadlineMs?: number | undefined;
	readonly request: BackendRequest;
	/**
	 * Called when the verdict changes that the request would have if it were cancelled now. Before the first call it is
	 * `not-run`.
	 */
	readonly onDidChangeVerdict?: (verdict: Verdict) => void;
	/** Called when the request is sent for the first time, with the milliseconds since its arrival. */
	readonly onDidStart?: (waitMs: number) => void;
}

/**
 * Why a request ended without a complete response.
 *
 * - `queue-full`: the account's queue on this router is full.
 * - `deadline`: the deadline has passed or cannot be met.
 * - `quarantined`: backend servers crashed while they ran this request.
 * - `record-unavailable`: the store does not respond, so a call with a key cannot be recorded.
 * - `in-doubt`: another attempt with the same key was made, and its outcome is unknown.
 * - `key-reused`: the key was used with another request.
 * - `answer-not-kept`: the call ran, but its response was too large to be stored for resends.
 * - `backend`: backend servers refused the request, were unreachable, or did not complete the response.
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

/** A request that ended without a complete response. */
export interface DispatchFailure {
	readonly code: DispatchFailureCode;
	readonly verdict: Verdict;
	/** Whether parts of the response have been passed to the sink, so that no other response can be sent. */
	readonly responseStarted: boolean;
	readonly message: string;
	/** Seconds after which a retry may succeed; undefined when the request should not be retried. */
	readonly retryAfterSeconds: number | undefined;
}

/** Queues requests and runs them on backend servers. */
export interface IDispatchService {
	/**
	 * Waits for a slot, sends the request, retries where that is safe, and passes the response to the sink. Interruption
	 * cancels the request, except that a call that was recorded under its key is still completed.
	 *
	 * @param request request to run
	 * @param sink receives the response
	 * @returns succeeds when the complete response was passed to the sink
	 */
	dispatch(request: DispatchRequest, sink: IResponseSink): Effect.Effect<void, DispatchFailure>;
}
