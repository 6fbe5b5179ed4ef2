/**
 * Part of the time for which engines are to read prompts. Each token of a stream takes as long as the prompt chunk that is
 * read with it, so streams end within their deadline only on engines that read for less than two thirds of the time.
 */
const TARGET_LOAD = 0.65;

/** At a lower load, what was admitted says little about what the engines can give. */
const LEAST_OBSERVED_LOAD = 0.15;

/** Time constant of what is learned: several windows of the rates that it is learned from. */
const LEARNING_PERIOD_MS = 4_000;

/** What is learned stays within this factor of what is stated, in both directions. */
const LARGEST_FACTOR = 4;

/** What the engines of a fleet were doing at one moment. */
export interface CapacityObservation {
	/** Cost units a second that were sent to engines. */
	readonly admittedPerSecond: number;
	/** Mean part of the time for which engines read prompts, from 0 to 1; undefined when it is not known. */
	readonly load: number | undefined;
}

/**
 * Learns how much work engines take at the load that they are to have. What is stated of them is a mean over all kinds of
 * work; what they hold of prompts, and engines that have failed or are slow, make it more or less.
 */
export class CapacityEstimator {
	/** Means over the learning period; undefined until something was observed. */
	private means: { readonly admittedPerSecond: number; readonly load: number } | undefined;
	private learnedAt = -Infinity;

	private constructor() {}

	/** @returns a capacity that is as stated until something was observed */
	public static create(): CapacityEstimator {
		return new CapacityEstimator();
	}

	/**
	 * @param observation what the engines were doing
	 * @param now monotonic milliseconds
	 */
	public observe({ admittedPerSecond, load }: CapacityObservation, now: number): void {
		const elapsedMs = now - this.learnedAt;
		this.learnedAt = now;
		if (load === undefined || load < LEAST_OBSERVED_LOAD || admittedPerSecond <= 0) {
			return;
		}
		const before = this.means ?? { admittedPerSecond, load };
		const gain = 1 - Math.exp(-elapsedMs / LEARNING_PERIOD_MS);
		this.means = {
			admittedPerSecond: before.admittedPerSecond + gain * (admittedPerSecond - before.admittedPerSecond),
			load: before.load + gain * (load - before.load),
		};
	}

	/**
	 * @param stated cost units a second that the engines are said to produce
	 * @returns cost units a second to be divided among accounts
	 */
	public estimatePerSecond(stated: number): number {
		const { means } = this;
		const learned = means === undefined ? stated : (means.admittedPerSecond / means.load) * TARGET_LOAD;
		return Math.min(stated * LARGEST_FACTOR, Math.max(stated / LARGEST_FACTOR, learned));
	}
}
