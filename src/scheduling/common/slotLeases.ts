/** Number of slots by short key of the backend server. */
export type SlotCounts = ReadonlyMap<number, number>;

/** Slots that the scheduler counts as held by one entry. */
export interface EntryLeases {
	/** Held slots by backend server. */
	readonly held: Map<number, number>;
	/** Slots that the entry was asked to return and has not returned yet, by backend server. */
	readonly recalls: Map<number, number>;
	/** Recalls to send with the next update, by backend server. */
	nextRecalls: Map<number, number>;
}

/** @returns leases of an entry that holds nothing */
export function createEntryLeases(): EntryLeases {
	return { held: new Map(), recalls: new Map(), nextRecalls: new Map() };
}

/**
 * Counts the leased slots. A slot is leased from its grant until the entry reports its return, or is removed as lost.
 */
export class SlotLeases {
	private readonly leased = new Map<number, number>();

	private constructor(private limits: SlotCounts) {}

	/**
	 * @param limits slot limit by short key of the backend server
	 * @returns leases with no leased slot
	 */
	public static create(limits: SlotCounts): SlotLeases {
		return new SlotLeases(limits);
	}

	/** Number of leased slots by backend server. */
	public get leasedSlots(): SlotCounts {
		return this.leased;
	}

	/** Number of leased slots. */
	public get leasedTotal(): number {
		return [...this.leased.values()].reduce((sum, count) => sum + count, 0);
	}

	/** Number of slots that can be granted. */
	public get freeTotal(): number {
		return [...this.limits].reduce((sum, [backend, limit]) => sum + Math.max(0, limit - this.leasedOf(backend)), 0);
	}

	/** @param limits slot limit by short key of the backend server */
	public setLimits(limits: SlotCounts): void {
		this.limits = limits;
	}

	/** @returns the backend server with the largest fraction of free slots, or undefined when no slot is free */
	public freestBackend(): number | undefined {
		let best: number | undefined;
		let bestRatio = 0;
		for (const [backend, limit] of this.limits) {
			const ratio = limit > 0 ? (limit - this.leasedOf(backend)) / limit : 0;
			if (ratio > bestRatio) {
				best = backend;
				bestRatio = ratio;
			}
		}
		return best;
	}

	/** @param backend backend server of which one more slot is granted */
	public lease(backend: number): void {
		this.addLeased(backend, 1);
	}

	/** @param backend backend server of a grant that never arrived */
	public release(backend: number): void {
		this.addLeased(backend, -1);
	}

	/**
	 * Counts a granted slot as held; it is leased already.
	 *
	 * @param entry leases of the entry
	 * @param backend backend server of the slot
	 */
	public confirm(entry: EntryLeases, backend: number): void {
		entry.held.set(backend, (entry.held.get(backend) ?? 0) + 1);
	}

	/**
	 * Sets how many slots an entry holds, and settles recalls for slots that it has returned.
	 *
	 * @param entry leases of the entry
	 * @param backend backend server of the slots
	 * @param held number of slots
	 */
	public setHeld(entry: EntryLeases, backend: number, held: number): void {
		const before = entry.held.get(backend) ?? 0;
		this.addLeased(backend, held - before);
		const recalled = entry.recalls.get(backend) ?? 0;
		if (held < before && recalled > 0) {
			setCount(entry.recalls, backend, Math.max(0, recalled - (before - held)));
		}
		setCount(entry.held, backend, held);
	}

	/**
	 * Recalls leased slots that exceed the limits.
	 *
	 * @param entries leases of all entries
	 * @param onRecall called for each entry with new recalls
	 */
	public recallExcess<T extends EntryLeases>(entries: Iterable<T>, onRecall: (entry: T) => void): void {
		for (const [backend, leased] of this.leased) {
			let excess = leased - (this.limits.get(backend) ?? 0);
			if (excess <= 0) {
				continue;
			}
			const holders = [...entries];
			excess -= holders.reduce((sum, entry) => sum + (entry.recalls.get(backend) ?? 0), 0);
			for (const entry of holders) {
				const available = (entry.held.get(backend) ?? 0) - (entry.recalls.get(backend) ?? 0);
				const count = Math.min(excess, available);
				if (count > 0) {
					addRecall(entry, backend, count);
					excess -= count;
					onRecall(entry);
				}
			}
		}
	}

	/**
	 * Recalls one slot of an entry, at the backend server of which the entry holds the most slots.
	 *
	 * @param entry leases of the entry
	 */
	public recallOne(entry: EntryLeases): void {
		let backend: number | undefined;
		for (const [candidate, held] of entry.held) {
			if (backend === undefined || held > (entry.held.get(backend) ?? 0)) {
				backend = candidate;
			}
		}
		if (backend !== undefined) {
			addRecall(entry, backend, 1);
		}
	}

	private leasedOf(backend: number): number {
		return this.leased.get(backend) ?? 0;
	}

	private addLeased(backend: number, change: number): void {
		setCount(this.leased, backend, this.leasedOf(backend) + change);
	}
}

/** Records a recall and adds it to the next update of the entry. */
function addRecall(entry: EntryLeases, backend: number, count: number): void {
	entry.recalls.set(backend, (entry.recalls.get(backend) ?? 0) + count);
	entry.nextRecalls.set(backend, (entry.nextRecalls.get(backend) ?? 0) + count);
}

function setCount(counts: Map<number, number>, key: number, count: number): void {
	if (count === 0) {
		counts.delete(key);
	} else {
		counts.set(key, count);
	}
}
