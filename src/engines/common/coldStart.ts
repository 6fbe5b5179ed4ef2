import { SlidingSum } from '../../shares/common/slidingSum.js';

/** Sliding window over which the request rate of a cold server is limited. */
const WINDOW_MS = 1_000;

/**
 * Exclusion of a cold server that has reached its rate limit; it lasts until the next report of the queue owner if the
 * owner is a relay. Other queue owners report every 500 ms.
 */
const RATE_LIMIT_EXCLUSION_MS = 250;

/**
 * Limits the request rate of a cold server, summed over all routers. The router that owns the queue of the server counts
 * the requests because it is notified of each one.
 *
 * Load pattern: a server that has just started looks idle, so all routers would send it all arriving requests.
 */
export class ColdStart {
	private readonly requests = SlidingSum.create(WINDOW_MS);
	private coldUntil = -Infinity;
	private requestsPerSecond = Infinity;

	private constructor() {}

	/** @returns the state of a warm server, which has no limit */
	public static create(): ColdStart {
		return new ColdStart();
	}

	/**
	 * Starts or extends the cold period of the server.
	 *
	 * @param remainingMs remaining milliseconds of the cold period
	 * @param requestsPerSecond request rate that the server can handle while it is cold
	 * @param now monotonic milliseconds
	 */
	public extend(remainingMs: number, requestsPerSecond: number, now: number): void {
		this.coldUntil = Math.max(this.coldUntil, now + remainingMs);
		this.requestsPerSecond = requestsPerSecond;
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns whether the request rate of the server is limited now
	 */
	public isLimited(now: number): boolean {
		return now < this.coldUntil && this.requestsPerSecond !== Infinity;
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns request rate from all routers that the server can handle now; infinite when it is not limited
	 */
	public requestsPerSecondAt(now: number): number {
		return now < this.coldUntil ? this.requestsPerSecond : Infinity;
	}

	/**
	 * Counts a request that is sent to the server.
	 *
	 * @param now monotonic milliseconds
	 */
	public recordRequest(now: number): void {
		this.requests.add(1, now);
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns milliseconds for which the server is excluded from placement; 0 when it may receive a request
	 */
	public blockedMs(now: number): number {
		const isRateLimited = now < this.coldUntil && this.requests.sum(now) + 1 > this.requestsPerSecond;
		return isRateLimited ? RATE_LIMIT_EXCLUSION_MS : 0;
	}
}
