import { SlidingSum } from '../../shares/common/slidingSum.js';

/** The rate of requests to a cold server is bounded within each second. */
const WINDOW_MS = 1_000;

/** A cold server that has its requests is left out until the next report of its keeper. */
const FULL_MS = 250;

/**
 * Bounds the requests that a server gets while it is cold, of all routers together. The router that keeps the queue of a
 * server counts them, since it hears of each.
 *
 * Load pattern: a server that has just started looks idle, so all routers would choose it for all that arrives.
 */
export class ColdStart {
	private readonly requests = SlidingSum.create(WINDOW_MS);
	private coldUntil = -Infinity;
	private requestsPerSecond = Infinity;

	private constructor() {}

	/** @returns the state of a server that is warm */
	public static create(): ColdStart {
		return new ColdStart();
	}

	/**
	 * Notes that the server is cold.
	 *
	 * @param leftMs milliseconds for which it stays so
	 * @param requestsPerSecond that it bears meanwhile
	 * @param now monotonic milliseconds
	 */
	public extend(leftMs: number, requestsPerSecond: number, now: number): void {
		this.coldUntil = Math.max(this.coldUntil, now + leftMs);
		this.requestsPerSecond = requestsPerSecond;
	}

	/** @param now monotonic milliseconds at which a request is sent to the server */
	public noteRequest(now: number): void {
		this.requests.add(1, now);
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns milliseconds for which the server is left out
	 */
	public closedMs(now: number): number {
		const isFull = now < this.coldUntil && this.requests.sum(now) + 1 > this.requestsPerSecond;
		return isFull ? FULL_MS : 0;
	}
}
