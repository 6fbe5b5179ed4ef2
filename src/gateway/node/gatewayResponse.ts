import type * as http from 'node:http';
import type { ResponseHead, IResponseSink } from '../../backends/common/backendClient.js';
import { NOT_STARTED_HEADER } from '../../base/common/headerFields.js';
import type { Verdict } from '../../base/common/verdict.js';

/** An answer of the router itself. */
export interface LocalResponse {
	readonly status: number;
	/** Short name of the reason. */
	readonly code: string;
	readonly verdict: Verdict;
	/** Milliseconds after which the caller may come back. */
	readonly retryAfterMs?: number | undefined;
	/** Tells a router that handed the request over that it may ask another one. */
	readonly notStarted?: boolean;
	/** Closes the connection, so that the caller connects to another router. */
	readonly closesConnection?: boolean;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** The caller's side of one request. */
export class GatewayResponse implements IResponseSink {
	private headSent = false;
	private written = 0;

	private constructor(
		private readonly response: http.ServerResponse,
		private readonly requestIdHeader: string,
		private readonly requestId: string,
		private readonly closesConnection: () => boolean,
	) {}

	/**
	 * @param response answer whose head was not sent yet
	 * @param requestIdHeader header that names the request in own answers
	 * @param requestId identifier of the request
	 * @param closesConnection whether the connection is to end after the answer
	 * @returns the caller's side
	 */
	public static create(
		response: http.ServerResponse,
		requestIdHeader: string,
		requestId: string,
		closesConnection: () => boolean,
	): GatewayResponse {
		return new GatewayResponse(response, requestIdHeader, requestId, closesConnection);
	}

	/** Whether the status and headers of a backend server were passed on. */
	public get hasHead(): boolean {
		return this.headSent;
	}

	/** Bytes of the body that were passed on. */
	public get bytes(): number {
		return this.written;
	}

	public head({ status, headers }: ResponseHead): void {
		if (this.headSent || this.response.destroyed) {
			return;
		}
		this.headSent = true;
		const passed: http.OutgoingHttpHeaders = {};
		for (const name in headers) {
			const value = headers[name];
			passed[name] = typeof value === 'string' ? value : value && [...value];
		}
		if (this.closesConnection()) {
			passed.connection = 'close';
		}
		this.response.writeHead(status, passed);
		// The head is a sign of life of the stream, which must not wait for the first bytes of the body.
		this.response.flushHeaders();
	}

	public write(chunk: Uint8Array, resume: () => void): boolean {
		this.written += chunk.length;
		if (this.response.destroyed || this.response.write(chunk)) {
			return true;
		}
		this.response.once('drain', resume);
		return false;
	}

	/** Ends an answer that is whole. */
	public end(): void {
		this.response.end();
	}

	/** Breaks the connection, so that an answer that is not whole does not look so. */
	public break(): void {
		this.response.destroy();
	}

	/**
	 * Answers in place of a backend server, or breaks the connection when parts of its answer were sent.
	 *
	 * @param answer what to send
	 */
	public sendLocal(answer: LocalResponse): void {
		if (this.response.destroyed || this.headSent) {
			this.response.destroy();
			return;
		}
		this.headSent = true;
		const body = JSON.stringify({ status: answer.status, code: answer.code, verdict: answer.verdict });
		const headers: http.OutgoingHttpHeaders = {
			'content-type': 'application/json',
			'content-length': Buffer.byteLength(body),
		};
		if (this.requestId !== '') {
			headers[this.requestIdHeader] = this.requestId;
		}
		if (answer.retryAfterMs !== undefined) {
			headers['retry-after'] = (Math.max(1, answer.retryAfterMs) / MILLISECONDS_PER_SECOND).toFixed(3);
		}
		if (answer.notStarted === true) {
			headers[NOT_STARTED_HEADER] = 'true';
		}
		if (answer.closesConnection === true || this.closesConnection()) {
			headers.connection = 'close';
		}
		this.response.writeHead(answer.status, headers);
		this.response.end(body);
	}
}
