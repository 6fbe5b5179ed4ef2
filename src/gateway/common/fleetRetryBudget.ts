import { SlidingSum } from '../../shares/common/slidingSum.js';

/** Limit of retries that applies to all routers together. */
export interface FleetRetryLimit {
	/** Retries per request within the window. */
	readonly ratio: number;
	/** Additional retries within the window, of all routers together. */
	readonly slack: number;
	readonly windowMs: number;
}

/** Fraction of the limit that is used, so that routers with outdated information about each other stay below it. */
const USED_FRACTION = 0.6;

/**
 * Limits how many requests are sent to another server after a failure. Each router applies the ratio to its own requests
 * and uses an equal part of the slack, so the limit holds for the whole fleet without communication.
 *
 * Load pattern: an engine crash or lost responses make a large part of all requests fail at the same time.
 */
export class FleetRetryBudget {
	private readonly requests = new Map<string, SlidingSum>();
	private readonly retries = new Map<string, SlidingSum>();

	private constructor(
		private readonly limit: FleetRetryLimit,
		private readonly routers: () => number,
	) {}

	/**
	 * @param limit for all routers together
	 * @param routers returns the number of routers that share the limit
	 * @returns an unused budget
	 */
	public static create(limit: FleetRetryLimit, routers: () => number): FleetRetryBudget {
		return new FleetRetryBudget(limit, routers);
	}

	/**
	 * Counts a request, once for all of its attempts.
	 *
	 * @param service to which the request is sent
	 * @param now monotonic milliseconds
	 */
	public countRequest(service: string, now: number): void {
		this.getOrCreateSum(this.requests, service).add(1, now);
	}

	/**
	 * Counts a retry if the limit allows it.
	 *
	 * @param service to which the request is sent
	 * @param now monotonic milliseconds
	 * @returns whether the request may be retried
	 */
	public tryRetry(service: string, now: number): boolean {
		const { ratio, slack } = this.limit;
		const retries = this.getOrCreateSum(this.retries, service);
		const allowed = ratio * this.getOrCreateSum(this.requests, service).sum(now) + slack / Math.max(1, this.routers());
		if (retries.sum(now) + 1 > allowed * USED_FRACTION) {
			return false;
		}
		retries.add(1, now);
		return true;
	}

	private getOrCreateSum(sums: Map<string, SlidingSum>, service: string): SlidingSum {
		let sum = sums.get(service);
		if (sum === undefined) {
			sum = SlidingSum.create(this.limit.windowMs);
			sums.set(service, sum);
		}
		return sum;
	}
}
