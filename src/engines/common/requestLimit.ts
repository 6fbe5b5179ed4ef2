import { TARGET_LOAD } from '../../shares/common/capacityEstimator.js';
import { SlidingSum } from '../../shares/common/slidingSum.js';

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Rate at which a server receives requests however low its limit is. Its limit ends only when a response no longer names
 * it, so a server without requests would stay limited permanently.
 */
const MINIMUM_REQUESTS_PER_SECOND = 0.2;

/** Period for which unused requests are saved up, so that requests that come a little late do not lower the rate. */
const SAVING_PERIOD_MS = 250;

/** Maximum random delay of a router, as a fraction of the time between two requests, and in milliseconds. */
const JITTER_FRACTION = 0.25;
const MAXIMUM_JITTER_MS = 40;

/** Window over which the used fraction of a limit is measured. */
const LOAD_WINDOW_MS = 2_000;

/** At a lower load, the requests of a server say little about how many it can handle. */
const MINIMUM_OBSERVED_LOAD = 0.3;

/** Interval at which peers are told again of a limit that a server goes on naming, since a datagram may be lost. */
const REPORT_INTERVAL_MS = 400;

/** Tells peers which limit a server has named. */
export interface RequestLimitReport {
	readonly server: string;
	/** Unix milliseconds at which this incarnation of the server started; undefined when not known. */
	readonly startedAt: number | undefined;
	/** Requests per second from all routers together; undefined when the server no longer names a limit. */
	readonly requestsPerSecond: number | undefined;
}

/**
 * Limits the request rate of a server, summed over all routers, to what the server names in its responses. Requests are
 * spaced by a leaky bucket: one that was sent too early because routers did not know of each other's yet delays the
 * next, so the rate holds on average.
 *
 * Load pattern: an engine in need looks idle, so that all routers that wait for its next request would send one in the
 * same milliseconds, before they hear of each other's.
 */
export class RequestLimit {
	private readonly recent = SlidingSum.create(LOAD_WINDOW_MS);
	private limit: number | undefined;
	/** Requests per second that the server would handle at its target load without the limit; undefined when not known. */
	private unlimitedRate: number | undefined;
	private changedAt = -Infinity;
	private namedAt = -Infinity;
	private reportedAt = -Infinity;
	/** Time of the next request; may lie in the past. */
	private nextAt = -Infinity;
	private jitterMs = 0;

	private constructor(
		private readonly heardFraction: () => number,
		private readonly random: () => number,
	) {}

	/**
	 * @param heardFraction returns the fraction of the routers whose requests are known here, from 0 to 1; the others
	 * are left their part of a limit
	 * @param random returns numbers from 0 to 1, which keep routers from sending at the same moment
	 * @returns the state of a server without a limit
	 */
	public static create(heardFraction: () => number = () => 1, random: () => number = Math.random): RequestLimit {
		return new RequestLimit(heardFraction, random);
	}

	/** Limit in requests per second; undefined when there is none. */
	public get requestsPerSecond(): number | undefined {
		return this.limit;
	}

	/**
	 * Applies the limit that a response names.
	 *
	 * @param requestsPerSecond limit for all routers together
	 * @param now monotonic milliseconds
	 * @param serverLoad fraction of the time that the server spends on prefill, from 0 to 1
	 * @returns whether the limit has changed
	 */
	public apply(requestsPerSecond: number, now: number, serverLoad: number): boolean {
		this.namedAt = now;
		if (this.limit === undefined) {
			const rate = (this.recent.sum(now) * MILLISECONDS_PER_SECOND) / LOAD_WINDOW_MS;
			this.unlimitedRate = (rate * TARGET_LOAD) / Math.max(MINIMUM_OBSERVED_LOAD, serverLoad);
		}
		return this.change(requestsPerSecond, now);
	}

	/**
	 * Ends the limit because a response names none, unless the response may be older than the last one that did.
	 *
	 * @param sentAt monotonic milliseconds at which the request was sent
	 * @param now monotonic milliseconds
	 * @returns whether there was a limit
	 */
	public end(sentAt: number, now: number): boolean {
		return sentAt >= this.namedAt && this.change(undefined, now);
	}

	/**
	 * Applies the limit that the queue owner reports, unless this router has learned of a change since.
	 *
	 * @param requestsPerSecond as reported
	 * @param reportedAt monotonic milliseconds at which the owner created the report
	 */
	public applyReport(requestsPerSecond: number | undefined, reportedAt: number): void {
		if (reportedAt >= this.changedAt) {
			this.change(requestsPerSecond, reportedAt);
		}
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns whether peers have to be told again of a limit that the server goes on naming
	 */
	public isReportDue(now: number): boolean {
		return now - this.reportedAt >= REPORT_INTERVAL_MS;
	}

	/** @param now monotonic milliseconds at which peers are told of the limit or of its end */
	public recordReport(now: number): void {
		this.reportedAt = now;
	}

	/**
	 * Counts a request that some router sends to the server.
	 *
	 * @param now monotonic milliseconds
	 */
	public recordRequest(now: number): void {
		this.recent.add(1, now);
		if (this.limit === undefined) {
			return;
		}
		this.nextAt = Math.max(this.nextAt, now - SAVING_PERIOD_MS) + this.intervalMs;
		this.jitterMs = this.random() * Math.min(MAXIMUM_JITTER_MS, this.intervalMs * JITTER_FRACTION);
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns milliseconds until the server may receive a request; 0 when it may now
	 */
	public blockedMs(now: number): number {
		return this.limit === undefined ? 0 : Math.max(0, this.nextAt + this.jitterMs - now);
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns load that corresponds to the used fraction of the limit: the target load when all of it is used
	 */
	public load(now: number): number {
		if (this.limit === undefined) {
			return 0;
		}
		const limitPerWindow = (LOAD_WINDOW_MS * this.rate) / MILLISECONDS_PER_SECOND;
		return TARGET_LOAD * Math.min(1, this.recent.sum(now) / limitPerWindow);
	}

	/** Fraction of the server's capacity that its limit leaves, from 0 to 1; 1 without a limit. */
	public get remainingFraction(): number {
		return this.limit === undefined || this.unlimitedRate === undefined
			? 1
			: Math.min(1, Math.max(MINIMUM_REQUESTS_PER_SECOND, this.limit) / this.unlimitedRate);
	}

	private change(requestsPerSecond: number | undefined, now: number): boolean {
		if (requestsPerSecond === this.limit) {
			return false;
		}
		this.limit = requestsPerSecond;
		this.changedAt = now;
		// A higher limit also applies to requests that wait for the end of a long interval.
		this.nextAt = Math.min(Math.max(this.nextAt, now), now + this.intervalMs);
		return true;
	}

	private get rate(): number {
		return Math.max(MINIMUM_REQUESTS_PER_SECOND, this.limit ?? 0) * this.heardFraction();
	}

	private get intervalMs(): number {
		return MILLISECONDS_PER_SECOND / this.rate;
	}
}
