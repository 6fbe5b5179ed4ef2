import type * as http from 'node:http';
import type { ResponseHead, IResponseSink } from '../../backends/common/backendClient.js';
import { breakOff } from '../../base/node/brokenResponse.js';
import { NOT_STARTED_HEADER, valuesOf } from '../../base/common/headerFields.js';
import type { Verdict } from '../../base/common/verdict.js';
import type { ResponseBuffering } from '../common/responseBuffering.js';
import { ResponseQueue } from './responseQueue.js';

/** A response that the router generates itself. */
export interface LocalResponse {
	readonly status: number;
	/** Short name of the reason. */
	readonly code: string;
	readonly verdict: Verdict;
	/** Milliseconds after which the caller may retry. */
	readonly retryAfterMs?: number | undefined;
	/** Marks the request as not started, so that a router that handed it over may try another one. */
	readonly notStarted?: boolean;
	/** Closes the connection, so that the caller's next connection can go to another router. */
	readonly closesConnection?: boolean;
}

const MILLISECONDS_PER_SECOND = 1_000;

const NO_BYTES = Buffer.alloc(0);

/** Response to the caller of one request. */
export class GatewayResponse implements IResponseSink {
	private headSent = false;
	private bodyBytes = 0;
	/** Holds what a slow caller does not accept yet; undefined when the server is paused instead. */
	private readonly queue: ResponseQueue | undefined;

	private constructor(
		private readonly response: http.ServerResponse,
		private readonly requestIdHeader: string,
		private readonly requestId: string,
		private readonly closesConnection: (isRequired: boolean) => boolean,
		buffering: ResponseBuffering | undefined,
	) {
		this.queue = buffering && ResponseQueue.create(response, buffering, { requestId, disconnect: () => this.break() });
	}

	/**
	 * @param response HTTP response whose headers have not been sent
	 * @param requestIdHeader header with the request identifier in responses that the router itself generates
	 * @param requestId identifier of the request; empty when it has none
	 * @param closesConnection returns whether the connection is closed after the response; with whether the response requires it
	 * @param buffering decides how much is held for a slow caller; when absent, the server is paused
	 * @returns the response to the caller
	 */
	public static create(
		response: http.ServerResponse,
		requestIdHeader: string,
		requestId: string,
		closesConnection: (isRequired: boolean) => boolean,
		buffering?: ResponseBuffering,
	): GatewayResponse {
		return new GatewayResponse(response, requestIdHeader, requestId, closesConnection, buffering);
	}

	/** Whether the status and headers have been sent. */
	public get hasHead(): boolean {
		return this.headSent;
	}

	/** Bytes of a backend server's response body that have been passed on. */
	public get bytes(): number {
		return this.bodyBytes;
	}

	public head({ status, headers }: ResponseHead): void {
		if (this.headSent || this.response.destroyed) {
			return;
		}
		const outgoingHeaders: string[] = [];
		for (const name in headers) {
			valuesOf(headers[name]).forEach((value) => outgoingHeaders.push(name, value));
		}
		if (this.closesConnection(false)) {
			outgoingHeaders.push('connection', 'close');
		}
		this.response.writeHead(status, outgoingHeaders);
		this.headSent = true;
		// Shows the caller that the stream is alive before the first bytes of the body arrive. `flushHeaders` would encode the
		// head as UTF-8, which changes bytes above 127.
		this.response.cork();
		this.response.write(NO_BYTES);
		this.response.uncork();
	}

	public write(chunk: Uint8Array, resume: () => void): boolean {
		this.bodyBytes += chunk.length;
		if (this.queue !== undefined) {
			return this.queue.write(chunk, resume);
		}
		if (this.response.destroyed || this.response.write(chunk)) {
			return true;
		}
		this.response.once('drain', resume);
		return false;
	}

	/** Ends a complete response. */
	public end(): void {
		if (this.queue === undefined) {
			this.response.end();
		} else {
			this.queue.end();
		}
	}

	/** Breaks the connection, so that an incomplete response does not appear complete. */
	public break(): void {
		breakOff(this.response);
	}

	/**
	 * Sends a response that the router generates itself, or breaks the connection if a response has already been started.
	 *
	 * @param localResponse response to send
	 */
	public sendLocal(localResponse: LocalResponse): void {
		if (this.response.destroyed || this.headSent) {
			this.break();
			return;
		}
		this.headSent = true;
		const { status, code, verdict } = localResponse;
		// With a text as the body, Node.js would encode the head as UTF-8 too.
		const body = Buffer.from(JSON.stringify({ status, code, verdict }));
		const headers: http.OutgoingHttpHeaders = {
			'content-type': 'application/json',
			'content-length': body.length,
		};
		if (this.requestId !== '') {
			headers[this.requestIdHeader] = this.requestId;
		}
		if (localResponse.retryAfterMs !== undefined) {
			headers['retry-after'] = (Math.max(1, localResponse.retryAfterMs) / MILLISECONDS_PER_SECOND).toFixed(3);
		}
		if (localResponse.notStarted === true) {
			headers[NOT_STARTED_HEADER] = 'true';
		}
		if (this.closesConnection(localResponse.closesConnection === true)) {
			headers.connection = 'close';
		}
		this.response.writeHead(status, headers);
		this.response.end(body);
	}
}
