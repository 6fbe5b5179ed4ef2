import type { PoolReport } from '../../peers/common/generated/masticloom/peers/v1/peers.js';

/** Demand and service of one account at one entry. */
export interface AccountDemand {
	/** Short key of the account. */
	readonly account: number;
	/** Number of queued requests. */
	readonly queued: number;
	/** Whether requests of the account are running. */
	readonly running: boolean;
	/** Service charged by this incarnation of the entry, in whole cost units. */
	readonly charged: number;
	/** Expected cost of the next request, in cost units; undefined when it has hardly changed since it was last sent. */
	readonly expected: number | undefined;
	/** Virtual service above the floor as of the last update; 0 when unknown. Only valid in complete reports. */
	readonly excess: number;
	/** Normalised service charged since the last update. Only valid in complete reports. */
	readonly growth: number;
}

/** The part of a report that lists accounts. */
export type ReportedAccounts = Pick<
	PoolReport,
	'newAccounts' | 'accounts' | 'demands' | 'charged' | 'excesses' | 'growths' | 'expectedCosts'
>;

/** Small numbers that replace the account keys on one stream, valid from one complete report to the next. */
export class AccountNumbers {
	private readonly numbers = new Map<number, number>();
	private keys: number[] = [];

	private constructor() {}

	/** @returns an empty table */
	public static create(): AccountNumbers {
		return new AccountNumbers();
	}

	/**
	 * @param account short key of an account
	 * @returns its number, or undefined when none was assigned
	 */
	public numberOf(account: number): number | undefined {
		return this.numbers.get(account);
	}

	/**
	 * @param number number of an account
	 * @returns short key of the account, or undefined when the number was not assigned
	 */
	public keyOf(number: number): number | undefined {
		return this.keys[number];
	}

	/**
	 * Encodes the accounts of a report and assigns numbers to those that have none.
	 *
	 * @param demands demand and service of the accounts
	 * @param complete whether the report is a complete one
	 * @returns the account fields of the report
	 */
	public pack(demands: readonly AccountDemand[], complete: boolean): ReportedAccounts {
		const unnumbered = demands.map(({ account }) => account).filter((account) => !this.numbers.has(account));
		this.add(unnumbered);
		// The sender never reassigns numbers, since updates that use them may be in transit.
		const newAccounts = complete ? [...this.keys] : unnumbered;
		const numberOf = ({ account }: AccountDemand): number => this.numbers.get(account) ?? 0;
		return {
			newAccounts,
			accounts: demands.map(numberOf),
			demands: demands.map(({ queued, running }) => 2 * queued + Number(running)),
			charged: demands.map(({ charged }) => charged),
			excesses: complete ? demands.map(({ excess }) => excess) : [],
			growths: complete ? demands.map(({ growth }) => growth) : [],
			expectedCosts: demands.flatMap((demand) =>
				demand.expected === undefined ? [] : [{ account: numberOf(demand), cost: demand.expected }],
			),
		};
	}

	/**
	 * Decodes the accounts of a report.
	 *
	 * @param report the report
	 * @returns demand and service of the accounts; accounts with unknown numbers are left out
	 */
	public unpack(report: PoolReport): readonly AccountDemand[] {
		if (report.complete) {
			this.numbers.clear();
			this.keys = [];
		}
		this.add(report.newAccounts);
		const expected = new Map(report.expectedCosts.map(({ account, cost }) => [account, cost]));
		return report.accounts.flatMap((number, index): readonly AccountDemand[] => {
			const account = this.keys[number];
			if (account === undefined) {
				return [];
			}
			const demand = report.demands[index] ?? 0;
			return [
				{
					account,
					queued: Math.floor(demand / 2),
					running: demand % 2 === 1,
					charged: report.charged[index] ?? 0,
					expected: expected.get(number),
					excess: report.excesses[index] ?? 0,
					growth: report.growths[index] ?? 0,
				},
			];
		});
	}

	private add(accounts: readonly number[]): void {
		for (const account of accounts) {
			this.numbers.set(account, this.keys.length);
			this.keys.push(account);
		}
	}
}
