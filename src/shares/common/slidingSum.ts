/** Number of buckets of a window; the sum is exact to one bucket. */
const BUCKET_COUNT = 16;

/** Sum of the amounts added within a sliding time window. */
export class SlidingSum {
	private readonly buckets = new Float64Array(BUCKET_COUNT);
	private position = 0;
	private total = 0;

	private constructor(private readonly bucketMs: number) {}

	/**
	 * @param windowMs length of the window, in milliseconds
	 * @returns an empty sum
	 */
	public static create(windowMs: number): SlidingSum {
		return new SlidingSum(windowMs / BUCKET_COUNT);
	}

	/**
	 * @param amount to add
	 * @param now monotonic milliseconds
	 */
	public add(amount: number, now: number): void {
		this.advance(now);
		const index = this.position % BUCKET_COUNT;
		this.buckets[index] = (this.buckets[index] ?? 0) + amount;
		this.total += amount;
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns sum of the amounts added within the window
	 */
	public sum(now: number): number {
		this.advance(now);
		return Math.max(0, this.total);
	}

	private advance(now: number): void {
		const target = Math.floor(now / this.bucketMs);
		if (target - this.position >= BUCKET_COUNT) {
			this.buckets.fill(0);
			this.total = 0;
			this.position = target;
			return;
		}
		while (this.position < target) {
			this.position++;
			const index = this.position % BUCKET_COUNT;
			this.total -= this.buckets[index] ?? 0;
			this.buckets[index] = 0;
		}
	}
}
