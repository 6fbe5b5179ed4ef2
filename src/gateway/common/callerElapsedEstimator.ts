/** Callers of one route differ in patience by up to this part of the longest deadline. */
const PATIENCE_SPREAD = 0.17;

/** A caller that has tried before began with about this part of the longest deadline. */
const TYPICAL_PATIENCE = 0.92;

/** Bound of the memory for routes. */
const MAXIMUM_ROUTES = 5_000;

/**
 * Tells how long a caller has already tried. Callers of a route wait about equally long in all, and name in each attempt
 * what is left, so a much smaller deadline than usual shows an earlier attempt.
 */
export class CallerElapsedEstimator {
	private readonly longest = new Map<string, number>();

	private constructor() {}

	/** @returns a register that has seen no callers */
	public static create(): CallerElapsedEstimator {
		return new CallerElapsedEstimator();
	}

	/**
	 * @param route name of the route
	 * @param deadlineMs milliseconds that the caller still waits; undefined when it does not say
	 * @returns milliseconds since the caller's first attempt; 0 for a first attempt
	 */
	public elapsedMs(route: string, deadlineMs: number | undefined): number {
		if (deadlineMs === undefined) {
			return 0;
		}
		const longestMs = this.longest.get(route) ?? 0;
		if (deadlineMs >= longestMs) {
			if (this.longest.size >= MAXIMUM_ROUTES) {
				this.longest.clear();
			}
			this.longest.set(route, deadlineMs);
			return 0;
		}
		const isFirstAttempt = deadlineMs >= longestMs * (1 - PATIENCE_SPREAD);
		return isFirstAttempt ? 0 : Math.max(0, longestMs * TYPICAL_PATIENCE - deadlineMs);
	}
}
