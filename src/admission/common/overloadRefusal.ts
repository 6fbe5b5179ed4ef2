import type { EngineOption } from '../../engines/common/engineChoice.js';

/** Minimum retry time of a refused caller; a server's queue changes little in less time. */
export const MINIMUM_RETRY_MS = 80;

/** When all callers have to retry before the queue is expected to be shorter, their retries are spread from this part. */
const EARLIEST_RETRY_FRACTION = 0.5;

/**
 * Load pattern: callers compete for too few servers, and a request that cannot finish in time occupies a slot of which
 * none of them has a use.
 *
 * @param option a server that could take a request
 * @param deadlineLeftMs milliseconds until the caller's deadline
 * @returns whether the server is predicted to finish plain work, or to start a stream, in time; always true for a server
 * that can start at once, since only a request to it can show that the prediction is wrong, and for services whose servers
 * do not report how long work takes
 */
export function canFinish(option: EngineOption, deadlineLeftMs: number): boolean {
	return option.reportsSpeed !== true || option.waitMs <= 0 || option.waitMs + option.readMs <= deadlineLeftMs;
}

/**
 * Computes the retry time of a request that no server can take in time. Retries are spread over the time in which the
 * shortest queue is processed; callers that were refused together would otherwise be refused together again.
 *
 * @param shortestWaitMs shortest predicted wait at a server
 * @param limitMs longest wait that the request accepts
 * @param maximumMs longest time for which the caller waits with its retry
 * @param jitter number from 0 to 1
 * @returns milliseconds after which the caller may retry
 */
export function spreadRetryMs(shortestWaitMs: number, limitMs: number, maximumMs: number, jitter: number): number {
	const firstMs = Math.max(MINIMUM_RETRY_MS, shortestWaitMs - limitMs);
	const earliestMs = firstMs < maximumMs ? firstMs : maximumMs * EARLIEST_RETRY_FRACTION;
	const latestMs = Math.min(maximumMs, firstMs + Math.max(MINIMUM_RETRY_MS, shortestWaitMs));
	return earliestMs + jitter * (latestMs - earliestMs);
}
