import type { HeldSlots } from '../../peers/common/generated/masticloom/peers/v1/peers.js';

/** Slots of one backend server at an entry. */
export interface HeldSlotCounts {
	held: number;
	idle: number;
	/** Slots to return instead of reusing them. */
	recalled: number;
	/** Whether the entry has observed a failure of the backend server since the last report. */
	failed: boolean;
	/**
	 * Number of held slots of which the scheduler was informed by a report, or will be by the acknowledgement of its
	 * grants.
	 */
	reportedHeld: number;
}

/** Slots that an entry holds, by short key of the backend server. */
export class HeldSlotTable {
	private readonly slots = new Map<number, HeldSlotCounts>();

	private constructor() {}

	/** @returns a table without slots */
	public static create(): HeldSlotTable {
		return new HeldSlotTable();
	}

	/** @returns slots by backend server */
	public entries(): IterableIterator<[number, HeldSlotCounts]> {
		return this.slots.entries();
	}

	/** @returns slots of every backend server */
	public values(): IterableIterator<HeldSlotCounts> {
		return this.slots.values();
	}

	/** @returns number of held slots by backend server */
	public held(): ReadonlyMap<number, number> {
		return new Map([...this.slots].filter(([, slot]) => slot.held > 0).map(([backend, slot]) => [backend, slot.held]));
	}

	/**
	 * @param backend short key of the backend server
	 * @returns its slots; created when there are none
	 */
	public getOrCreate(backend: number): HeldSlotCounts {
		let slot = this.slots.get(backend);
		if (slot === undefined) {
			slot = { held: 0, idle: 0, recalled: 0, failed: false, reportedHeld: 0 };
			this.slots.set(backend, slot);
		}
		return slot;
	}

	/**
	 * Lists the changes since the last report and marks them as reported.
	 *
	 * @param complete whether to list all slots
	 * @returns the slots of the report
	 */
	public report(complete: boolean): HeldSlots[] {
		const report: HeldSlots[] = [];
		for (const [backend, slot] of this.slots) {
			if (complete || slot.failed || slot.held !== slot.reportedHeld) {
				report.push({ backend, held: slot.held, failed: slot.failed });
			}
			slot.reportedHeld = slot.held;
			slot.failed = false;
			if (complete) {
				// The scheduler repeats the recalls that still apply.
				slot.recalled = 0;
			}
			if (slot.held === 0) {
				this.slots.delete(backend);
			}
		}
		return report;
	}
}
