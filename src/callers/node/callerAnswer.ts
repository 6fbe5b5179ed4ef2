import type * as http from 'node:http';
import type { ResponseHead, IResponseSink } from '../../backends/common/backendClient.js';
import { encodeProblem, type Problem } from '../common/problem.js';

/** The caller's side of one request. */
export class CallerResponse implements IResponseSink {
	private readonly drainWaiters: (() => void)[] = [];

	private constructor(
		public readonly requestId: string,
		private readonly response: http.ServerResponse,
		private readonly closesConnection: () => boolean,
	) {}

	/**
	 * @param requestId identifier of the request
	 * @param response answer whose head was not sent yet
	 * @param closesConnection whether the connection is to end after the answer
	 * @returns the caller's side
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
		// A call that goes on without its caller must not wait for the caller to read.
		if (this.response.destroyed || this.response.write(chunk)) {
			return true;
		}
		if (this.drainWaiters.push(resume) === 1) {
			const wake = (): void => {
				this.response.off('drain', wake);
				this.response.off('close', wake);
				this.drainWaiters.splice(0).forEach((waiter) => waiter());
			};
			this.response.on('drain', wake);
			this.response.on('close', wake);
		}
		return false;
	}

	/** Ends an answer that is whole. */
	public end(): void {
		this.response.end();
	}

	/**
	 * Answers with a problem, or breaks the connection when parts of an answer were sent, so that the caller sees that it is
	 * not whole.
	 *
	 * @param problem answer in place of the backend server's
	 */
	public sendProblem(problem: Problem): void {
		if (this.response.destroyed || this.response.headersSent) {
			this.response.destroy();
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
