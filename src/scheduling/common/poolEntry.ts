import type { PoolReport, PoolUpdate } from '../../peers/common/generated/masticloom/peers/v1/peers.js';
import { type AccountDemand, AccountNumbers } from './accountNumbers.js';
import { START_CHARGE_FRACTION } from './charge.js';
import { type HeldSlotCounts, HeldSlotTable } from './heldSlotTable.js';
import { type AccountState, FairQueue } from './fairQueue.js';
import type { EntryDump } from './schedulingDump.js';
import { EXCESS_STEPS_PER_QUANTUM } from './updateWriter.js';

/** How soon a change has to be reported to the scheduler. */
export type Urgency = 'now' | 'soon';

/** A request that waits for a slot. */
export interface PendingRequest {
	readonly service: string;
	/** In cost units. */
	readonly expectedCost: number;
	/**
	 * Called once, when the request gets its slot.
	 *
	 * @param lease the slot
	 */
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
	 * @param failed whether the backend server failed
	 */
	release(failed: boolean): void;
}

/** Idle slots that an entry keeps for new requests while the pool is not contended. */
const DEFAULT_IDLE_LIMIT = 2;

/** The expected cost of an account is reported again when it has changed by more than this fraction. */
const EXPECTED_COST_TOLERANCE = 0.1;

/** Metrics of an entry, for operators. */
export interface EntryMetrics {
	/** Highest scheduler term received. */
	readonly term: number;
	readonly hasScheduler: boolean;
	readonly queuedRequests: number;
	readonly heldSlots: number;
	readonly idleSlots: number;
	/** Lowest virtual service of any backlogged account as last received, in normalised cost. */
	readonly floor: number;
}

/**
 * Entry of a pool, which is the part of the pool at one router: it queues requests, holds leased slots to run them, and
 * reports both to the scheduler of the pool.
 */
export class PoolEntry {
	public readonly queue = FairQueue.create<PendingRequest>();
	private readonly slots = HeldSlotTable.create();
	private readonly numbers = AccountNumbers.create();
	private schedulerTerm = 0;
	private applied = 0;
	private slack = Infinity;
	private contended = false;
	private hasScheduler = false;
	private quantum = 0;
	private completeReportRequested = true;
	private idleLimit = DEFAULT_IDLE_LIMIT;

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

	/** Highest scheduler term received. */
	public get term(): number {
		return this.schedulerTerm;
	}

	/**
	 * Queues a request, or starts it at once on an idle slot.
	 *
	 * @param state account of the request
	 * @param request request to start
	 */
	public submit(state: AccountState<PendingRequest>, request: PendingRequest): void {
		this.queue.enqueue(state, request);
		this.startQueued();
		if (state.queue.length > 0 && state.reportedQueued <= state.startedSinceReport) {
			this.onDidChange('now');
		}
	}

	/**
	 * Cancels a queued request.
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
	 * Applies an update of the scheduler.
	 *
	 * @param update message of the scheduler
	 * @returns false when the update comes from a scheduler of an older term, and was ignored
	 */
	public applyUpdate(update: PoolUpdate): boolean {
		if (update.term < this.schedulerTerm) {
			return false;
		}
		if (update.term > this.schedulerTerm || !this.hasScheduler) {
			this.queue.rebase(update.floor);
		}
		this.schedulerTerm = update.term;
		this.hasScheduler = true;
		this.applied = update.sequence;
		this.queue.floor = update.floor;
		this.queue.recordFloor();
		this.slack = update.slack ?? this.slack;
		this.quantum = update.quantum ?? this.quantum;
		this.contended = update.contended;
		this.completeReportRequested ||= update.reportRequested;
		update.accounts.forEach((number, index) => {
			const state = this.queue.find(this.numbers.keyOf(number) ?? 0);
			if (state !== undefined) {
				this.queue.setExcess(state, ((update.excesses[index] ?? 0) * this.quantum) / EXCESS_STEPS_PER_QUANTUM);
			}
		});
		for (const { backend, count } of update.recalls) {
			const slot = this.slots.getOrCreate(backend);
			// Some of the slots may have been returned while the message was in transit.
			slot.recalled = Math.min(slot.held, slot.recalled + count);
		}
		let granted = 0;
		for (const { backend, count } of update.grants) {
			const held = this.slots.getOrCreate(backend);
			held.held += count;
			held.idle += count;
			// The acknowledgement reports to the scheduler that the slots are held.
			held.reportedHeld += count;
			granted += count;
		}
		this.startQueued(granted);
		this.returnIdle();
		if (update.grants.length > 0) {
			this.onDidChange('soon');
		}
		if (update.reportRequested || this.hasUnreportedDemand()) {
			this.onDidChange('now');
		}
		return true;
	}

	/** Continues with the held slots in local fair order, until {@link applyUpdate} is called again. */
	public detachScheduler(): void {
		this.hasScheduler = false;
		this.contended = false;
		this.completeReportRequested = true;
		this.applied = 0;
		this.startQueued();
	}

	/** Keeps no idle slots from now on. */
	public leave(): void {
		this.idleLimit = 0;
		this.returnIdle();
	}

	/** @returns metrics for operators */
	public metrics(): EntryMetrics {
		const slots = [...this.slots.values()];
		return {
			term: this.schedulerTerm,
			hasScheduler: this.hasScheduler,
			queuedRequests: this.queue.size,
			heldSlots: slots.reduce((sum, slot) => sum + slot.held, 0),
			idleSlots: slots.reduce((sum, slot) => sum + slot.idle, 0),
			floor: this.queue.floor,
		};
	}

	/** @returns slots that this entry holds, by backend server */
	public heldSlots(): ReadonlyMap<number, number> {
		return this.slots.held();
	}

	/** Makes the next report complete, for a scheduler that has no state of this entry. */
	public requestCompleteReport(): void {
		this.completeReportRequested = true;
		this.onDidChange('now');
	}

	/**
	 * Builds a report of the changes since the last one and marks them as reported.
	 *
	 * @returns the report
	 */
	public takeReport(): PoolReport {
		const complete = this.completeReportRequested;
		const accounts: AccountDemand[] = [];
		for (const state of this.queue.accounts()) {
			if (complete || this.hasChanged(state)) {
				accounts.push(this.reportAccount(state, complete));
			}
		}
		this.completeReportRequested = false;
		return {
			pool: this.pool,
			term: this.schedulerTerm,
			acknowledged: this.applied,
			complete,
			...this.numbers.pack(accounts, complete),
			slots: this.slots.report(complete),
		};
	}

	/** @returns state of the entry for the state dump */
	public dump(): EntryDump {
		return {
			term: this.schedulerTerm,
			hasScheduler: this.hasScheduler,
			contended: this.contended,
			floor: this.queue.floor,
			reuseLimit: Number.isFinite(this.slack) ? this.queue.floor + this.slack : null,
			slots: Object.fromEntries(this.slots.entries()),
			accounts: [...this.queue.accounts()].map((state) => ({
				id: state.id,
				share: state.share,
				queued: state.queue.length,
				running: state.running,
				charged: state.charged,
				virtualService: this.queue.virtualServiceOf(state),
				expectedCost: state.estimate.value,
			})),
		};
	}

	/**
	 * Starts queued requests on idle slots, in fair order.
	 *
	 * @param granted number of requests that start regardless of the slack, because the scheduler granted slots for them
	 *   based on newer values than this entry has
	 */
	private startQueued(granted = 0): void {
		let allowed = granted;
		for (const [backend, slot] of this.slots.entries()) {
			while (slot.idle > slot.recalled) {
				const state = this.queue.lowestBacklogged();
				if (state === undefined || (allowed <= 0 && !this.canStart(state))) {
					return;
				}
				allowed--;
				this.startFirst(state, backend, slot);
			}
		}
	}

	/**
	 * Gives a slot that became free to the account that used it, while that account is within the slack. Information
	 * about requests that other entries start arrives with a delay: if each entry gave its free slots to the account with
	 * the lowest virtual service in its view, the same account would get many of them at once. Reuse keeps the numbers of
	 * running requests steady.
	 */
	private reuseSlot(state: AccountState<PendingRequest>, backend: number, slot: HeldSlotCounts): void {
		if (slot.idle > slot.recalled && state.queue.length > 0 && this.canStart(state)) {
			this.startFirst(state, backend, slot);
		}
	}

	private canStart(state: AccountState<PendingRequest>): boolean {
		return !this.hasScheduler || !this.contended || this.queue.virtualServiceOf(state) <= this.queue.floor + this.slack;
	}

	private startFirst(state: AccountState<PendingRequest>, backend: number, slot: HeldSlotCounts): void {
		const request = this.queue.takeFirst(state);
		if (request !== undefined) {
			slot.idle--;
			this.start(state, request, backend, slot);
		}
	}

	private start(
		state: AccountState<PendingRequest>,
		request: PendingRequest,
		backend: number,
		slot: HeldSlotCounts,
	): void {
		state.running++;
		state.startedSinceReport++;
		// The charge is constant while the request runs: the expected remaining cost does not fall with the cost so far,
		// since a request that has run for longer is more likely to be a long one.
		const startCharge = START_CHARGE_FRACTION * request.expectedCost;
		state.charged += startCharge;
		let delivered = 0;
		let released = false;
		request.start({
			backend,
			charge: (costUnits) => {
				delivered += costUnits;
				state.charged += costUnits;
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
				state.charged -= startCharge;
				if (!failed && delivered > 0) {
					this.queue.observe(state, request.service, delivered);
				}
				slot.idle++;
				slot.failed ||= failed;
				this.reuseSlot(state, backend, slot);
				this.startQueued();
				this.returnIdle();
				if (failed || this.hasUnreportedDemand()) {
					this.onDidChange('now');
				}
			},
		});
	}

	/** Returns idle slots that were recalled, that other entries need, or that exceed the limit of idle slots. */
	private returnIdle(): void {
		if (!this.hasScheduler) {
			return;
		}
		let kept = 0;
		let returned = 0;
		for (const slot of this.slots.values()) {
			const limit = this.contended ? 0 : Math.max(0, this.idleLimit - kept);
			const keep = Math.min(Math.max(0, slot.idle - slot.recalled), limit);
			const returning = slot.idle - keep;
			slot.idle -= returning;
			slot.held -= returning;
			slot.recalled = Math.max(0, slot.recalled - returning);
			kept += keep;
			returned += returning;
		}
		if (returned > 0) {
			this.onDidChange('now');
		}
	}

	private hasUnreportedDemand(): boolean {
		for (const state of this.queue.accounts()) {
			if (state.queue.length > 0 && state.reportedQueued <= state.startedSinceReport) {
				return true;
			}
		}
		return false;
	}

	private hasChanged(state: AccountState<PendingRequest>): boolean {
		const queued = state.queue.length;
		const change = Math.abs(queued - state.reportedQueued);
		return (
			change * 2 > Math.min(queued, state.reportedQueued) ||
			state.running > 0 !== state.reportedRunning ||
			Math.abs(state.charged - state.reportedCharged) / state.share > this.quantum
		);
	}

	private reportAccount(state: AccountState<PendingRequest>, complete: boolean): AccountDemand {
		const excess = complete ? this.queue.excessAtLastFloor(state) : 0;
		const growth = Math.max(0, state.charged - state.chargedAtLastFloor) / state.share;
		state.reportedQueued = state.queue.length;
		state.reportedCharged = Math.round(state.charged);
		state.reportedRunning = state.running > 0;
		state.startedSinceReport = 0;
		const { value } = state.estimate;
		const hasNewEstimate =
			complete || Math.abs(value - state.reportedExpected) > EXPECTED_COST_TOLERANCE * state.reportedExpected;
		if (hasNewEstimate) {
			state.reportedExpected = value;
		}
		return {
			account: state.key,
			queued: state.queue.length,
			charged: state.reportedCharged,
			expected: hasNewEstimate ? value : undefined,
			excess,
			growth,
			running: state.reportedRunning,
		};
	}
}
