/**
 * Target fraction of the time that engines spend on prefill. Each token of a stream takes as long as the prompt chunk
 * processed with it, so streams end within their deadline only on engines with prefill for less than two thirds of the
 * time.
 */
export const TARGET_LOAD = 0.65;

/** At a lower load, the admitted work says little about the capacity of the engines. */
const MINIMUM_OBSERVED_LOAD = 0.15;

/** Time constant of the running means: several windows of the observed rates. */
const AVERAGING_PERIOD_MS = 4_000;

/** The estimated capacity stays within this factor of the nominal one, in both directions. */
const MAXIMUM_CORRECTION_FACTOR = 4;

/** Load of the engines of a fleet at one moment. */
export interface CapacityObservation {
	/** Cost units per second that were sent to engines. */
	readonly admittedPerSecond: number;
	/** Mean fraction of the time that engines spend on prefill, from 0 to 1; undefined when unknown. */
	readonly load: number | undefined;
	/** Fraction of the engines' capacity that the limits which they name leave, from 0 to 1; 1 when not stated. */
	readonly remainingFraction?: number;
}

/**
 * Estimates how much work the engines process at their target load. The nominal capacity is a mean over all kinds of
 * work; cached prompts, and engines that have failed or are slow, make the actual capacity higher or lower.
 */
export class CapacityEstimator {
	/** Running means over the averaging period; undefined before the first observation. */
	private means:
		{ readonly admittedPerSecond: number; readonly load: number; readonly remainingFraction: number } | undefined;
	/** Last observed fraction, which changes at once when engines name limits. */
	private remainingFraction = 1;
	private lastObservedAt = -Infinity;

	private constructor() {}

	/** @returns an estimate that equals the nominal capacity until the first observation */
	public static create(): CapacityEstimator {
		return new CapacityEstimator();
	}

	/**
	 * @param observation load of the engines
	 * @param now monotonic milliseconds
	 */
	public observe({ admittedPerSecond, load, remainingFraction = 1 }: CapacityObservation, now: number): void {
		const elapsedMs = now - this.lastObservedAt;
		this.lastObservedAt = now;
		this.remainingFraction = remainingFraction;
		if (load === undefined || load < MINIMUM_OBSERVED_LOAD || admittedPerSecond <= 0) {
			return;
		}
		const before = this.means ?? { admittedPerSecond, load, remainingFraction };
		const gain = 1 - Math.exp(-elapsedMs / AVERAGING_PERIOD_MS);
		this.means = {
			admittedPerSecond: before.admittedPerSecond + gain * (admittedPerSecond - before.admittedPerSecond),
			load: before.load + gain * (load - before.load),
			remainingFraction: before.remainingFraction + gain * (remainingFraction - before.remainingFraction),
		};
	}

	/**
	 * @param nominal nominal capacity of the engines, in cost units per second
	 * @returns cost units per second to divide among accounts
	 */
	public estimatePerSecond(nominal: number): number {
		const { means, remainingFraction } = this;
		// The means follow a change of the limits slowly, and contain as much of it as their own fraction.
		const estimated =
			means === undefined
				? nominal
				: ((means.admittedPerSecond / means.load) * TARGET_LOAD * remainingFraction) / means.remainingFraction;
		return Math.min(nominal * MAXIMUM_CORRECTION_FACTOR, Math.max(nominal / MAXIMUM_CORRECTION_FACTOR, estimated));
	}
}
