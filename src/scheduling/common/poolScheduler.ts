import type { AccountDemand, PoolReport, PoolUpdate } from '../../peers/common/generated/masticloom/peers/v1/peers.js';
import type { SchedulerDump } from './schedulingDump.js';

/** Smallest slack that the reporting quantum is derived from, in mean request costs. */
const MINIMUM_QUANTUM_SLACK = 0.5;

/** The reporting quantum is this fraction of the slack. */
const QUANTUM_FRACTION = 0.125;

/** What the scheduler needs to know of the configuration of a pool. */
export interface PoolLimits {
	/** In mean request costs. */
	readonly slack: number;
	/** Slot limit by short key of the backend server; 0 when it takes no work. */
	readonly slotLimits: ReadonlyMap<number, number>;
	/**
	 * @param account short key of the account
	 * @returns its share, or undefined when the account is not known
	 */
	readonly shareOf: (account: number) => number | undefined;
}

interface AccountLedger {
	readonly key: number;
	virtualService: number;
	/** Expected normalised cost of granted requests that no report has acknowledged. */
	granted: number;
	/** Expected cost of the next request, in cost units. */
	expected: number;
	queued: number;
	/** Entries with queued requests of the account. */
	readonly demand: Map<string, EntryDemand>;
}

interface EntryDemand {
	queued: number;
	/** Grants that no report has acknowledged. */
	granted: number;
	charged: number;
	sentBase: number | undefined;
}

interface PendingGrant {
	readonly sequence: number;
	readonly account: AccountLedger;
	readonly backend: number;
	readonly expected: number;
}

interface EntryRecord {
	readonly instance: string;
	incarnation: string;
	sequence: number;
	readonly held: Map<number, number>;
	readonly demand: Map<number, EntryDemand>;
	grants: PendingGrant[];
	readonly recalls: Map<number, number>;
	nextGrants: Map<number, number>;
	nextRecalls: Map<number, number>;
	sentFloor: number;
	sentReuseLimit: number;
	sentContended: boolean;
	reportRequested: boolean;
	/** A complete report was received; before that, changes have nothing to refer to. */
	synchronised: boolean;
	dirty: boolean;
}

/** Leases out the slots of one pool. Its state is soft: it is rebuilt from the entries' reports. */
export class PoolScheduler {
	private readonly entries = new Map<string, EntryRecord>();
	private readonly accounts = new Map<number, AccountLedger>();
	private readonly backlogged = new Set<AccountLedger>();
	private readonly leased = new Map<number, number>();
	private virtualTime = 0;
	private contended = false;
	private rebuilding = true;

	private constructor(
		private readonly pool: number,
		public readonly term: number,
		private limits: PoolLimits,
	) {}

	/**
	 * @param pool short key of the pool
	 * @param term number that is higher than that of every earlier scheduler of the pool
	 * @param limits slack, slot limits and shares
	 * @returns a scheduler that grants nothing until {@link finishRebuild}
	 */
	public static create(pool: number, term: number, limits: PoolLimits): PoolScheduler {
		return new PoolScheduler(pool, term, limits);
	}

	/** Whether complete reports are still being collected. */
	public get isRebuilding(): boolean {
		return this.rebuilding;
	}

	/** @returns the entries that have sent a complete report */
	public reportedEntries(): ReadonlySet<string> {
		return new Set([...this.entries.values()].filter((entry) => entry.synchronised).map((entry) => entry.instance));
	}

	/** @param limits new slack, slot limits and shares */
	public setLimits(limits: PoolLimits): void {
		this.limits = limits;
		this.recallExcess();
		this.allocate();
	}

	/** Starts to grant slots. */
	public finishRebuild(): void {
		this.rebuilding = false;
		this.allocate();
	}

	/**
	 * Applies a report of an entry.
	 *
	 * @param instance name of the entry
	 * @param incarnation process of the entry
	 * @param report its report
	 */
	public applyReport(instance: string, incarnation: string, report: PoolReport): void {
		const entry = this.entryOf(instance, incarnation);
		if (!report.complete && !entry.synchronised) {
			entry.reportRequested = true;
			entry.dirty = true;
			return;
		}
		if (report.complete) {
			entry.synchronised = true;
			this.clearEntry(entry, report);
		}
		// Sequence numbers start anew with each term.
		this.acknowledge(entry, report.term === this.term ? report.acknowledged : 0);
		for (const { backend, held } of report.slots) {
			this.setHeld(entry, backend, held);
		}
		for (const demand of report.accounts) {
			this.applyDemand(entry, demand, report.complete);
		}
		this.allocate();
	}

	/**
	 * Frees the slots of an entry that is lost.
	 *
	 * @param instance name of the entry
	 */
	public removeEntry(instance: string): void {
		const entry = this.entries.get(instance);
		if (entry === undefined) {
			return;
		}
		this.acknowledge(entry, Infinity);
		for (const [backend] of entry.held) {
			this.setHeld(entry, backend, 0);
		}
		for (const [account] of entry.demand) {
			this.setQueued(entry, account, 0);
			this.accounts.get(account)?.demand.delete(instance);
		}
		this.entries.delete(instance);
		this.allocate();
	}

	/**
	 * Stops granting to an entry whose stream ended; its slots stay leased until {@link removeEntry}.
	 *
	 * @param instance name of the entry
	 */
	public suspendEntry(instance: string): void {
		const entry = this.entries.get(instance);
		if (entry === undefined) {
			return;
		}
		entry.synchronised = false;
		for (const key of entry.demand.keys()) {
			this.setQueued(entry, key, 0);
		}
	}

	/**
	 * Asks an entry for a complete report.
	 *
	 * @param instance name of the entry
	 * @param incarnation process of the entry
	 */
	public requestReport(instance: string, incarnation: string): void {
		const entry = this.entryOf(instance, incarnation);
		entry.reportRequested = true;
		entry.dirty = true;
	}

	/** Ends the contended state when no demand is left; called on a timer so that it does not flap. */
	public relax(): void {
		if (this.contended && !this.hasUnmetDemand()) {
			this.contended = false;
			this.markAll();
		}
	}

	/** @returns entries for which {@link takeUpdate} has something to send */
	public entriesToUpdate(): readonly string[] {
		const floor = this.floor();
		const quantum = this.quantum();
		const result: string[] = [];
		for (const entry of this.entries.values()) {
			if (entry.dirty || this.hasDrifted(entry, floor, quantum)) {
				result.push(entry.instance);
			}
		}
		return result;
	}

	/**
	 * @param instance name of an entry
	 * @returns the message for the entry
	 */
	public takeUpdate(instance: string): PoolUpdate | undefined {
		const entry = this.entries.get(instance);
		if (entry === undefined) {
			return undefined;
		}
		const floor = this.floor();
		const quantum = this.quantum();
		const bases = this.takeBases(entry, quantum);
		entry.sequence++;
		entry.sentFloor = floor;
		entry.sentReuseLimit = floor + this.slack();
		entry.sentContended = this.contended;
		entry.dirty = false;
		const update: PoolUpdate = {
			pool: this.pool,
			term: this.term,
			sequence: entry.sequence,
			grants: toCounts(entry.nextGrants),
			recalls: toCounts(entry.nextRecalls),
			bases,
			floor,
			reuseLimit: entry.sentReuseLimit,
			quantum,
			contended: this.contended,
			reportRequested: entry.reportRequested,
		};
		entry.nextGrants = new Map();
		entry.nextRecalls = new Map();
		entry.reportRequested = false;
		return update;
	}

	/** @returns figures for the state dump */
	public dump(): SchedulerDump {
		return {
			term: this.term,
			rebuilding: this.rebuilding,
			contended: this.contended,
			floor: this.floor(),
			slack: this.slack(),
			slotLimits: Object.fromEntries(this.limits.slotLimits),
			leased: Object.fromEntries(this.leased),
			entries: [...this.entries.values()].map((entry) => ({
				instance: entry.instance,
				incarnation: entry.incarnation,
				held: Object.fromEntries(entry.held),
				unacknowledgedGrants: entry.grants.length,
			})),
			accounts: [...this.accounts.values()].map((account) => ({
				key: account.key,
				virtualService: account.virtualService,
				granted: account.granted,
				queued: account.queued,
			})),
		};
	}

	private allocate(): void {
		if (this.rebuilding) {
			return;
		}
		for (;;) {
			const account = this.lowestUnmet();
			if (account === undefined) {
				return;
			}
			const backend = this.freestBackend();
			if (backend === undefined) {
				this.setContended();
				return;
			}
			this.grant(account, backend);
		}
	}

	private grant(account: AccountLedger, backend: number): void {
		let best: string | undefined;
		let bestUnmet = 0;
		for (const [instance, demand] of account.demand) {
			const unmet = demand.queued - demand.granted;
			if (unmet > bestUnmet) {
				best = instance;
				bestUnmet = unmet;
			}
		}
		const entry = best === undefined ? undefined : this.entries.get(best);
		const demand = entry?.demand.get(account.key);
		if (entry === undefined || demand === undefined) {
			return;
		}
		const expected = account.expected / this.shareOf(account.key);
		demand.granted++;
		account.granted += expected;
		this.leased.set(backend, (this.leased.get(backend) ?? 0) + 1);
		entry.nextGrants.set(backend, (entry.nextGrants.get(backend) ?? 0) + 1);
		entry.grants.push({ sequence: entry.sequence + 1, account, backend, expected });
		entry.dirty = true;
	}

	private lowestUnmet(): AccountLedger | undefined {
		let best: AccountLedger | undefined;
		let bestService = Infinity;
		for (const account of this.backlogged) {
			const service = account.virtualService + account.granted;
			if (service < bestService && hasUnmet(account)) {
				best = account;
				bestService = service;
			}
		}
		return best;
	}

	private hasUnmetDemand(): boolean {
		return this.lowestUnmet() !== undefined;
	}

	private freestBackend(): number | undefined {
		let best: number | undefined;
		let bestRatio = 0;
		for (const [backend, limit] of this.limits.slotLimits) {
			const ratio = limit > 0 ? (limit - (this.leased.get(backend) ?? 0)) / limit : 0;
			if (ratio > bestRatio) {
				best = backend;
				bestRatio = ratio;
			}
		}
		return best;
	}

	private setContended(): void {
		if (!this.contended) {
			this.contended = true;
			this.markAll();
		}
	}

	private markAll(): void {
		for (const entry of this.entries.values()) {
			entry.dirty = true;
		}
	}

	private recallExcess(): void {
		for (const [backend, leased] of this.leased) {
			let excess = leased - (this.limits.slotLimits.get(backend) ?? 0);
			for (const entry of this.entries.values()) {
				excess -= entry.recalls.get(backend) ?? 0;
			}
			for (const entry of this.entries.values()) {
				const available = (entry.held.get(backend) ?? 0) - (entry.recalls.get(backend) ?? 0);
				const count = Math.min(excess, available);
				if (count > 0) {
					entry.recalls.set(backend, (entry.recalls.get(backend) ?? 0) + count);
					entry.nextRecalls.set(backend, (entry.nextRecalls.get(backend) ?? 0) + count);
					entry.dirty = true;
					excess -= count;
				}
			}
		}
	}

	private acknowledge(entry: EntryRecord, sequence: number): void {
		const open: PendingGrant[] = [];
		for (const grant of entry.grants) {
			if (grant.sequence > sequence) {
				open.push(grant);
				continue;
			}
			grant.account.granted -= grant.expected;
			const demand = entry.demand.get(grant.account.key);
			if (demand !== undefined) {
				demand.granted--;
			}
			// A report that acknowledges a grant also carries the held count when it changed, so the grant is moved there.
			this.setHeld(entry, grant.backend, (entry.held.get(grant.backend) ?? 0) + 1, true);
		}
		entry.grants = open;
	}

	private setHeld(entry: EntryRecord, backend: number, held: number, alreadyLeased = false): void {
		const before = entry.held.get(backend) ?? 0;
		if (!alreadyLeased) {
			this.leased.set(backend, (this.leased.get(backend) ?? 0) + held - before);
		}
		const recalled = entry.recalls.get(backend) ?? 0;
		if (held < before && recalled > 0) {
			entry.recalls.set(backend, Math.max(0, recalled - (before - held)));
		}
		if (held === 0) {
			entry.held.delete(backend);
			entry.recalls.delete(backend);
			return;
		}
		entry.held.set(backend, held);
	}

	private applyDemand(entry: EntryRecord, report: AccountDemand, complete: boolean): void {
		const account = this.accountOf(report.account);
		const share = this.shareOf(report.account);
		const known = entry.demand.get(report.account);
		const demand = known ?? { queued: 0, granted: 0, charged: report.charged, sentBase: undefined };
		if (known === undefined) {
			entry.demand.set(report.account, demand);
			account.demand.set(entry.instance, demand);
			if (complete) {
				account.virtualService = Math.max(account.virtualService, report.virtualService);
			} else {
				account.virtualService += report.charged / share;
			}
		} else {
			account.virtualService += (report.charged - demand.charged) / share;
		}
		demand.charged = report.charged;
		account.expected = report.expected;
		this.setQueued(entry, report.account, report.queued);
	}

	private setQueued(entry: EntryRecord, key: number, queued: number): void {
		const account = this.accountOf(key);
		const demand = entry.demand.get(key);
		if (demand === undefined) {
			return;
		}
		account.queued += queued - demand.queued;
		demand.queued = queued;
		if (account.queued === 0) {
			this.virtualTime = Math.max(this.virtualTime, this.floor());
			this.backlogged.delete(account);
			return;
		}
		if (!this.backlogged.has(account)) {
			// Idle time earns no credit: a newly backlogged account starts at the floor.
			account.virtualService = Math.max(account.virtualService, this.floor());
			this.backlogged.add(account);
		}
	}

	private floor(): number {
		let floor = Infinity;
		for (const account of this.backlogged) {
			floor = Math.min(floor, account.virtualService);
		}
		return Number.isFinite(floor) ? floor : this.virtualTime;
	}

	/** Mean normalised cost of the backlogged accounts' requests. */
	private meanCost(): number {
		let sum = 0;
		for (const account of this.backlogged) {
			sum += account.expected / this.shareOf(account.key);
		}
		return this.backlogged.size > 0 ? sum / this.backlogged.size : 0;
	}

	private slack(): number {
		return this.limits.slack * this.meanCost();
	}

	private quantum(): number {
		return Math.max(this.limits.slack, MINIMUM_QUANTUM_SLACK) * this.meanCost() * QUANTUM_FRACTION;
	}

	private hasDrifted(entry: EntryRecord, floor: number, quantum: number): boolean {
		if (Math.abs(floor - entry.sentFloor) > quantum) {
			return true;
		}
		for (const [key, demand] of entry.demand) {
			if (demand.queued > 0 && this.baseDrift(key, demand) > quantum) {
				return true;
			}
		}
		return false;
	}

	private baseDrift(key: number, demand: EntryDemand): number {
		return demand.sentBase === undefined ? Infinity : Math.abs(this.baseOf(key, demand) - demand.sentBase);
	}

	private baseOf(key: number, demand: EntryDemand): number {
		return this.accountOf(key).virtualService - demand.charged / this.shareOf(key);
	}

	private takeBases(entry: EntryRecord, quantum: number): PoolUpdate['bases'] {
		const bases: PoolUpdate['bases'] = [];
		for (const [key, demand] of entry.demand) {
			if (this.baseDrift(key, demand) > quantum) {
				demand.sentBase = this.baseOf(key, demand);
				bases.push({ account: key, base: demand.sentBase });
			}
		}
		return bases;
	}

	private shareOf(key: number): number {
		return this.limits.shareOf(key) ?? 1;
	}

	private accountOf(key: number): AccountLedger {
		let account = this.accounts.get(key);
		if (account === undefined) {
			account = { key, virtualService: 0, granted: 0, expected: 0, queued: 0, demand: new Map() };
			this.accounts.set(key, account);
		}
		return account;
	}

	private addEntry(instance: string, incarnation: string): EntryRecord {
		const entry: EntryRecord = {
			instance,
			incarnation,
			sequence: 0,
			held: new Map(),
			demand: new Map(),
			grants: [],
			recalls: new Map(),
			nextGrants: new Map(),
			nextRecalls: new Map(),
			sentFloor: 0,
			sentReuseLimit: 0,
			sentContended: false,
			reportRequested: false,
			synchronised: false,
			dirty: true,
		};
		this.entries.set(instance, entry);
		return entry;
	}

	private entryOf(instance: string, incarnation: string): EntryRecord {
		const entry = this.entries.get(instance);
		if (entry?.incarnation === incarnation) {
			return entry;
		}
		this.removeEntry(instance);
		return this.addEntry(instance, incarnation);
	}

	/** A complete report lists everything, so what it leaves out is zero. */
	private clearEntry(entry: EntryRecord, report: PoolReport): void {
		const listed = new Set(report.slots.map((slot) => slot.backend));
		for (const backend of [...entry.held.keys()]) {
			if (!listed.has(backend)) {
				this.setHeld(entry, backend, 0);
			}
		}
		const accounts = new Set(report.accounts.map((demand) => demand.account));
		for (const key of entry.demand.keys()) {
			if (!accounts.has(key)) {
				this.setQueued(entry, key, 0);
			}
		}
	}
}

function hasUnmet(account: AccountLedger): boolean {
	for (const demand of account.demand.values()) {
		if (demand.queued > demand.granted) {
			return true;
		}
	}
	return false;
}

function toCounts(counts: ReadonlyMap<number, number>): { backend: number; count: number }[] {
	return [...counts].map(([backend, count]) => ({ backend, count }));
}
