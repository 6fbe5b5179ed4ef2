import type { PoolReport } from '../../peers/common/generated/masticloom/peers/v1/peers.js';

/** Figures of one account at one entry. */
export interface AccountDemand {
	/** Short key of the account. */
	readonly account: number;
	readonly queued: number;
	readonly running: boolean;
	/** Charged service of the entry's incarnation, in whole cost units. */
	readonly charged: number;
	/** Expected cost of the next request, in cost units; absent when it has hardly changed since it was last sent. */
	readonly expected: number | undefined;
	/** Virtual service above the floor as of the last update; 0 when it is not known. Only meant in complete reports. */
	readonly excess: number;
	/** Normalised service charged since the last update; only meant in complete reports. */
	readonly growth: number;
}

/** The part of a report that lists accounts. */
export type ReportedAccounts = Pick<
	PoolReport,
	'newAccounts' | 'accounts' | 'demands' | 'charged' | 'excesses' | 'growths' | 'expectedCosts'
>;

/** Numbers that stand for accounts on one stream, from one complete report to the next. */
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
	 * @returns its number, or undefined when it has none
	 */
	public numberOf(account: number): number | undefined {
		return this.numbers.get(account);
	}

	/**
	 * @param number number of an account
	 * @returns short key of the account, or undefined when the number was not given
	 */
	public keyOf(number: number): number | undefined {
		return this.keys[number];
	}

	/**
	 * Writes the accounts of a report and gives numbers to those that have none.
	 *
	 * @param demands figures of the accounts
	 * @param complete whether the report is a complete one
	 * @returns the part of the report
	 */
	public pack(demands: readonly AccountDemand[], complete: boolean): ReportedAccounts {
		const unnumbered = demands.map(({ account }) => account).filter((account) => !this.numbers.has(account));
		this.add(unnumbered);
		// Numbers never change on this side, since updates that use them may be on their way.
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
	 * Reads the accounts of a report.
	 *
	 * @param report the report
	 * @returns figures of the accounts; accounts with numbers that were never given are left out
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
