/** Estimates how long an engine takes from sending a prompt to its first event. */
export interface IPrefillSpeed {
	/** Prefill time relative to the nominal time. */
	readonly pace: number;
	/** Milliseconds from the end of the prefill to the arrival of the first event. */
	readonly latencyMs: number;
	/** Number of observations of the pace. */
	readonly observations: number;
	/** Weight of the last observation in the pace, from 0 to 1. */
	readonly gain: number;
	/**
	 * @param workMs nominal prefill time of the prompts that the engine has processed
	 * @param elapsedMs milliseconds from the start of their prefill to the first event of the last one
	 */
	observe(workMs: number, elapsedMs: number): void;
}

// A pace outside this range means that the engine failed or was misjudged; health tracking and retries handle that.
const MINIMUM_PACE = 0.4;
const MAXIMUM_PACE = 8;

/** Minimum weight of one observation in the moving average of the pace; the first ones weigh more. */
const PACE_GAIN = 0.15;

/** Shorter observations are ignored because fixed costs of the engine dominate them. */
const MINIMUM_OBSERVED_WORK_MS = 15;

/** Takes the whole time to the first event for prefill. */
export class ProportionalPrefillSpeed implements IPrefillSpeed {
	public readonly latencyMs = 0;
	private currentPace = 1;
	private observationCount = 0;
	private lastGain = 1;

	private constructor() {}

	/** @returns a speed of pace 1 */
	public static create(): ProportionalPrefillSpeed {
		return new ProportionalPrefillSpeed();
	}

	public get pace(): number {
		return this.currentPace;
	}

	public get observations(): number {
		return this.observationCount;
	}

	public get gain(): number {
		return this.lastGain;
	}

	public observe(workMs: number, elapsedMs: number): void {
		if (workMs < MINIMUM_OBSERVED_WORK_MS) {
			return;
		}
		const observed = Math.min(MAXIMUM_PACE, Math.max(MINIMUM_PACE, elapsedMs / workMs));
		this.observationCount++;
		this.lastGain = Math.max(PACE_GAIN, 1 / (this.observationCount + 1));
		this.currentPace += this.lastGain * (observed - this.currentPace);
	}
}

/** The fastest known engines prefill at a pace of 0.35; slower ones than the maximum have failed. */
const MINIMUM_SEPARATED_PACE = 0.1;

/** A longer latency is caused by prompts that this router does not know of. */
const MAXIMUM_LATENCY_MS = 150;

/** Weight that an earlier observation retains at each new one; at ten prompts a second, half of it is gone after 2 s. */
const RETENTION = 0.965;

/** Work of a prompt that an engine of pace 1 is assumed to have processed before the first observation. */
const INITIAL_WORK_MS = 20;

const LATENCY_GAIN = 0.1;

/** Residuals beyond this are caused by other prompts, and would move the latency too far. */
const MAXIMUM_RESIDUAL_MS = 100;

/**
 * Separates the prefill from the latency that each first event has: engine steps, network, and event loops. Long prompts
 * determine the pace, and the remainder of all prompts the latency.
 *
 * Load pattern: fast engines prefill most prompts in less time than the latency. Taken for prefill, the latency makes
 * engines look busy at a fifth of their capacity, and requests are refused although they would be served in time.
 */
export class SeparatedPrefillSpeed implements IPrefillSpeed {
	private currentLatencyMs = 0;
	private observationCount = 0;
	private lastGain = 1;
	private sumOfSquares: number;
	private sumOfProducts: number;

	private constructor(initialPace: number) {
		this.sumOfSquares = INITIAL_WORK_MS ** 2;
		this.sumOfProducts = INITIAL_WORK_MS ** 2 * initialPace;
	}

	/**
	 * @param initialPace pace until the first observation
	 * @returns a speed without latency
	 */
	public static create(initialPace = 1): SeparatedPrefillSpeed {
		return new SeparatedPrefillSpeed(initialPace);
	}

	public get pace(): number {
		return Math.min(MAXIMUM_PACE, Math.max(MINIMUM_SEPARATED_PACE, this.sumOfProducts / this.sumOfSquares));
	}

	public get latencyMs(): number {
		return this.currentLatencyMs;
	}

	public get observations(): number {
		return this.observationCount;
	}

	public get gain(): number {
		return this.lastGain;
	}

	public observe(workMs: number, elapsedMs: number): void {
		// Not limited below: with short prompts only, a mean of values above 0 would rise with the noise of the latency.
		const prefillMs = Math.min(MAXIMUM_PACE * workMs, elapsedMs - this.currentLatencyMs);
		this.sumOfSquares = RETENTION * this.sumOfSquares + workMs ** 2;
		this.sumOfProducts = RETENTION * this.sumOfProducts + workMs * prefillMs;
		this.observationCount++;
		this.lastGain = workMs ** 2 / this.sumOfSquares;
		const residualMs = elapsedMs - this.pace * workMs - this.currentLatencyMs;
		const step = LATENCY_GAIN * Math.max(-MAXIMUM_RESIDUAL_MS, Math.min(MAXIMUM_RESIDUAL_MS, residualMs));
		this.currentLatencyMs = Math.max(0, Math.min(MAXIMUM_LATENCY_MS, this.currentLatencyMs + step));
	}
}
