/** Parts into which a window is divided; the sum is exact to one part. */
const BUCKETS = 16;

/** Sum of what was added within the last part of time. */
export class SlidingSum {
	private readonly buckets = new Float64Array(BUCKETS);
	private position = 0;
	private total = 0;

	private constructor(private readonly bucketMs: number) {}

	/**
	 * @param windowMs length of the window
	 * @returns a sum of nothing
	 */
	public static create(windowMs: number): SlidingSum {
		return new SlidingSum(windowMs / BUCKETS);
	}

	/**
	 * @param amount to add
	 * @param now monotonic milliseconds
	 */
	public add(amount: number, now: number): void {
		this.advance(now);
		const index = this.position % BUCKETS;
		this.buckets[index] = (this.buckets[index] ?? 0) + amount;
		this.total += amount;
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns what was added within the window
	 */
	public sum(now: number): number {
		this.advance(now);
		return Math.max(0, this.total);
	}

	private advance(now: number): void {
		const target = Math.floor(now / this.bucketMs);
		if (target - this.position >= BUCKETS) {
			this.buckets.fill(0);
			this.total = 0;
			this.position = target;
			return;
		}
		while (this.position < target) {
			this.position++;
			const index = this.position % BUCKETS;
			this.total -= this.buckets[index] ?? 0;
			this.buckets[index] = 0;
		}
	}
}
