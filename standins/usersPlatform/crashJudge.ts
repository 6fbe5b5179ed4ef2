import type { SentRequest } from './noticeJudge.js';
import type { RequestExecution } from './promptEngine.js';

/** Servers that a request may end before it has to be known, and times that it may be sent to a server afterwards. */
const CRASHES_UNTIL_KNOWN = 3;
const TOLERATED_SENT = 3;

/** Executions of a request that ends its servers, and how they came about. */
export interface HarmfulRequest {
	/** Executions at all servers. */
	readonly executions: readonly RequestExecution[];
	/** Finds the attempt of the caller that was executed. */
	readonly sentRequest: (requestId: string) => SentRequest | undefined;
	/** Whether the router was disturbed between two times, in monotonic milliseconds. */
	readonly wasInterrupted: (router: string, from: number, to: number) => boolean;
	/** Time in which undisturbed routers have to learn of a crash, in milliseconds. */
	readonly contactMs: number;
}

/**
 * @param request that ends its servers
 * @returns a violation if undisturbed routers went on to send the request; otherwise empty
 */
export function findCrashViolations(request: HarmfulRequest): readonly string[] {
	const { executions, sentRequest, wasInterrupted, contactMs } = request;
	const starts = executions.map(({ startedAt }) => startedAt).sort((one, other) => one - other);
	const knownAt = (starts[CRASHES_UNTIL_KNOWN - 1] ?? Infinity) + contactMs;
	const late = executions.filter(({ requestId, startedAt }) => {
		const router = sentRequest(requestId)?.router;
		return startedAt > knownAt && router !== undefined && !wasInterrupted(router, startedAt - contactMs, startedAt);
	});
	return late.length > TOLERATED_SENT
		? [`a request that had ended ${CRASHES_UNTIL_KNOWN} servers was sent ${late.length} times more`]
		: [];
}
