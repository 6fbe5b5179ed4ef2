import { SlidingSum } from '../../shares/common/slidingSum.js';
import { AccountLimits } from './accountLimits.js';

/** Interval in milliseconds at which the event loop lag must be recorded. */
export const LAG_SAMPLE_INTERVAL_MS = 50;

/** Time constant of the average lag. It covers several scheduling periods of a CPU quota, which are a tenth of a second. */
const LAG_AVERAGING_MS = 250;

/** Mean lag above which the CPU is saturated; it is below 3 ms on a router whose CPU is not. */
const SATURATED_LAG_MS = 25;

/** Mean lag below which the limit rises. */
const NORMAL_LAG_MS = 10;

/**
 * Mean lag below which a request is handed over instead of refused if its caller would retry a refusal at this router.
 * Above this lag, requests are refused too, since callers disconnect when theirs are not read within a second.
 */
const MAXIMUM_LAG_WITHOUT_REFUSAL_MS = 200;

/** Time between changes of the limit, whose effect is visible only after averaging. */
const LIMIT_UPDATE_INTERVAL_MS = 100;
const LIMIT_DECREASE_FACTOR = 0.85;
const LIMIT_INCREASE_FACTOR = 1.06;

/** Upper bound of a single lag sample. A longer pause is caused by a frozen or throttled process, not by requests. */
const MAXIMUM_LAG_SAMPLE_MS = 250;

/**
 * Lower bound of the limit. Even the smallest instance of a deployment can handle this rate. Without the bound, a
 * process that has just started, and has admitted few requests so far, would be limited to almost none.
 */
const MINIMUM_REQUESTS_PER_SECOND = 20;

/** A limit above this multiple of the admitted rate has no effect and is removed. */
const INEFFECTIVE_LIMIT_FACTOR = 3;

/** CPU time to forward a request to another router and return the response, relative to the CPU time to run it. */
const HANDOVER_COST = 0.5;

const RATE_WINDOW_MS = 1_000;

/** What happens to a received request: it runs here, is handed over to another router, or is refused. */
export type LoadDecision = 'take' | 'hand-over' | 'refuse';

/**
 * Limits the work of a router to what its CPU can process. A saturated router hands requests over to others, which takes
 * less CPU time than running them. Requests beyond that are refused early, while this is cheap, so that their callers
 * can try another router at once and accepted requests do not wait in socket buffers. Accounts share the limit by max-min
 * fairness.
 *
 * Load pattern: one caller sends most requests of a failure domain, and the load balancer assigns all its connections to
 * one router, which receives ten times what it can process while the others are idle.
 */
export class LoadShedder {
	private readonly admitted = SlidingSum.create(RATE_WINDOW_MS);
	private readonly accountLimits = AccountLimits.create();
	private lagMs = 0;
	private waitMs = 0;
	private limit = Infinity;
	private limitUpdatedAt = 0;

	private constructor() {}

	/** @returns the load shedder of an idle router */
	public static create(): LoadShedder {
		return new LoadShedder();
	}

	/** Limit of requests per second to run, or of twice as many to hand over; infinite while no limit is in force. */
	public get requestsPerSecond(): number {
		return this.limit;
	}

	/** Whether a limit is in force. */
	public get isLimiting(): boolean {
		return this.limit !== Infinity;
	}

	/** Mean time in milliseconds for which requests wait: the event loop lag, or the longest wait for a turn. */
	public get meanLagMs(): number {
		return Math.max(this.lagMs, this.waitMs);
	}

	/**
	 * Records the event loop lag, measured by a timer with the interval {@link LAG_SAMPLE_INTERVAL_MS}.
	 *
	 * @param sampleMs milliseconds by which the timer fired late
	 * @param now monotonic milliseconds
	 * @param longestWaitMs milliseconds for which the first request has been waiting for its turn
	 */
	public recordLag(sampleMs: number, now: number, longestWaitMs = 0): void {
		const weight = 1 - Math.exp(-(LAG_SAMPLE_INTERVAL_MS + sampleMs) / LAG_AVERAGING_MS);
		this.lagMs += weight * (Math.min(sampleMs, MAXIMUM_LAG_SAMPLE_MS) - this.lagMs);
		this.waitMs += weight * (Math.min(longestWaitMs, MAXIMUM_LAG_SAMPLE_MS) - this.waitMs);
		if (now - this.limitUpdatedAt < LIMIT_UPDATE_INTERVAL_MS) {
			return;
		}
		this.limitUpdatedAt = now;
		const admittedPerSecond = this.admitted.sum(now);
		if (this.lagMs > SATURATED_LAG_MS) {
			const limit = Math.min(this.limit, admittedPerSecond) * LIMIT_DECREASE_FACTOR;
			this.limit = Math.max(MINIMUM_REQUESTS_PER_SECOND, limit);
			return;
		}
		const ineffectiveLimit = INEFFECTIVE_LIMIT_FACTOR * Math.max(MINIMUM_REQUESTS_PER_SECOND, admittedPerSecond);
		if (this.waitMs > SATURATED_LAG_MS) {
			// The turns bound the work of an iteration already. What waits there says nothing about how much can be processed.
			this.limit = Math.min(this.limit * LIMIT_INCREASE_FACTOR, ineffectiveLimit);
		} else if (this.lagMs < NORMAL_LAG_MS && this.limit !== Infinity) {
			this.limit *= LIMIT_INCREASE_FACTOR;
			if (this.limit > ineffectiveLimit) {
				this.limit = Infinity;
			}
		}
	}

	/**
	 * Decides what happens to a received request. Refusing it saves nothing if its caller retries at this router on a new
	 * connection: a refusal and a new connection together take as long as handing the request over.
	 *
	 * @param account name of the account that sent the request
	 * @param now monotonic milliseconds
	 * @param mayHandOver returns whether another router can run the request
	 * @param wouldRetryHere returns whether the caller of a refused request would retry at this router
	 * @returns the decision
	 */
	public decide(account: string, now: number, mayHandOver: () => boolean, wouldRetryHere: () => boolean): LoadDecision {
		if (this.limit === Infinity) {
			this.admitted.add(1, now);
			return 'take';
		}
		const isHandover = mayHandOver();
		const work = isHandover ? HANDOVER_COST : 1;
		const isRefusalIneffective = isHandover && this.lagMs < MAXIMUM_LAG_WITHOUT_REFUSAL_MS && wouldRetryHere();
		if (!this.accountLimits.tryTake(account, work, this.limit, now) && !isRefusalIneffective) {
			return 'refuse';
		}
		this.admitted.add(work, now);
		return isHandover ? 'hand-over' : 'take';
	}
}
