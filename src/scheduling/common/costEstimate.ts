/** Least weight of the newest observation; larger weights make the start charges of an account jump with each request. */
const MEAN_WEIGHT = 0.02;

/** A caller's hint may move the expected cost by at most this factor, since hints are rough. */
const HINT_FACTOR = 4;

/** Cost assumed before anything was observed, in cost units. */
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

	/** Mean of what was observed, or the fallback. */
	public get value(): number {
		return this.mean ?? this.fallback();
	}

	/**
	 * @param hint cost that the caller expects, in cost units
	 * @returns the cost to expect of the next request
	 */
	public withHint(hint: number | undefined): number {
		const mean = this.value;
		if (hint === undefined || !Number.isFinite(hint) || hint <= 0) {
			return mean;
		}
		return Math.min(Math.max(hint, mean / HINT_FACTOR), mean * HINT_FACTOR);
	}

	/** @param cost final cost of a request */
	public observe(cost: number): void {
		this.observations++;
		const weight = Math.max(MEAN_WEIGHT, 1 / this.observations);
		this.mean = (this.mean ?? 0) + weight * (cost - (this.mean ?? 0));
	}
}
