import type { Effect } from 'effect';
import type { Verdict } from '../../base/common/verdict.js';

/** A request as it goes to a backend server. */
export interface BackendRequest {
	readonly method: string;
	/** Path and query below the server's base URL. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
	readonly body: Uint8Array;
	/** Value of the header `host`; the server's address when absent. */
	readonly authority?: string | undefined;
}

/** Where a request goes. */
export interface BackendTarget {
	readonly id: string;
	/** Base URL with an IP address, such as `http://10.0.0.7:8000`. */
	readonly url: string;
}

/** Status and headers of an answer. */
export interface ResponseHead {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
}

/** Receives an answer as it arrives. */
export interface IResponseSink {
	/** @param head status and headers, before the first bytes of the body */
	head(head: ResponseHead): void;
	/**
	 * @param chunk bytes of the body
	 * @param resume called when more bytes may come
	 * @returns whether more bytes may come at once; `resume` is only called otherwise
	 */
	write(chunk: Uint8Array, resume: () => void): boolean;
}

/** What a server says of itself in the head of an answer. */
export interface ServerNotice {
	/** Whether the server leaves. */
	readonly isLeaving: boolean;
	/** Milliseconds for which the server wants no requests of this router; undefined when it names none. */
	readonly restMs: number | undefined;
	/** A time that could not be read, for the log. */
	readonly unreadableTime: string | undefined;
}

/** Follows one attempt at a backend server. */
export interface IAttemptSink extends IResponseSink {
	/** @param notice of the server, before anything else of its answer */
	notice?(notice: ServerNotice): void;
	/** Called before the first byte goes to the backend server, after which the request may run. */
	sent(): void;
	/**
	 * Asked after each part of a body.
	 *
	 * @returns why what has arrived is no answer, which ends the attempt; undefined when it may be one
	 */
	findFault?(): string | undefined;
}

/**
 * Why an attempt brought no whole answer.
 *
 * - `unreachable`: no connection was made.
 * - `withdrawn`: the server wants no requests any more, so nothing was sent.
 * - `refused`: the server said that it did not start the request.
 * - `fenced`: the server has seen a higher fencing number, so another attempt has replaced this one.
 * - `broken`: the connection died while the request was in progress.
 * - `silent`: nothing was heard of the request for too long, so the router gave it up.
 */
export type BackendFailureKind = 'unreachable' | 'withdrawn' | 'refused' | 'fenced' | 'broken' | 'silent';

/** An attempt that brought no whole answer. */
export interface BackendFailure {
	readonly kind: BackendFailureKind;
	readonly verdict: Verdict;
	readonly message: string;
}

/** What the answers of a kind of backend server mean. */
export interface BackendProtocol {
	/**
	 * Reads whether the server did not start the request.
	 *
	 * @param head status and headers of an answer
	 * @returns why the server refused, or undefined when the answer is the request's
	 */
	readonly classifyRefusal: (head: ResponseHead) => 'refused' | 'fenced' | undefined;
	/**
	 * Checks that an answer belongs to a request; a connection may carry an answer too many.
	 *
	 * @param request what was sent
	 * @param head status and headers of the answer
	 * @returns false when the answer belongs to another request
	 */
	readonly isResponseTo: (request: BackendRequest, head: ResponseHead) => boolean;
	/**
	 * Reads what a server says of itself.
	 *
	 * @param request what was sent
	 * @param head status and headers of its answer
	 * @param unixMs time of day
	 * @returns the notice; undefined when the answer has none, or may be that of another server
	 */
	readonly parseNotice: (request: BackendRequest, head: ResponseHead, unixMs: number) => ServerNotice | undefined;
	/** Whether an answer without a length is whole when its connection is closed without a reset. */
	readonly allowsCloseDelimited: boolean;
}

/** Sends requests to backend servers. */
export interface IBackendClient {
	/**
	 * Sends one request and passes the answer on until its end. Interruption cancels the request.
	 *
	 * @param server where to
	 * @param request what to send
	 * @param sink receives the answer
	 * @returns succeeds after an answer whose HTTP framing is whole was passed on
	 */
	call(server: BackendTarget, request: BackendRequest, sink: IAttemptSink): Effect.Effect<void, BackendFailure>;
}
