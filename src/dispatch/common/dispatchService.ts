import type { Effect } from 'effect';
import type { BackendRequest, IAnswerSink } from '../../backends/common/backendClient.js';
import type { Verdict } from '../../base/common/verdict.js';
import type { ClientAccount, Service } from '../../configuration/common/model.js';

/** A request that a caller was authenticated for. */
export interface DispatchRequest {
	readonly id: string;
	readonly account: ClientAccount;
	readonly service: Service;
	readonly idempotent: boolean;
	readonly costHint: number | undefined;
	readonly request: BackendRequest;
	/**
	 * Called when the verdict changes that the request would have if it was given up on now; `not-run` before the first
	 * call.
	 */
	readonly onDidChangeVerdict?: (verdict: Verdict) => void;
}

/** A request that ended without a whole answer. */
export interface DispatchFailure {
	readonly verdict: Verdict;
	/** Parts of the answer have reached the sink, so no other answer can be given. */
	readonly answerStarted: boolean;
	readonly message: string;
}

/** Takes a request from the queue to its verdict. */
export interface IDispatchService {
	/**
	 * Waits for a slot, sends the request, retries where that is safe, and passes the answer on.
	 *
	 * @param request what to run
	 * @param sink receives the answer
	 * @returns succeeds after the whole answer was passed on
	 */
	dispatch(request: DispatchRequest, sink: IAnswerSink): Effect.Effect<void, DispatchFailure>;
}
