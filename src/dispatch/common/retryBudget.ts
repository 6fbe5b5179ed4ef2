/** Retries that each accepted request adds to the budget. */
const RETRIES_PER_REQUEST = 0.1;

/** Maximum budget, which is also the initial one. */
const MAXIMUM_RETRIES = 10;

/** Limits the retries of one account in one pool to a fraction of its requests, so that they cannot multiply load. */
export class RetryBudget {
	private available = MAXIMUM_RETRIES;

	private constructor() {}

	/** @returns a full budget */
	public static create(): RetryBudget {
		return new RetryBudget();
	}

	/** Records an accepted request. */
	public deposit(): void {
		this.available = Math.min(MAXIMUM_RETRIES, this.available + RETRIES_PER_REQUEST);
	}

	/** @returns whether the budget allowed another retry, which is then deducted */
	public tryWithdraw(): boolean {
		if (this.available < 1) {
			return false;
		}
		this.available--;
		return true;
	}
}
