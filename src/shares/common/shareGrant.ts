import type { Verdict } from '../../base/common/verdict.js';

/**
 * Credit of an account's share that one request has taken at the router where it arrived. It is settled once, when the
 * request has ended there, wherever it ran.
 */
export class ShareGrant {
	private isSettled = false;

	private constructor(private readonly refund: (now: number) => void) {}

	/**
	 * @param refund returns the credit at a given time in monotonic milliseconds
	 * @returns a grant that is not settled
	 */
	public static create(refund: (now: number) => void): ShareGrant {
		return new ShareGrant(refund);
	}

	/**
	 * Returns the credit if the request did not run. Only the first call has an effect.
	 *
	 * @param verdict whether the request may have run, at any router
	 * @param now monotonic milliseconds
	 */
	public settle(verdict: Verdict, now: number): void {
		if (this.isSettled) {
			return;
		}
		this.isSettled = true;
		if (verdict === 'not-run') {
			this.refund(now);
		}
	}
}
