/** Work that an account may begin at once, as the time in which its rate earns it. */
const BURST_MS = 1000;

const SECOND_MS = 1_000;

/**
 * What one router may still admit of an account. It grows at the account's rate, and may be overdrawn by one request, so
 * that large requests are served at the same rate as small ones.
 */
export class ShareCredit {
	private amount = Infinity;
	private updatedAt = 0;

	private constructor() {}

	/** @returns the whole credit of an account that was not bounded yet */
	public static create(): ShareCredit {
		return new ShareCredit();
	}

	/**
	 * @param rate cost units a second; infinite when the account is not bounded
	 * @param now monotonic milliseconds
	 * @returns milliseconds until a request may be admitted; 0 when it may be now
	 */
	public throttledMs(rate: number, now: number): number {
		this.update(rate, now);
		return this.amount > 0 ? 0 : Math.max(1, (-this.amount / rate) * SECOND_MS);
	}

	/**
	 * @param cost of a request that is admitted
	 * @param rate cost units a second; infinite when the account is not bounded
	 * @param now monotonic milliseconds
	 */
	public spend(cost: number, rate: number, now: number): void {
		this.update(rate, now);
		const most = (rate * BURST_MS) / SECOND_MS;
		// An account that was not bounded may have used more than its rate, which is not held against it for longer.
		this.amount = Math.max(this.amount - cost, -Math.max(cost, most));
	}

	/**
	 * @param cost of a request that was admitted and then refused
	 * @param rate cost units a second; infinite when the account is not bounded
	 * @param now monotonic milliseconds
	 */
	public refund(cost: number, rate: number, now: number): void {
		this.amount += cost;
		this.update(rate, now);
	}

	private update(rate: number, now: number): void {
		const elapsedMs = now - this.updatedAt;
		this.updatedAt = now;
		const most = (rate * BURST_MS) / SECOND_MS;
		this.amount = rate === Infinity ? Infinity : Math.min(most, this.amount + (rate * elapsedMs) / SECOND_MS);
	}
}
