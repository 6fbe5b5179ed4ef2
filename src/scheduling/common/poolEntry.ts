import type {
	AccountDemand,
	HeldSlots,
	PoolReport,
	PoolUpdate,
} from '../../peers/common/generated/masticloom/peers/v1/peers.js';
import { type AccountState, FairQueue, virtualService } from './fairQueue.js';
import type { EntryDump } from './schedulingDump.js';

/** How soon the scheduler has to hear of a change. */
export type Urgency = 'now' | 'soon';

/** A request that waits for a slot. */
export interface PendingRequest {
	readonly expectedCost: number;
	/** Called once, when the request gets its slot. */
	start(lease: SlotLease): void;
}

/** A slot in use by one request. */
export interface SlotLease {
	/** Short key of the backend server. */
	readonly backend: number;
	/**
	 * Counts delivered service.
	 *
	 * @param costUnits service since the last call
	 */
	charge(costUnits: number): void;
	/**
	 * Ends the use of the slot. Further calls have no effect.
	 *
	 * @param failed the backend server failed
	 */
	release(failed: boolean): void;
}

interface HeldState {
	held: number;
	idle: number;
	/** Slots to return in place of reusing them. */
	recalled: number;
	failed: boolean;
	reportedHeld: number;
}

/** Idle slots that an entry keeps for arrivals while the pool is not contended, unless told otherwise. */
const DEFAULT_IDLE_LIMIT = 2;

/** The part of a pool at one entry: queues, held slots, and what the scheduler has to know of them. */
export class PoolEntry {
	public readonly queue = FairQueue.create<PendingRequest>();
	private readonly slots = new Map<number, HeldState>();
	private schedulerTerm = 0;
	private applied = 0;
	private floor = 0;
	private reuseLimit = Infinity;
	private contended = false;
	private hasScheduler = false;
	private quantum = 0;
	private completeWanted = true;

	private constructor(
		private readonly pool: number,
		private readonly onDidChange: (urgency: Urgency) => void,
	) {}

	/**
	 * @param pool short key of the pool
	 * @param onDidChange called when there is something to report
	 * @returns an entry without slots
	 */
	public static create(pool: number, onDidChange: (urgency: Urgency) => void): PoolEntry {
		return new PoolEntry(pool, onDidChange);
	}

	/** Highest scheduler term heard of. */
	public get term(): number {
		return this.schedulerTerm;
	}

	/**
	 * Queues a request, or starts it at once on an idle slot.
	 *
	 * @param state account of the request
	 * @param request what to start
	 */
	public submit(state: AccountState<PendingRequest>, request: PendingRequest): void {
		this.queue.enqueue(state, request);
		this.startQueued();
		if (state.queue.length > 0 && state.reportedQueued <= state.startedSinceReport) {
			this.onDidChange('now');
		}
	}

	/**
	 * Gives up a queued request.
	 *
	 * @param state account of the request
	 * @param request the request
	 * @returns whether it was still queued
	 */
	public cancel(state: AccountState<PendingRequest>, request: PendingRequest): boolean {
		const removed = this.queue.remove(state, request);
		if (removed && state.queue.length === 0) {
			this.onDidChange('soon');
		}
		return removed;
	}

	/**
	 * Applies what the scheduler sent.
	 *
	 * @param update message of the scheduler
	 * @returns false when it comes from a scheduler of an older term
	 */
	public applyUpdate(update: PoolUpdate): boolean {
		if (update.term < this.schedulerTerm) {
			return false;
		}
		this.schedulerTerm = update.term;
		this.hasScheduler = true;
		this.applied = update.sequence;
		this.floor = update.floor;
		this.reuseLimit = update.reuseLimit;
		this.quantum = update.quantum;
		this.contended = update.contended;
		this.completeWanted ||= update.reportRequested;
		for (const { account, base } of update.bases) {
			const state = this.queue.find(account);
			if (state !== undefined) {
				state.base = base;
			}
		}
		for (const { backend, count } of update.recalls) {
			this.slotsOf(backend).recalled += count;
		}
		for (const { backend, count } of update.grants) {
			const held = this.slotsOf(backend);
			held.held += count;
			held.idle += count;
		}
		this.startQueued();
		this.returnIdle();
		if (update.grants.length > 0) {
			this.onDidChange('soon');
		}
		if (update.reportRequested || this.hasUnknownDemand()) {
			this.onDidChange('now');
		}
		return true;
	}

	/** Keeps working on held slots in local fair order, until {@link applyUpdate} is called again. */
	public loseScheduler(): void {
		this.hasScheduler = false;
		this.contended = false;
		this.completeWanted = true;
		this.applied = 0;
		this.startQueued();
	}

	/** Makes the next report complete, for a scheduler that knows nothing of this entry. */
	public requestCompleteReport(): void {
		this.completeWanted = true;
		this.onDidChange('now');
	}

	/**
	 * Builds a report of what changed and marks it as reported.
	 *
	 * @returns the report
	 */
	public takeReport(): PoolReport {
		const complete = this.completeWanted;
		const accounts: AccountDemand[] = [];
		for (const state of this.queue.accounts()) {
			if (complete || this.isNews(state)) {
				accounts.push(this.reportAccount(state, complete));
			}
		}
		this.completeWanted = false;
		return {
			pool: this.pool,
			term: this.schedulerTerm,
			acknowledged: this.applied,
			complete,
			accounts,
			slots: this.reportSlots(complete),
		};
	}

	/** @returns figures for the state dump */
	public dump(): EntryDump {
		return {
			term: this.schedulerTerm,
			hasScheduler: this.hasScheduler,
			contended: this.contended,
			floor: this.floor,
			reuseLimit: Number.isFinite(this.reuseLimit) ? this.reuseLimit : null,
			slots: Object.fromEntries(this.slots),
			accounts: [...this.queue.accounts()].map((state) => ({
				id: state.id,
				share: state.share,
				queued: state.queue.length,
				running: state.running,
				charged: state.charged,
				virtualService: virtualService(state),
				expectedCost: state.estimate.value,
			})),
		};
	}

	private startQueued(): void {
		for (const [backend, slot] of this.slots) {
			while (slot.idle > slot.recalled) {
				const state = this.queue.lowest();
				if (state === undefined || !this.mayStart(state)) {
					return;
				}
				const request = this.queue.takeFirst(state);
				if (request === undefined) {
					return;
				}
				slot.idle--;
				this.start(state, request, backend, slot);
			}
		}
	}

	private mayStart(state: AccountState<PendingRequest>): boolean {
		return !this.hasScheduler || !this.contended || virtualService(state) <= this.reuseLimit;
	}

	private start(state: AccountState<PendingRequest>, request: PendingRequest, backend: number, slot: HeldState): void {
		state.running++;
		state.startedSinceReport++;
		state.charged += request.expectedCost;
		let delivered = 0;
		let released = false;
		request.start({
			backend,
			charge: (costUnits) => {
				const before = Math.max(delivered, request.expectedCost);
				delivered += costUnits;
				state.charged += Math.max(delivered, request.expectedCost) - before;
				if (Math.abs(state.charged - state.reportedCharged) / state.share > this.quantum) {
					this.onDidChange('soon');
				}
			},
			release: (failed) => {
				if (released) {
					return;
				}
				released = true;
				state.running--;
				state.charged += delivered - Math.max(delivered, request.expectedCost);
				if (!failed) {
					this.queue.observe(state, delivered);
				}
				slot.idle++;
				slot.failed ||= failed;
				this.startQueued();
				this.returnIdle();
				if (failed || this.hasUnknownDemand()) {
					this.onDidChange('now');
				}
			},
		});
	}

	/** Returns idle slots that were recalled, that others need, or that exceed what arrivals need. */
	private returnIdle(): void {
		if (!this.hasScheduler) {
			return;
		}
		let kept = 0;
		let returned = 0;
		for (const slot of this.slots.values()) {
			const limit = this.contended ? 0 : Math.max(0, DEFAULT_IDLE_LIMIT - kept);
			const keep = Math.min(Math.max(0, slot.idle - slot.recalled), limit);
			const giving = slot.idle - keep;
			slot.idle -= giving;
			slot.held -= giving;
			slot.recalled = Math.max(0, slot.recalled - giving);
			kept += keep;
			returned += giving;
		}
		if (returned > 0) {
			this.onDidChange('now');
		}
	}

	private hasUnknownDemand(): boolean {
		for (const state of this.queue.accounts()) {
			if (state.queue.length > 0 && state.reportedQueued <= state.startedSinceReport) {
				return true;
			}
		}
		return false;
	}

	private isNews(state: AccountState<PendingRequest>): boolean {
		const queued = state.queue.length;
		const change = Math.abs(queued - state.reportedQueued);
		return (
			change * 2 > Math.min(queued, state.reportedQueued) ||
			Math.abs(state.charged - state.reportedCharged) / state.share > this.quantum
		);
	}

	private reportAccount(state: AccountState<PendingRequest>, complete: boolean): AccountDemand {
		state.reportedQueued = state.queue.length;
		state.reportedCharged = state.charged;
		state.startedSinceReport = 0;
		return {
			account: state.key,
			queued: state.queue.length,
			running: state.running,
			charged: state.charged,
			expected: state.estimate.value,
			virtualService: complete ? virtualService(state) : 0,
		};
	}

	private reportSlots(complete: boolean): HeldSlots[] {
		const report: HeldSlots[] = [];
		for (const [backend, slot] of this.slots) {
			if (complete || slot.failed || slot.held !== slot.reportedHeld) {
				report.push({ backend, held: slot.held, idle: slot.idle, failed: slot.failed });
			}
			slot.reportedHeld = slot.held;
			slot.failed = false;
			if (slot.held === 0) {
				this.slots.delete(backend);
			}
		}
		return report;
	}

	private slotsOf(backend: number): HeldState {
		let slot = this.slots.get(backend);
		if (slot === undefined) {
			slot = { held: 0, idle: 0, recalled: 0, failed: false, reportedHeld: 0 };
			this.slots.set(backend, slot);
		}
		return slot;
	}
}
