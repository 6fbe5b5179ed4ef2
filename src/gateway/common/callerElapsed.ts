/** Differences below this come from the caller's own delays. */
const TOLERANCE_MS = 30;

/** Bound of the memory for routes. */
const MAXIMUM_ROUTES = 5_000;

/**
 * Tells how long a caller has already tried. Callers of a route wait equally long in all, and name in each attempt what
 * is left, so a smaller deadline than usual shows an earlier attempt.
 */
export class CallerElapsed {
	private readonly longest = new Map<string, number>();

	private constructor() {}

	/** @returns a register that has seen no callers */
	public static create(): CallerElapsed {
		return new CallerElapsed();
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
		const elapsedMs = longestMs - deadlineMs;
		return elapsedMs <= TOLERANCE_MS ? 0 : elapsedMs;
	}
}
