import type * as http from 'node:http';
import type { ResponseHead, IResponseSink } from '../../backends/common/backendClient.js';
import { breakOff } from '../../base/node/brokenResponse.js';
import { encodeProblem, type Problem } from '../common/problem.js';

/** Writes the response to one request of a caller. */
export class CallerResponse implements IResponseSink {
	private readonly drainWaiters: (() => void)[] = [];

	private constructor(
		public readonly requestId: string,
		private readonly response: http.ServerResponse,
		private readonly closesConnection: () => boolean,
	) {}

	/**
	 * @param requestId identifier of the request
	 * @param response response whose head was not sent yet
	 * @param closesConnection whether the connection is to be closed after the response
	 * @returns the response writer
	 */
	public static create(
		requestId: string,
		response: http.ServerResponse,
		closesConnection: () => boolean,
	): CallerResponse {
		return new CallerResponse(requestId, response, closesConnection);
	}

	public head(head: ResponseHead): void {
		if (this.response.destroyed) {
			return;
		}
		const headers: http.OutgoingHttpHeaders = { ...head.headers } as http.OutgoingHttpHeaders;
		headers['masticloom-request-id'] = this.requestId;
		headers['masticloom-verdict'] = 'completed';
		if (this.closesConnection()) {
			headers.connection = 'close';
		}
		this.response.writeHead(head.status, headers);
	}

	public write(chunk: Uint8Array, resume: () => void): boolean {
		// A call with an idempotency key continues after its caller has disconnected, so it must not wait for a drain.
		if (this.response.destroyed || this.response.write(chunk)) {
			return true;
		}
		if (this.drainWaiters.push(resume) === 1) {
			const resumeWriters = (): void => {
				this.response.off('drain', resumeWriters);
				this.response.off('close', resumeWriters);
				this.drainWaiters.splice(0).forEach((waiter) => waiter());
			};
			this.response.on('drain', resumeWriters);
			this.response.on('close', resumeWriters);
		}
		return false;
	}

	/** Ends a complete response. */
	public end(): void {
		this.response.end();
	}

	/**
	 * Sends a problem as the response. If part of a response was sent, destroys the connection instead, so that the
	 * caller can detect that the response is incomplete.
	 *
	 * @param problem sent in place of the backend server's response
	 */
	public sendProblem(problem: Problem): void {
		if (this.response.destroyed || this.response.headersSent) {
			breakOff(this.response);
			return;
		}
		const body = encodeProblem(problem, this.requestId);
		const headers: http.OutgoingHttpHeaders = {
			'content-type': 'application/problem+json',
			'content-length': Buffer.byteLength(body),
			'masticloom-request-id': this.requestId,
			'masticloom-verdict': problem.verdict,
		};
		if (problem.retryAfterSeconds !== undefined) {
			headers['retry-after'] = String(problem.retryAfterSeconds);
		}
		if (problem.status === 401) {
			headers['www-authenticate'] = 'Bearer';
		}
		if (this.closesConnection()) {
			headers.connection = 'close';
		}
		this.response.writeHead(problem.status, headers);
		this.response.end(body);
	}
}
