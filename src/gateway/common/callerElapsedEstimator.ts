/** Deadlines of first attempts on one route are shorter than the longest one by at most this fraction. */
const FIRST_DEADLINE_SPREAD = 0.17;

/** Typical deadline of a first attempt, as a fraction of the longest one on its route. */
const TYPICAL_FIRST_DEADLINE = 0.92;

/** Maximum number of routes to remember; at this size, all are discarded. */
const MAXIMUM_ROUTES = 5_000;

/**
 * Estimates the time since a caller's first attempt at a request. Callers of a route have similar total deadlines, and
 * send the remaining time with each attempt, so a much shorter deadline than usual indicates a retry.
 */
export class CallerElapsedEstimator {
	private readonly longestDeadlines = new Map<string, number>();

	private constructor() {}

	/** @returns an estimator without observations */
	public static create(): CallerElapsedEstimator {
		return new CallerElapsedEstimator();
	}

	/**
	 * @param route name of the route
	 * @param deadlineMs milliseconds that the caller still waits; undefined when the request has no deadline
	 * @returns estimated milliseconds since the caller's first attempt; 0 for a first attempt
	 */
	public elapsedMs(route: string, deadlineMs: number | undefined): number {
		if (deadlineMs === undefined) {
			return 0;
		}
		const longestMs = this.longestDeadlines.get(route) ?? 0;
		if (deadlineMs >= longestMs) {
			if (this.longestDeadlines.size >= MAXIMUM_ROUTES) {
				this.longestDeadlines.clear();
			}
			this.longestDeadlines.set(route, deadlineMs);
			return 0;
		}
		const isFirstAttempt = deadlineMs >= longestMs * (1 - FIRST_DEADLINE_SPREAD);
		return isFirstAttempt ? 0 : Math.max(0, longestMs * TYPICAL_FIRST_DEADLINE - deadlineMs);
	}
}
