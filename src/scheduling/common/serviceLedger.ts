import type { AccountDemand } from './accountNumbers.js';
import { START_CHARGE_FRACTION } from './charge.js';

/** Service and demand of one client account in the pool. */
export interface AccountLedger {
	readonly key: number;
	virtualService: number;
	/** Part of the virtual service that entries charged without a scheduler; used while the state is rebuilt. */
	growth: number;
	/** Normalised start charge of granted requests that no report has acknowledged yet. */
	granted: number;
	/** Expected cost of the next request, in cost units. */
	expected: number;
	/** Number of queued requests at all entries. */
	queued: number;
	/** Demand by name of the entry. */
	readonly demand: Map<string, EntryDemand>;
}

/** Demand of one account at one entry. */
export interface EntryDemand {
	readonly account: AccountLedger;
	readonly instance: string;
	/** Number of queued requests. */
	queued: number;
	/** Whether the entry runs requests of the account; it may then reuse their slots even when no request was queued. */
	running: boolean;
	/** Number of grants that no report has acknowledged yet. */
	granted: number;
	/** Service charged according to the last report, in cost units. */
	charged: number;
	/** Virtual service last sent to the entry; undefined when none was sent. */
	sent: SentView | undefined;
}

/** An account's virtual service as it was sent to an entry. */
export interface SentView {
	/** Virtual service without the part charged by the entry. */
	readonly base: number;
	/** Virtual service above the floor. */
	readonly excess: number;
}

/**
 * Virtual service of every client account, and its demand at each entry. Virtual service is the charged service,
 * normalised (divided by the share of the account). It is raised to the floor when an idle account becomes backlogged.
 * The floor is the lowest virtual service of any backlogged account.
 */
export class ServiceLedger {
	private readonly accounts = new Map<number, AccountLedger>();
	private readonly backlogged = new Set<AccountLedger>();
	private virtualTime = 0;
	private cachedFloor: number | undefined;
	private rebuilding = true;

	private constructor(private lookUpShare: (account: number) => number | undefined) {}

	/**
	 * @param shareOf share by short key of the account
	 * @returns a ledger without accounts
	 */
	public static create(shareOf: (account: number) => number | undefined): ServiceLedger {
		return new ServiceLedger(shareOf);
	}

	/** Accounts with queued requests. */
	public get backloggedAccounts(): ReadonlySet<AccountLedger> {
		return this.backlogged;
	}

	/** Lowest virtual service of any backlogged account; the last such value when none is backlogged. */
	public get floor(): number {
		this.cachedFloor ??= this.computeFloor();
		return this.cachedFloor;
	}

	/** @returns all accounts that any entry has reported */
	public allAccounts(): IterableIterator<AccountLedger> {
		return this.accounts.values();
	}

	/** Ends the collection of complete reports, in which excesses above the former scheduler's floor are merged. */
	public finishRebuild(): void {
		this.rebuilding = false;
	}

	/** @param shareOf share by short key of the account */
	public setShares(shareOf: (account: number) => number | undefined): void {
		this.lookUpShare = shareOf;
	}

	/**
	 * @param key short key of the account
	 * @returns its share; 1 when it is unknown
	 */
	public shareOf(key: number): number {
		return this.lookUpShare(key) ?? 1;
	}

	/** @returns mean expected cost of the backlogged accounts' requests, normalised by share; 0 without such accounts */
	public meanCost(): number {
		let sum = 0;
		for (const account of this.backlogged) {
			sum += account.expected / this.shareOf(account.key);
		}
		return this.backlogged.size > 0 ? sum / this.backlogged.size : 0;
	}

	/**
	 * Applies the service and the demand of an account in a report.
	 *
	 * @param instance name of the entry
	 * @param known earlier demand of the account at the entry; undefined when there was none
	 * @param report demand and service of the account
	 * @param complete whether the report is a complete one
	 * @returns demand of the account at the entry
	 */
	public apply(
		instance: string,
		known: EntryDemand | undefined,
		report: AccountDemand,
		complete: boolean,
	): EntryDemand {
		const account = this.getOrCreateAccount(report.account);
		const demand = known ?? this.addDemand(account, instance, complete ? report : undefined);
		account.virtualService += (report.charged - demand.charged) / this.shareOf(account.key);
		demand.charged = report.charged;
		demand.running = report.running;
		account.expected = report.expected ?? account.expected;
		this.cachedFloor = undefined;
		this.setQueued(demand, report.queued);
		return demand;
	}

	/**
	 * @param demand demand of an account at an entry
	 * @param queued number of requests queued there
	 */
	public setQueued(demand: EntryDemand, queued: number): void {
		const { account } = demand;
		const floor = this.floor;
		account.queued += queued - demand.queued;
		demand.queued = queued;
		if (account.queued === 0) {
			// The virtual time of the pool never decreases, not even while no account is backlogged.
			this.virtualTime = Math.max(this.virtualTime, floor);
			this.backlogged.delete(account);
		} else if (!this.backlogged.has(account)) {
			if (!this.rebuilding) {
				// Idle time earns no credit: a newly backlogged account starts at the floor.
				account.virtualService = Math.max(account.virtualService, floor);
			}
			this.backlogged.add(account);
		}
		this.cachedFloor = undefined;
	}

	/**
	 * Removes the demand of a lost entry; the service that it reported still counts.
	 *
	 * @param demand demand of an account at an entry
	 */
	public removeDemand(demand: EntryDemand): void {
		this.setQueued(demand, 0);
		if (demand.account.demand.get(demand.instance) === demand) {
			demand.account.demand.delete(demand.instance);
		}
	}

	/**
	 * Charges a grant until a report acknowledges it.
	 *
	 * @param demand demand that gets the slot
	 * @returns the normalised start charge
	 */
	public chargeGrant(demand: EntryDemand): number {
		const charge = (START_CHARGE_FRACTION * demand.account.expected) / this.shareOf(demand.account.key);
		demand.granted++;
		demand.account.granted += charge;
		return charge;
	}

	/**
	 * Removes the charge of a grant that was acknowledged or cancelled.
	 *
	 * @param demand demand that got the slot
	 * @param charge result of {@link chargeGrant}
	 */
	public settleGrant(demand: EntryDemand, charge: number): void {
		demand.granted--;
		demand.account.granted -= charge;
	}

	/** @returns the account with the lowest virtual service among those with queued requests that no grant covers */
	public lowestUnmetAccount(): AccountLedger | undefined {
		let best: AccountLedger | undefined;
		let bestService = Infinity;
		for (const account of this.backlogged) {
			const service = account.virtualService + account.granted;
			if (service < bestService && largestUnmetDemand(account) !== undefined) {
				best = account;
				bestService = service;
			}
		}
		return best;
	}

	private addDemand(account: AccountLedger, instance: string, complete: AccountDemand | undefined): EntryDemand {
		const charged = complete?.charged ?? 0;
		const demand: EntryDemand = { account, instance, queued: 0, running: false, granted: 0, charged, sent: undefined };
		account.demand.set(instance, demand);
		if (complete !== undefined) {
			this.mergeExcess(account, complete);
		}
		return demand;
	}

	/**
	 * Merges the virtual service that an entry reports for an account. The entry may have belonged to another scheduler,
	 * whose floor differs. Using the excess above that floor instead of the absolute value bounds how long accounts of
	 * the two sides of a network partition are treated unequally after the sides rejoin. That scheduler sent the same
	 * excess to all entries, so the largest one is used; the service that each entry has charged since then is added up.
	 */
	private mergeExcess(account: AccountLedger, { excess, growth }: AccountDemand): void {
		if (this.rebuilding) {
			account.virtualService = Math.max(account.virtualService - account.growth, excess) + account.growth + growth;
			account.growth += growth;
			return;
		}
		account.virtualService = Math.max(account.virtualService, this.floor + excess + growth);
	}

	private computeFloor(): number {
		let floor = Infinity;
		for (const account of this.backlogged) {
			floor = Math.min(floor, account.virtualService);
		}
		return Number.isFinite(floor) ? floor : this.virtualTime;
	}

	private getOrCreateAccount(key: number): AccountLedger {
		let account = this.accounts.get(key);
		if (account === undefined) {
			account = { key, virtualService: 0, growth: 0, granted: 0, expected: 0, queued: 0, demand: new Map() };
			this.accounts.set(key, account);
		}
		return account;
	}
}

/**
 * @param account a backlogged account
 * @returns its demand at the entry with the most queued requests that no grant covers; undefined when there are none
 */
export function largestUnmetDemand(account: AccountLedger): EntryDemand | undefined {
	let best: EntryDemand | undefined;
	let bestUnmet = 0;
	for (const demand of account.demand.values()) {
		const unmet = demand.queued - demand.granted;
		if (unmet > bestUnmet) {
			best = demand;
			bestUnmet = unmet;
		}
	}
	return best;
}
