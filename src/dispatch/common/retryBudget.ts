/** Retries that each started request adds to the budget. */
const RETRIES_PER_REQUEST = 0.1;

/** Largest number of retries saved up; also the budget at the start. */
const MAXIMUM_RETRIES = 10;

/** Limits the retries of one account in one pool to a fraction of its requests, so that retries cannot multiply load. */
export class RetryBudget {
	private available = MAXIMUM_RETRIES;

	private constructor() {}

	/** @returns a full budget */
	public static create(): RetryBudget {
		return new RetryBudget();
	}

	/** Counts a request that was accepted. */
	public deposit(): void {
		this.available = Math.min(MAXIMUM_RETRIES, this.available + RETRIES_PER_REQUEST);
	}

	/** @returns whether one more retry may be made */
	public tryWithdraw(): boolean {
		if (this.available < 1) {
			return false;
		}
		this.available--;
		return true;
	}
}
