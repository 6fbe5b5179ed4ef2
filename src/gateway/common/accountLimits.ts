import { fairLevel } from '../../shares/common/fairLevel.js';
import { SlidingSum } from '../../shares/common/slidingSum.js';

/** Window over which the demand of accounts is measured, in milliseconds. */
const DEMAND_WINDOW_MS = 1_000;

/** Interval at which the limit is divided anew, in milliseconds. */
const DIVISION_INTERVAL_MS = 100;

/** Size of a permitted burst, as the time in which the limit of an account admits as much work. */
const BURST_MS = 100;

const MILLISECONDS_PER_SECOND = 1_000;

interface AccountDemand {
	readonly demand: SlidingSum;
	credit: number;
	creditUpdatedAt: number;
}

/**
 * Divides a limit of work per second among the accounts that send it, by max-min fairness: an account that sends less than an equal
 * part is admitted whatever the others send.
 *
 * Load pattern: one account sends many times what a router can process, and others a few requests through the same router.
 */
export class AccountLimits {
	private readonly accounts = new Map<string, AccountDemand>();
	private level = Infinity;
	private dividedAt = -Infinity;

	private constructor() {}

	/** @returns limits of a router without requests */
	public static create(): AccountLimits {
		return new AccountLimits();
	}

	/**
	 * Counts the work of a request, and deducts it from what its account may use.
	 *
	 * @param account name of the account
	 * @param work of the request
	 * @param limit work per second of all accounts together
	 * @param now monotonic milliseconds
	 * @returns whether the request is within the limit of its account
	 */
	public tryTake(account: string, work: number, limit: number, now: number): boolean {
		const own = this.demandOf(account, now);
		own.demand.add(work, now);
		this.divide(limit, now);
		const perSecond = Math.min(this.level, limit);
		const burst = Math.max(1, (perSecond * BURST_MS) / MILLISECONDS_PER_SECOND);
		const earned = (Math.max(0, now - own.creditUpdatedAt) * perSecond) / MILLISECONDS_PER_SECOND;
		own.credit = Math.min(burst, own.credit + earned);
		own.creditUpdatedAt = Math.max(own.creditUpdatedAt, now);
		if (own.credit < work) {
			return false;
		}
		own.credit -= work;
		return true;
	}

	private divide(limit: number, now: number): void {
		if (now - this.dividedAt < DIVISION_INTERVAL_MS) {
			return;
		}
		this.dividedAt = now;
		const demands: number[] = [];
		for (const [account, { demand }] of this.accounts) {
			const perSecond = (demand.sum(now) * MILLISECONDS_PER_SECOND) / DEMAND_WINDOW_MS;
			if (perSecond === 0) {
				this.accounts.delete(account);
			} else {
				demands.push(perSecond);
			}
		}
		this.level = fairLevel(demands, limit);
	}

	private demandOf(account: string, now: number): AccountDemand {
		let demand = this.accounts.get(account);
		if (demand === undefined) {
			demand = { demand: SlidingSum.create(DEMAND_WINDOW_MS), credit: 1, creditUpdatedAt: now };
			this.accounts.set(account, demand);
		}
		return demand;
	}
}
