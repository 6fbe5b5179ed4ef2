import type { ServerResponse } from 'node:http';
import type { Verdict } from '../../base/common/verdict.js';

/** An error answer to a caller (RFC 9457). */
export interface Problem {
	readonly status: number;
	readonly title: string;
	readonly detail: string;
	readonly verdict: Verdict;
	/** Seconds after which a retry makes sense. */
	readonly retryAfterSeconds?: number;
}

/**
 * Answers with a problem document.
 *
 * @param response answer whose head was not sent yet
 * @param requestId identifier of the request
 * @param problem what went wrong
 */
export function sendProblem(response: ServerResponse, requestId: string, problem: Problem): void {
	const { status, title, detail, verdict, retryAfterSeconds } = problem;
	const body = JSON.stringify({ type: 'about:blank', status, title, detail, verdict, requestId });
	if (retryAfterSeconds !== undefined) {
		response.setHeader('retry-after', String(retryAfterSeconds));
	}
	response.setHeader('masticloom-verdict', verdict);
	response.writeHead(status, { 'content-type': 'application/problem+json', 'content-length': Buffer.byteLength(body) });
	response.end(body);
}
