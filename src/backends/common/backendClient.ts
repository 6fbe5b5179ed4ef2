import type { Effect } from 'effect';
import type { Verdict } from '../../base/common/verdict.js';
import type { ServerLoad } from '../../engines/common/serverLoad.js';

/** A request to a backend server. */
export interface BackendRequest {
	readonly method: string;
	/** Path and query below the server's base URL. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
	readonly body: Uint8Array;
	/** Keeps the memory of the body charged until the returned function is called; absent when it is not charged. */
	readonly retainBody?: (() => () => void) | undefined;
	/** Value of the header `host`; the server's address when absent. */
	readonly authority?: string | undefined;
}

/** Identifier and address of a backend server. */
export interface BackendTarget {
	readonly id: string;
	/** Base URL with an IP address, such as `http://10.0.0.7:8000`. */
	readonly url: string;
}

/** Status and headers of a response. */
export interface ResponseHead {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
}

/** Receives a response as it arrives. */
export interface IResponseSink {
	/** @param head status and headers, passed before the first bytes of the body */
	head(head: ResponseHead): void;
	/**
	 * @param chunk bytes of the body
	 * @param resume called when the sink accepts bytes again, if the result was false
	 * @returns whether the sink accepts more bytes now
	 */
	write(chunk: Uint8Array, resume: () => void): boolean;
}

/** State that a server reports about itself in the head of a response. */
export interface ServerNotice {
	/** Whether the server is leaving. */
	readonly isLeaving: boolean;
	/** Milliseconds for which this router should not send requests to the server; undefined when not specified. */
	readonly restMs: number | undefined;
	/** Value of a time that could not be parsed, for the log. */
	readonly unreadableTime: string | undefined;
}

/** How many requests a server accepts, according to the head of a response. */
export interface RequestLimitNotice {
	/** Requests per second from all routers together; undefined when the response names no limit. */
	readonly requestsPerSecond: number | undefined;
	/** Value of a limit that could not be parsed, for the log; the notice then says nothing about the limit. */
	readonly unreadableLimit: string | undefined;
}

/** Load that a server reports in the head of a response. */
export interface ServerLoadNotice {
	/** Figures of the response; undefined when one of them is invalid. */
	readonly load: ServerLoad | undefined;
	/** Value that could not be parsed, for the log. */
	readonly unreadableLoad: string | undefined;
}

/**
 * How the connection of a response ended that has neither a length nor chunks, and so ends with its connection.
 *
 * - `closed`: the server closed it.
 * - `early`: the server closed it before the request had been written in full, so the response is incomplete.
 * - `reset`: it was reset.
 * - `failed`: it ended in another way, as the failure of the attempt says.
 */
export type ConnectionEnd = 'closed' | 'early' | 'reset' | 'failed';

/** Receives the events and the response of one attempt at a backend server. */
export interface IAttemptSink extends IResponseSink {
	/** @param notice state reported by the server, passed before the rest of its response */
	notice?(notice: ServerNotice): void;
	/** @param notice limit that the response names or no longer names, passed before the rest of the response */
	requestLimit?(notice: RequestLimitNotice): void;
	/** @param notice load that the response reports, passed before the rest of the response */
	load?(notice: ServerLoadNotice): void;
	/** Called before the first byte is sent to the backend server. From then on, the request may have run. */
	sent(): void;
	/**
	 * Called after each part of the body.
	 *
	 * @returns why the bytes received so far are not a valid response, which ends the attempt; undefined if they may be
	 */
	findFault?(): string | undefined;
	/** @returns whether the bytes received so far show by themselves that the response is complete, however it is framed */
	hasEndMarker?(): boolean;
	/** @param end how the connection ended, passed before the result of an attempt whose response ends with its connection */
	connectionEnded?(end: ConnectionEnd): void;
}

/**
 * Why an attempt did not produce a complete response.
 *
 * - `unreachable`: no connection was made.
 * - `withdrawn`: the server accepts no more requests, so nothing was sent.
 * - `refused`: the server reported that it did not start the request.
 * - `fenced`: the server has received a higher fencing number, so another attempt has superseded this one.
 * - `broken`: the connection failed while the request was in progress.
 * - `silent`: no data arrived within the time limit, so the router abandoned the request.
 */
export type BackendFailureKind = 'unreachable' | 'withdrawn' | 'refused' | 'fenced' | 'broken' | 'silent';

/** An attempt without a complete response. */
export interface BackendFailure {
	readonly kind: BackendFailureKind;
	readonly verdict: Verdict;
	readonly message: string;
}

/** How to interpret the responses of a kind of backend server. */
export interface BackendProtocol {
	/**
	 * Determines whether the server refused to start the request.
	 *
	 * @param head status and headers of a response
	 * @returns kind of refusal, or undefined when the response is the result of the request
	 */
	readonly classifyRefusal: (head: ResponseHead) => 'refused' | 'fenced' | undefined;
	/**
	 * Extracts the identifier of a request, which servers repeat in their responses. It tells a response from a surplus one
	 * that a connection carries.
	 *
	 * @param headers headers of a request or of a response
	 * @returns the identifier; undefined when the message has none
	 */
	readonly requestIdentifierOf: (headers: ResponseHead['headers']) => string | undefined;
	/**
	 * Checks whether the head of a response, which is not a refusal, has what the protocol requires of one.
	 *
	 * @param head status and headers of the response
	 * @returns why it is not a response in the protocol; undefined if it may be one
	 */
	readonly findHeadFault: (head: ResponseHead) => string | undefined;
	/**
	 * Extracts the state that a server reports about itself.
	 *
	 * @param request request that was sent
	 * @param head status and headers of the response
	 * @param unixMs current time in Unix milliseconds
	 * @returns the notice; undefined when the response has none, or may come from another server
	 */
	readonly parseNotice: (request: BackendRequest, head: ResponseHead, unixMs: number) => ServerNotice | undefined;
	/**
	 * Extracts the limit that a server names for the requests of all routers together.
	 *
	 * @param request request that was sent
	 * @param head status and headers of the response
	 * @returns the limit or its absence; undefined when the response may come from another server
	 */
	readonly parseRequestLimit: (request: BackendRequest, head: ResponseHead) => RequestLimitNotice | undefined;
	/**
	 * Extracts the load that a server reports.
	 *
	 * @param request request that was sent
	 * @param head status and headers of the response
	 * @returns the load; undefined when the response reports none, or may come from another server
	 */
	readonly parseLoad: (request: BackendRequest, head: ResponseHead) => ServerLoadNotice | undefined;
	/**
	 * Whether a response without a length is complete when its connection is closed without a reset after the request has
	 * been written in full, and its server still accepts connections.
	 */
	readonly allowsCloseDelimited: boolean;
}

/** Sends requests to backend servers. */
export interface IBackendClient {
	/**
	 * Sends one request and passes the response to a sink. Interruption cancels the request.
	 *
	 * @param server destination
	 * @param request request to send
	 * @param sink receives the response
	 * @returns succeeds when the sink has received a response whose HTTP framing is complete
	 */
	call(server: BackendTarget, request: BackendRequest, sink: IAttemptSink): Effect.Effect<void, BackendFailure>;
}
