/**
 * Computes the fairness gap: the largest |S_i/w_i − S_j/w_j| over any interval during which both accounts stay
 * backlogged, where S is the service and w the share of an account. For each pair it keeps the minimum and maximum
 * difference of normalised service since both became backlogged, so each delivery costs one comparison for each other
 * backlogged account.
 */
export class GapTracker {
	private readonly normalisedService: Float64Array;
	private readonly backlogged: boolean[];
	private readonly minimumDifferences: Float64Array;
	private readonly maximumDifferences: Float64Array;
	private largestGap = 0;
	private largestGapPair: readonly [number, number] | undefined;

	private constructor(private readonly shares: readonly number[]) {
		const count = shares.length;
		this.normalisedService = new Float64Array(count);
		this.backlogged = new Array<boolean>(count).fill(false);
		this.minimumDifferences = new Float64Array(count * count);
		this.maximumDifferences = new Float64Array(count * count);
	}

	/**
	 * @param shares share of each account
	 * @returns a tracker in which no account is backlogged
	 */
	public static create(shares: readonly number[]): GapTracker {
		return new GapTracker(shares);
	}

	/** Largest gap since the start or the last {@link reset}, in normalised cost units. */
	public get gap(): number {
		return this.largestGap;
	}

	/** Accounts with the largest gap; undefined while the gap is 0. */
	public get worstPair(): readonly [number, number] | undefined {
		return this.largestGapPair;
	}

	/**
	 * Records delivered service.
	 *
	 * @param account index of the account
	 * @param service cost units delivered now
	 */
	public deliver(account: number, service: number): void {
		this.normalisedService[account] = this.normalisedServiceOf(account) + service / (this.shares[account] ?? 1);
		if (this.backlogged[account] !== true) {
			return;
		}
		for (let other = 0; other < this.shares.length; other++) {
			if (other !== account && this.backlogged[other] === true) {
				this.updateDifferences(Math.min(account, other), Math.max(account, other));
			}
		}
	}

	/**
	 * Marks an account as backlogged or not. The interval of a pair lasts while both accounts are backlogged.
	 *
	 * @param account index of the account
	 * @param backlogged whether the account has requests waiting
	 */
	public setBacklogged(account: number, backlogged: boolean): void {
		if (this.backlogged[account] === backlogged) {
			return;
		}
		this.backlogged[account] = backlogged;
		if (backlogged) {
			this.startIntervals(account);
		}
	}

	/** Starts new intervals for all pairs and resets the largest gap to 0. */
	public reset(): void {
		this.largestGap = 0;
		this.largestGapPair = undefined;
		for (let account = 0; account < this.shares.length; account++) {
			this.startIntervals(account);
		}
	}

	private startIntervals(account: number): void {
		for (let other = 0; other < this.shares.length; other++) {
			const first = Math.min(account, other);
			const second = Math.max(account, other);
			const index = first * this.shares.length + second;
			const difference = this.normalisedServiceOf(first) - this.normalisedServiceOf(second);
			this.minimumDifferences[index] = difference;
			this.maximumDifferences[index] = difference;
		}
	}

	private updateDifferences(first: number, second: number): void {
		const index = first * this.shares.length + second;
		const difference = this.normalisedServiceOf(first) - this.normalisedServiceOf(second);
		const minimum = Math.min(this.minimumDifferences[index] ?? difference, difference);
		const maximum = Math.max(this.maximumDifferences[index] ?? difference, difference);
		this.minimumDifferences[index] = minimum;
		this.maximumDifferences[index] = maximum;
		if (maximum - minimum > this.largestGap) {
			this.largestGap = maximum - minimum;
			this.largestGapPair = [first, second];
		}
	}

	private normalisedServiceOf(account: number): number {
		return this.normalisedService[account] ?? 0;
	}
}

/** Parameters of the gap bound of design section 4.6, in cost units and milliseconds. */
export interface GapBoundParameters {
	readonly shares: readonly number[];
	/** Minimum sum of the shares of the accounts that are backlogged at the same time; all shares when absent. */
	readonly backloggedShares?: number;
	readonly slots: number;
	readonly meanCost: number;
	readonly largestCost: number;
	readonly entries: number;
	/** Normalised service that an entry may have delivered without reporting it. */
	readonly quantum: number;
	/** Service of all slots of the pool per millisecond. */
	readonly ratePerMs: number;
	/** One-way delay plus processing time. */
	readonly delayMs: number;
	/** The pool's slack, in mean request costs. */
	readonly slack: number;
}

/**
 * Evaluates `max over pairs (B_ij + B_ji)` of design section 4.6.
 *
 * @param parameters parameters of the scenario; shares are scaled so that the smallest is 1, as the formula assumes
 * @returns the bound in cost units per unit of the unscaled shares
 */
export function computeGapBound(parameters: GapBoundParameters): number {
	const smallest = Math.min(...parameters.shares);
	const weights = parameters.shares.map((share) => share / smallest);
	const total = weights.reduce((sum, weight) => sum + weight, 0);
	// Accounts complete requests in proportion to their shares, so the mean of cost/share over requests is n·m/Σw,
	// with n accounts, mean cost m and shares w.
	const slack = (parameters.slack * parameters.meanCost * weights.length) / total;
	const backlogged = (parameters.backloggedShares ?? Infinity) / smallest;
	const requestsInFlight = (weight: number): number =>
		1 +
		(slack * weight) / parameters.meanCost +
		(parameters.slots * weight) / Math.max(weight, Math.min(total, backlogged));
	const commonTerm = slack + parameters.entries * parameters.quantum + parameters.ratePerMs * parameters.delayMs;
	const excess = weights.map(
		(weight) => (requestsInFlight(weight) * (parameters.largestCost - parameters.meanCost)) / weight,
	);
	const overcharge = weights.map((weight) => (requestsInFlight(weight) * parameters.meanCost) / weight);
	let bound = 0;
	for (let first = 0; first < weights.length; first++) {
		for (let second = first + 1; second < weights.length; second++) {
			const pairBound = [first, second].reduce(
				(sum, account) => sum + (excess[account] ?? 0) + (overcharge[account] ?? 0),
				2 * commonTerm,
			);
			bound = Math.max(bound, pairBound);
		}
	}
	return bound / smallest;
}
