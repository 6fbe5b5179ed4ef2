/** Largest burst of an account, as the time in which the account's rate accrues the credit for it. */
const BURST_MS = 1000;

const SECOND_MS = 1_000;

/**
 * Work of an account that one router may still admit. The credit accrues at the account's rate, and one request may
 * overdraw it, so that large requests are served at the same rate as small ones. An earlier time than that of the call before
 * counts as the same time.
 */
export class ShareCredit {
	private amount = Infinity;
	private updatedAt = 0;

	private constructor() {}

	/** @returns unlimited credit, for an account that was not throttled yet */
	public static create(): ShareCredit {
		return new ShareCredit();
	}

	/**
	 * @param rate cost units per second; infinite when the account is not throttled
	 * @param now monotonic milliseconds
	 * @returns milliseconds until a request may be admitted; 0 when it may be admitted now
	 */
	public throttledMs(rate: number, now: number): number {
		this.update(rate, now);
		return this.amount > 0 ? 0 : Math.max(1, (-this.amount / rate) * SECOND_MS);
	}

	/**
	 * @param rate cost units per second; infinite when the account is not throttled
	 * @param now monotonic milliseconds
	 * @returns cost units that may still be admitted; negative after a request that overdrew them
	 */
	public remaining(rate: number, now: number): number {
		this.update(rate, now);
		return this.amount;
	}

	/**
	 * @param cost cost of a request that is admitted
	 * @param rate cost units per second; infinite when the account is not throttled
	 * @param now monotonic milliseconds
	 */
	public spend(cost: number, rate: number, now: number): void {
		this.update(rate, now);
		const maximum = (rate * BURST_MS) / SECOND_MS;
		// An account may have used more than its rate before it was throttled. The debt is limited to one request or one
		// full burst, so that such usage does not delay the account for longer.
		this.amount = Math.max(this.amount - cost, -Math.max(cost, maximum));
	}

	/**
	 * @param cost cost of a request that was admitted and then refused
	 * @param rate cost units per second; infinite when the account is not throttled
	 * @param now monotonic milliseconds
	 */
	public refund(cost: number, rate: number, now: number): void {
		this.amount += cost;
		this.update(rate, now);
	}

	private update(rate: number, now: number): void {
		const elapsedMs = Math.max(0, now - this.updatedAt);
		this.updatedAt = Math.max(this.updatedAt, now);
		const largest = (rate * BURST_MS) / SECOND_MS;
		this.amount = rate === Infinity ? Infinity : Math.min(largest, this.amount + (rate * elapsedMs) / SECOND_MS);
	}
}
