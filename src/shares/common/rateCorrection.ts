/** Largest correction of a rate. */
const MAXIMUM_CORRECTION = 2;

/** An account is corrected while it offers more than this multiple of its share; rates measured over a second vary by as much. */
const OFFERED_THRESHOLD = 1.15;

/** Time constant with which the correction follows what is admitted: twice the age of the usage that is known. */
const CORRECTION_TIME_MS = 1_000;

/** Interval between updates in milliseconds; what is admitted is reported less often. */
const UPDATE_INTERVAL_MS = 100;

/** Updates after a longer time count as after this one, since usage was not observed meanwhile. */
const MAXIMUM_ELAPSED_MS = 500;

/** Part of the share below which the correction does not follow what is admitted any faster. */
const MINIMUM_ADMITTED_SHARE = 0.25;

/**
 * Corrects the rate of an account that asks for more than its share and gets less. Routers divide the rate by where requests
 * arrived before. What of it belongs to routers that the requests have left, that are saturated, or whose requests are refused
 * elsewhere is used by nobody, so the other routers admit as much more until the account gets its share.
 */
export class RateCorrection {
	private factor = 1;
	private updatedAt = -Infinity;

	private constructor() {}

	/** @returns a correction by nothing */
	public static create(): RateCorrection {
		return new RateCorrection();
	}

	/**
	 * @param offeredShare work that the account offers to all routers, relative to its share
	 * @param admittedShare work of it that is admitted, relative to its share
	 * @param now monotonic milliseconds
	 * @returns factor by which the rate of the account is multiplied, at least 1
	 */
	public update(offeredShare: number, admittedShare: number, now: number): number {
		const elapsedMs = now - this.updatedAt;
		if (elapsedMs < UPDATE_INTERVAL_MS) {
			return this.factor;
		}
		this.updatedAt = now;
		const exponent = Math.min(MAXIMUM_ELAPSED_MS, elapsedMs) / CORRECTION_TIME_MS;
		const missing = offeredShare > OFFERED_THRESHOLD ? 1 / Math.max(MINIMUM_ADMITTED_SHARE, admittedShare) : 0;
		this.factor = Math.min(MAXIMUM_CORRECTION, Math.max(1, this.factor * missing ** exponent));
		return this.factor;
	}
}
