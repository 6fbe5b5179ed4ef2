import { SlidingSum } from '../../shares/common/slidingSum.js';

/** Interval in milliseconds at which the lateness of timers is to be recorded. */
export const LAG_SAMPLE_INTERVAL_MS = 50;

/** Lateness is averaged over about this time, which covers several turns of a processor that is given out in tenths of a second. */
const LATENESS_PERIOD_MS = 250;

/** Mean lateness at which the processor is exhausted; it is below 3 ms on a router that is not. */
const EXHAUSTED_LATENESS_MS = 25;

/** Mean lateness at which more requests may be taken. */
const CALM_LATENESS_MS = 10;

/** Mean lateness up to which nothing is refused that would come back; callers leave when they are not read for a second. */
const LONGEST_MEAN_LATENESS_MS = 200;

/** Steps in which the limit changes, per 100 ms, since an effect shows only after the averaging. */
const STEP_MS = 100;
const DECREASE = 0.85;
const INCREASE = 1.06;

/** One pause of a frozen or throttled process counts no more than this, because it says nothing about requests. */
const LONGEST_LATENESS_MS = 250;

/** Even the smallest instance of a deployment does this much, so a process that has just started is hardly limited. */
const LEAST_REQUESTS_PER_SECOND = 20;

/** A limit that is this many times what arrives has no effect and is dropped. */
const IDLE_LIMIT = 3;

/** Processor time to pass a request and its answer to another router and back, as a part of the time to run the request. */
const HANDOVER_WORK = 0.5;

const RATE_WINDOW_MS = 1_000;

/** Requests that may arrive at once, as the time in which the limit allows them. */
const BURST_MS = 100;

const MILLISECONDS_PER_SECOND = 1_000;

/** What becomes of a request that has arrived. */
export type LoadDecision = 'take' | 'hand-over' | 'refuse';

/**
 * Limits the work that a router takes to what its processor can do. An exhausted router hands requests over to others,
 * which takes it less time than to run them. What is beyond that is refused while it is cheap, so that callers can ask
 * another router at once, and those that are taken do not wait in sockets.
 *
 * Load pattern: one caller sends most requests of a failure domain, and the balancer gives all its connections to one
 * router, which gets ten times what it can do while the others are idle.
 */
export class LoadShedder {
	private readonly admitted = SlidingSum.create(RATE_WINDOW_MS);
	private latenessMs = 0;
	private limit = Infinity;
	private credit = 0;
	private creditAt = 0;
	private steppedAt = 0;

	private constructor() {}

	/** @returns a guard of an idle router */
	public static create(): LoadShedder {
		return new LoadShedder();
	}

	/** Requests per second that are taken, or twice as many handed over; infinite while the processor is not exhausted. */
	public get requestsPerSecond(): number {
		return this.limit;
	}

	/** Whether work is limited. */
	public get isLimiting(): boolean {
		return this.limit !== Infinity;
	}

	/** Mean milliseconds by which timers are late. */
	public get meanLagMs(): number {
		return this.latenessMs;
	}

	/**
	 * Notes by how much a timer that is set at {@link LAG_SAMPLE_INTERVAL_MS} was late.
	 *
	 * @param lateMs milliseconds
	 * @param now monotonic milliseconds
	 */
	public recordLag(lateMs: number, now: number): void {
		const weight = 1 - Math.exp(-(LAG_SAMPLE_INTERVAL_MS + lateMs) / LATENESS_PERIOD_MS);
		this.latenessMs += weight * (Math.min(lateMs, LONGEST_LATENESS_MS) - this.latenessMs);
		if (now - this.steppedAt < STEP_MS) {
			return;
		}
		this.steppedAt = now;
		const admittedPerSecond = this.admitted.sum(now);
		if (this.latenessMs > EXHAUSTED_LATENESS_MS) {
			const limit = Math.min(this.limit, admittedPerSecond) * DECREASE;
			this.limit = Math.max(LEAST_REQUESTS_PER_SECOND, limit);
		} else if (this.latenessMs < CALM_LATENESS_MS && this.limit !== Infinity) {
			this.limit *= INCREASE;
			if (this.limit > IDLE_LIMIT * Math.max(LEAST_REQUESTS_PER_SECOND, admittedPerSecond)) {
				this.limit = Infinity;
			}
		}
	}

	/**
	 * Decides about a request that has arrived. To refuse it is no relief when its caller comes back on a new connection
	 * to this router: both together take as long as handing it over.
	 *
	 * @param now monotonic milliseconds
	 * @param mayHandOver tells whether another router can run the request
	 * @param comesBack tells whether the caller comes back to this router when the request is refused
	 * @returns what becomes of the request
	 */
	public decide(now: number, mayHandOver: () => boolean, comesBack: () => boolean): LoadDecision {
		if (this.limit === Infinity) {
			this.admitted.add(1, now);
			return 'take';
		}
		const burst = Math.max(1, (this.limit * BURST_MS) / MILLISECONDS_PER_SECOND);
		const earned = ((now - this.creditAt) * this.limit) / MILLISECONDS_PER_SECOND;
		this.credit = Math.min(burst, this.credit + earned);
		this.creditAt = now;
		const handsOver = mayHandOver();
		const work = handsOver ? HANDOVER_WORK : 1;
		const isRefusalInVain = handsOver && this.latenessMs < LONGEST_MEAN_LATENESS_MS && comesBack();
		if (this.credit < work && !isRefusalInVain) {
			return 'refuse';
		}
		this.credit = Math.max(0, this.credit - work);
		this.admitted.add(work, now);
		return handsOver ? 'hand-over' : 'take';
	}
}
