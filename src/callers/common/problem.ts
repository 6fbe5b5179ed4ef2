import type { Verdict } from '../../base/common/verdict.js';
import type { DispatchFailure, DispatchFailureCode } from '../../dispatch/common/dispatchService.js';

/** Prefix of the `type` of a problem, followed by the problem's code. */
const TYPE_PREFIX = 'urn:problem-type:masticloom:';

const TITLES: Readonly<Record<number, string>> = {
	400: 'Bad Request',
	401: 'Unauthorized',
	404: 'Not Found',
	409: 'Conflict',
	413: 'Content Too Large',
	422: 'Unprocessable Content',
	429: 'Too Many Requests',
	500: 'Internal Server Error',
	502: 'Bad Gateway',
	503: 'Service Unavailable',
	504: 'Gateway Timeout',
};

/** Codes of dispatch failures, and of problems that occur outside the dispatch. */
export type ProblemCode =
	| DispatchFailureCode
	| 'bad-request'
	| 'unknown-token'
	| 'unknown-service'
	| 'body-too-large'
	| 'not-ready'
	| 'shutting-down'
	| 'internal-error';

/** Content of an error response to a caller (RFC 9457). */
export interface Problem {
	readonly status: number;
	readonly code: ProblemCode;
	readonly detail: string;
	readonly verdict: Verdict;
	/** Value of `Retry-After`, in whole seconds. */
	readonly retryAfterSeconds?: number | undefined;
}

/**
 * @param problem problem to report
 * @param requestId identifier of the request
 * @returns body of type `application/problem+json`
 */
export function encodeProblem(problem: Problem, requestId: string): string {
	const { status, code, detail, verdict } = problem;
	return JSON.stringify({ type: TYPE_PREFIX + code, title: TITLES[status], status, detail, verdict, requestId });
}

/**
 * @param failure failure of the dispatch
 * @returns the problem to report to the caller
 */
export function toProblem(failure: DispatchFailure): Problem {
	const { code, verdict, message, retryAfterSeconds } = failure;
	return { status: statusOf(failure), code, detail: toSentence(message), verdict, retryAfterSeconds };
}

function statusOf({ code, verdict }: DispatchFailure): number {
	switch (code) {
		case 'queue-full':
			return 429;
		case 'in-doubt':
		case 'answer-not-kept':
			return 409;
		case 'key-reused':
			return 422;
		case 'quarantined':
		case 'record-unavailable':
			return 503;
		case 'deadline':
			return verdict === 'not-run' ? 503 : 504;
		case 'backend':
			return verdict === 'not-run' ? 503 : 502;
	}
}

function toSentence(message: string): string {
	return `${message.charAt(0).toUpperCase()}${message.slice(1)}.`;
}
