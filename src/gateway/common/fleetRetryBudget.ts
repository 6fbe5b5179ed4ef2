import { SlidingSum } from '../../shares/common/slidingSum.js';

/** Limit of retries that all routers keep together. */
export interface FleetRetryLimit {
	/** Retries for each request within the window. */
	readonly ratio: number;
	/** Retries beyond the ratio within the window, of all routers together. */
	readonly slack: number;
	readonly windowMs: number;
}

/** Part of the limit that is used, so that routers with late news of each other stay below it together. */
const USED_PART = 0.6;

/**
 * Limits how many requests are sent to a second server. Each router uses the ratio for its own requests and an equal part
 * of the slack, so the limit holds over the fleet without an exchange.
 *
 * Load pattern: an engine crash or lost answers make a large part of all requests fail at the same moment.
 */
export class FleetRetryBudget {
	private readonly requests = new Map<string, SlidingSum>();
	private readonly retries = new Map<string, SlidingSum>();

	private constructor(
		private readonly limit: FleetRetryLimit,
		private readonly routers: () => number,
	) {}

	/**
	 * @param limit of all routers
	 * @param routers number of routers that share it
	 * @returns an allowance of which nothing is used
	 */
	public static create(limit: FleetRetryLimit, routers: () => number): FleetRetryBudget {
		return new FleetRetryBudget(limit, routers);
	}

	/**
	 * Counts the first sending of a request.
	 *
	 * @param service that it goes to
	 * @param now monotonic milliseconds
	 */
	public countRequest(service: string, now: number): void {
		this.sumOf(this.requests, service).add(1, now);
	}

	/**
	 * @param service that the request goes to
	 * @param now monotonic milliseconds
	 * @returns whether the request may be sent once more, which is then counted
	 */
	public tryRetry(service: string, now: number): boolean {
		const { ratio, slack } = this.limit;
		const retries = this.sumOf(this.retries, service);
		const allowed = ratio * this.sumOf(this.requests, service).sum(now) + slack / Math.max(1, this.routers());
		if (retries.sum(now) + 1 > allowed * USED_PART) {
			return false;
		}
		retries.add(1, now);
		return true;
	}

	private sumOf(sums: Map<string, SlidingSum>, service: string): SlidingSum {
		let sum = sums.get(service);
		if (sum === undefined) {
			sum = SlidingSum.create(this.limit.windowMs);
			sums.set(service, sum);
		}
		return sum;
	}
}
