import type { PoolReport, PoolUpdate } from '../../peers/common/generated/masticloom/peers/v1/peers.js';
import type { AccountDemand } from './accountNumbers.js';
import { acknowledge, createEntryRecord, type EntryRecord, cancelGrants } from './entryRecord.js';
import { type EntryDemand, largestUnmetDemand, ServiceLedger } from './serviceLedger.js';
import { findEntryToRecallFrom } from './rebalance.js';
import { SlotLeases } from './slotLeases.js';
import { hasDrifted, type PoolParameters, writeUpdate } from './updateWriter.js';
import type { SchedulerDump } from './schedulingDump.js';

/** Minimum slack from which the reporting quantum is derived, in mean request costs. */
const MINIMUM_QUANTUM_SLACK = 0.5;

/** The reporting quantum, which is the service that an entry may leave unreported, is this fraction of the slack. */
const QUANTUM_FRACTION = 0.25;

/** Configuration of a pool that its scheduler needs. */
export interface PoolLimits {
	/** How far above the floor an account may be when an entry starts its requests, in mean request costs. */
	readonly slack: number;
	/** Slot limit by short key of the backend server; 0 when it accepts no requests. */
	readonly slotLimits: ReadonlyMap<number, number>;
	/**
	 * @param account short key of the account
	 * @returns its share, or undefined when the account is unknown
	 */
	readonly shareOf: (account: number) => number | undefined;
}

/** Metrics of a scheduler, for operators. */
export interface SchedulerMetrics {
	readonly term: number;
	readonly rebuilding: boolean;
	readonly contended: boolean;
	/** Lowest virtual service of any backlogged account, in normalised cost. */
	readonly floor: number;
	/** Largest difference of virtual service between two backlogged accounts, in normalised cost. */
	readonly gap: number;
	readonly backloggedAccounts: number;
	readonly queuedRequests: number;
	readonly leasedSlots: number;
	readonly freeSlots: number;
}

/** Leases the slots of one pool to entries. Its state is not stored, but rebuilt from the entries' reports. */
export class PoolScheduler {
	private readonly entries = new Map<string, EntryRecord>();
	/** Former processes of entries, whose requests may still be ending on the backend servers. */
	private readonly formerEntries = new Map<string, EntryRecord>();
	private readonly ledger: ServiceLedger;
	private readonly leases: SlotLeases;
	private contended = false;
	private rebuilding = true;

	private constructor(
		private readonly pool: number,
		public readonly term: number,
		private limits: PoolLimits,
	) {
		this.ledger = ServiceLedger.create(limits.shareOf);
		this.leases = SlotLeases.create(limits.slotLimits);
	}

	/**
	 * @param pool short key of the pool
	 * @param term term number, higher than that of every earlier scheduler of the pool
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

	/** Whether requests wait and no slot is free. */
	public get isContended(): boolean {
		return this.contended;
	}

	/** @returns the entries that have sent a complete report */
	public reportedEntries(): ReadonlySet<string> {
		return new Set([...this.entries.values()].filter((entry) => entry.synchronised).map((entry) => entry.instance));
	}

	/** @param limits new slack, slot limits and shares */
	public setLimits(limits: PoolLimits): void {
		this.limits = limits;
		this.ledger.setShares(limits.shareOf);
		this.leases.setLimits(limits.slotLimits);
		this.allocate();
	}

	/** Ends the collection of complete reports and starts to grant slots. */
	public finishRebuild(): void {
		this.rebuilding = false;
		this.ledger.finishRebuild();
		this.allocate();
	}

	/**
	 * Applies a report of an entry.
	 *
	 * @param instance name of the entry
	 * @param incarnation identifier of the entry's process
	 * @param report its report
	 */
	public applyReport(instance: string, incarnation: string, report: PoolReport): void {
		const entry = this.getOrCreateEntry(instance, incarnation);
		if (!report.complete && !entry.synchronised) {
			entry.reportRequested = true;
			entry.dirty = true;
			return;
		}
		const accounts = entry.numbers.unpack(report);
		// Sequence numbers restart with each term.
		acknowledge(entry, report.term === this.term ? report.acknowledged : 0, this.ledger, this.leases);
		if (report.complete) {
			this.resetEntry(entry, report, accounts);
		}
		for (const { backend, held } of report.slots) {
			this.leases.setHeld(entry, backend, held);
		}
		for (const demand of accounts) {
			const known = entry.demand.get(demand.account);
			entry.demand.set(demand.account, this.ledger.apply(instance, known, demand, report.complete));
		}
		this.allocate();
	}

	/**
	 * Frees the slots of an entry that is lost.
	 *
	 * @param instance name of the entry
	 * @param incarnation identifier of the entry's process
	 */
	public removeEntry(instance: string, incarnation: string): void {
		const current = this.entries.get(instance);
		const entry = current?.incarnation === incarnation ? current : this.formerEntries.get(incarnation);
		if (entry === undefined) {
			return;
		}
		acknowledge(entry, Infinity, this.ledger, this.leases);
		for (const backend of [...entry.held.keys()]) {
			this.leases.setHeld(entry, backend, 0);
		}
		this.removeDemand(entry);
		this.formerEntries.delete(incarnation);
		if (entry === current) {
			this.entries.delete(instance);
		}
		this.allocate();
	}

	/**
	 * Stops granting to an entry whose stream ended or was replaced. Its slots stay leased until it sends a complete
	 * report or {@link removeEntry} is called.
	 *
	 * @param instance name of the entry
	 */
	public suspendEntry(instance: string): void {
		const entry = this.entries.get(instance);
		if (entry === undefined) {
			return;
		}
		entry.synchronised = false;
		entry.lostSequence = entry.sequence;
		entry.dirty = false;
		cancelGrants(entry, (grant) => grant.sequence > entry.sequence, this.ledger, this.leases);
		entry.nextGrants = new Map();
		for (const demand of entry.demand.values()) {
			this.ledger.setQueued(demand, 0);
		}
	}

	/**
	 * Requests a complete report from an entry.
	 *
	 * @param instance name of the entry
	 * @param incarnation identifier of the entry's process
	 */
	public requestReport(instance: string, incarnation: string): void {
		const entry = this.getOrCreateEntry(instance, incarnation);
		entry.reportRequested = true;
		entry.dirty = true;
	}

	/** Recalls one slot if an account's queues are uneven; called on a timer, which limits the number of messages. */
	public rebalance(): void {
		if (!this.contended || this.rebuilding) {
			return;
		}
		const canRecallFrom = (entry: EntryRecord | undefined): boolean =>
			entry !== undefined && entry.synchronised && entry.held.size > 0 && entry.recalls.size === 0;
		const recallFrom = findEntryToRecallFrom(this.ledger.backloggedAccounts, (instance) =>
			canRecallFrom(this.entries.get(instance)),
		);
		const entry = recallFrom === undefined ? undefined : this.entries.get(recallFrom);
		if (entry !== undefined) {
			this.leases.recallOne(entry);
			entry.dirty = true;
		}
	}

	/** Ends the contended state when no unmet demand is left; called on a timer so that the state does not flap. */
	public clearContention(): void {
		if (this.contended && this.ledger.lowestUnmetAccount() === undefined) {
			this.contended = false;
			this.markAllDirty();
		}
	}

	/**
	 * @param withDrift whether to include entries whose view has drifted; the check takes time proportional to all demand
	 * @returns entries for which {@link takeUpdate} has something to send
	 */
	public entriesToUpdate(withDrift = true): readonly string[] {
		const parameters = this.poolParameters();
		const result: string[] = [];
		for (const entry of this.entries.values()) {
			if (entry.dirty || (withDrift && entry.synchronised && hasDrifted(entry, this.ledger, parameters))) {
				result.push(entry.instance);
			}
		}
		return result;
	}

	/**
	 * Builds the next update of an entry and marks its content as sent.
	 *
	 * @param instance name of an entry
	 * @returns the message for the entry, or undefined when there is no such entry
	 */
	public takeUpdate(instance: string): PoolUpdate | undefined {
		const entry = this.entries.get(instance);
		if (entry === undefined) {
			return undefined;
		}
		return writeUpdate(entry, this.ledger, this.poolParameters());
	}

	/** @returns metrics for operators */
	public metrics(): SchedulerMetrics {
		const backlogged = [...this.ledger.backloggedAccounts];
		const highest = backlogged.reduce((most, account) => Math.max(most, account.virtualService), -Infinity);
		return {
			term: this.term,
			rebuilding: this.rebuilding,
			contended: this.contended,
			floor: this.ledger.floor,
			gap: backlogged.length > 0 ? highest - this.ledger.floor : 0,
			backloggedAccounts: backlogged.length,
			queuedRequests: backlogged.reduce((sum, account) => sum + account.queued, 0),
			leasedSlots: this.leases.leasedTotal,
			freeSlots: this.leases.freeTotal,
		};
	}

	/**
	 * @param instance name of an entry
	 * @returns slots that the scheduler counts as held by the entry, by backend server
	 */
	public heldBy(instance: string): ReadonlyMap<number, number> {
		return this.entries.get(instance)?.held ?? new Map();
	}

	/** @returns state of the scheduler for the state dump */
	public dump(): SchedulerDump {
		return {
			...this.metrics(),
			slack: this.slack(),
			quantum: this.quantum(),
			slotLimits: Object.fromEntries(this.limits.slotLimits),
			leased: Object.fromEntries(this.leases.leasedSlots),
			entries: [...this.entries.values(), ...this.formerEntries.values()].map((entry) => ({
				instance: entry.instance,
				incarnation: entry.incarnation,
				synchronised: entry.synchronised,
				held: Object.fromEntries(entry.held),
				unacknowledgedGrants: entry.grants.length,
			})),
			accounts: [...this.ledger.allAccounts()].map((account) => ({
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
		this.leases.recallExcess(this.entries.values(), (entry) => (entry.dirty = true));
		for (;;) {
			const account = this.ledger.lowestUnmetAccount();
			const demand = account === undefined ? undefined : largestUnmetDemand(account);
			if (demand === undefined) {
				return;
			}
			const backend = this.leases.freestBackend();
			if (backend === undefined) {
				this.setContended();
				return;
			}
			this.grant(demand, backend);
		}
	}

	private grant(demand: EntryDemand, backend: number): void {
		const entry = this.entries.get(demand.instance);
		if (entry === undefined) {
			throw new Error(`${demand.instance} has demand but is not an entry of the pool`);
		}
		this.leases.lease(backend);
		entry.nextGrants.set(backend, (entry.nextGrants.get(backend) ?? 0) + 1);
		const charge = this.ledger.chargeGrant(demand);
		entry.grants.push({ sequence: entry.sequence + 1, demand, backend, charge });
		entry.dirty = true;
	}

	private setContended(): void {
		if (!this.contended) {
			this.contended = true;
			this.markAllDirty();
		}
	}

	private markAllDirty(): void {
		for (const entry of this.entries.values()) {
			entry.dirty ||= entry.synchronised;
		}
	}

	private removeDemand(entry: EntryRecord): void {
		for (const demand of entry.demand.values()) {
			this.ledger.removeDemand(demand);
		}
		entry.demand.clear();
	}

	private poolParameters(): PoolParameters {
		const { pool, term, contended } = this;
		return { pool, term, contended, slack: this.slack(), quantum: this.quantum() };
	}

	private slack(): number {
		return this.limits.slack * this.ledger.meanCost();
	}

	private quantum(): number {
		return Math.max(this.limits.slack, MINIMUM_QUANTUM_SLACK) * this.ledger.meanCost() * QUANTUM_FRACTION;
	}

	private getOrCreateEntry(instance: string, incarnation: string): EntryRecord {
		const entry = this.entries.get(instance);
		if (entry?.incarnation === incarnation) {
			return entry;
		}
		if (entry !== undefined) {
			this.suspendEntry(instance);
			this.removeDemand(entry);
			this.formerEntries.set(entry.incarnation, entry);
		}
		const added = createEntryRecord(instance, incarnation);
		this.entries.set(instance, added);
		return added;
	}

	/**
	 * Prepares the record of an entry for a complete report. The report lists all slots and all demand, so counts that it
	 * does not list are zero. The entry may have lost what was sent to it, except its slots, so all of it is sent again.
	 */
	private resetEntry(entry: EntryRecord, report: PoolReport, demands: readonly AccountDemand[]): void {
		entry.synchronised = true;
		entry.dirty = true;
		cancelGrants(entry, (grant) => grant.sequence <= entry.lostSequence, this.ledger, this.leases);
		entry.recalls.clear();
		entry.nextRecalls = new Map();
		entry.sentSlack = undefined;
		entry.sentQuantum = undefined;
		const listed = new Set(report.slots.map((slot) => slot.backend));
		for (const backend of [...entry.held.keys()]) {
			if (!listed.has(backend)) {
				this.leases.setHeld(entry, backend, 0);
			}
		}
		const accounts = new Set(demands.map((demand) => demand.account));
		for (const [key, demand] of entry.demand) {
			demand.sent = undefined;
			if (!accounts.has(key)) {
				demand.running = false;
				this.ledger.setQueued(demand, 0);
			}
		}
	}
}
