import type { Effect } from 'effect';
import type { Verdict } from '../../base/common/verdict.js';
import type { BackendServer } from '../../configuration/common/model.js';

/** A request as it goes to a backend server. */
export interface BackendRequest {
	readonly method: string;
	/** Path and query below the server's base URL. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
}

/** Status and headers of an answer. */
export interface BackendHead {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
}

/** Receives an answer as it arrives. */
export interface IAnswerSink {
	/** @param head status and headers, before the first bytes of the body */
	head(head: BackendHead): void;
	/**
	 * @param chunk bytes of the body
	 * @param resume called when more bytes may come
	 * @returns whether more bytes may come at once; `resume` is only called otherwise
	 */
	write(chunk: Uint8Array, resume: () => void): boolean;
}

/** An attempt that brought no whole answer. */
export interface BackendFailure {
	readonly verdict: Verdict;
	/** Parts of the answer have reached the sink. */
	readonly answerStarted: boolean;
	/** The server refused work or could not be reached, as opposed to breaking off. */
	readonly refused: boolean;
	readonly message: string;
}

/** Sends requests to backend servers. */
export interface IBackendClient {
	/**
	 * Sends one request and passes the answer on until its end. Interruption cancels the request.
	 *
	 * @param server where to
	 * @param request what to send
	 * @param sink receives the answer
	 * @returns succeeds after the whole answer was passed on
	 */
	call(server: BackendServer, request: BackendRequest, sink: IAnswerSink): Effect.Effect<void, BackendFailure>;
}
