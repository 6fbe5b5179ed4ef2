/** Mean event loop lag above which the CPU is saturated, and below which it has time left. */
const SATURATED_LAG_MS = 25;
const NORMAL_LAG_MS = 8;

/** Time between changes of the fraction, whose effect is visible in the mean lag only after averaging. */
const UPDATE_INTERVAL_MS = 200;

/**
 * Change of the fraction at each update. It rises quickly, since callers give up connections that are not served within a
 * second, and falls slowly, so that the router does not saturate again as soon as it has recovered.
 */
const INCREASE = 0.34;
const DECREASE = 0.04;

/**
 * Determines which fraction of its new connections a router passes on to its neighbours.
 *
 * Load pattern: the load balancer chooses a router by a hash of the caller, and one caller opens several times as many
 * connections as a router can serve. Out of rotation, the next router receives all of them.
 */
export class RelayFraction {
	private current = 0;
	private updatedAt = -Infinity;
	/** Accumulates the fraction, so that connections are passed on evenly. */
	private accumulated = 0;

	private constructor() {}

	/** @returns the fraction of an idle router, 0 */
	public static create(): RelayFraction {
		return new RelayFraction();
	}

	/** Fraction of the new connections that are passed on, from 0 to 1. */
	public get value(): number {
		return this.current;
	}

	/**
	 * @param meanLagMs mean event loop lag in milliseconds
	 * @param now monotonic milliseconds
	 */
	public update(meanLagMs: number, now: number): void {
		if (now - this.updatedAt < UPDATE_INTERVAL_MS) {
			return;
		}
		this.updatedAt = now;
		if (meanLagMs > SATURATED_LAG_MS) {
			this.current = Math.min(1, this.current + INCREASE);
		} else if (meanLagMs < NORMAL_LAG_MS) {
			this.current = Math.max(0, this.current - DECREASE);
		}
	}

	/** @returns whether the next new connection is passed on */
	public takeNext(): boolean {
		this.accumulated += this.current;
		if (this.accumulated < 1) {
			return false;
		}
		this.accumulated -= 1;
		return true;
	}
}
