/** Minimum weight of the newest observation. With a larger one, start charges vary strongly from request to request. */
const MINIMUM_WEIGHT = 0.02;

/** A caller's hint may change the expected cost by at most this factor, since hints are inaccurate. */
const MAXIMUM_HINT_FACTOR = 4;

/** Cost assumed before the first observation, in cost units. */
const INITIAL_COST = 10;

/** Running mean of request costs, in cost units. */
export class CostEstimate {
	private mean: number | undefined;
	private observations = 0;

	private constructor(private readonly fallback: () => number) {}

	/**
	 * @param fallback mean to assume before the first observation
	 * @returns an estimate without observations
	 */
	public static create(fallback: () => number = () => INITIAL_COST): CostEstimate {
		return new CostEstimate(fallback);
	}

	/** Mean of the observed costs in cost units, or the fallback before the first observation. */
	public get value(): number {
		return this.mean ?? this.fallback();
	}

	/**
	 * @param hint cost that the caller expects, in cost units; ignored unless it is a positive number
	 * @returns expected cost of the next request, in cost units
	 */
	public withHint(hint: number | undefined): number {
		const mean = this.value;
		if (hint === undefined || !Number.isFinite(hint) || hint <= 0) {
			return mean;
		}
		return Math.min(Math.max(hint, mean / MAXIMUM_HINT_FACTOR), mean * MAXIMUM_HINT_FACTOR);
	}

	/** @param cost final cost of a request, in cost units */
	public observe(cost: number): void {
		this.observations++;
		const weight = Math.max(MINIMUM_WEIGHT, 1 / this.observations);
		this.mean = (this.mean ?? 0) + weight * (cost - (this.mean ?? 0));
	}
}
