/** Slots of one backend server, by number. */
export type SlotCounts = ReadonlyMap<number, number>;

/** Slots that one entry holds, as far as the scheduler knows. */
export interface EntryLeases {
	readonly held: Map<number, number>;
	/** Slots that the entry was asked to return and has not returned. */
	readonly recalls: Map<number, number>;
	/** Recalls that the next update carries. */
	nextRecalls: Map<number, number>;
}

/** @returns leases of an entry that holds nothing */
export function createEntryLeases(): EntryLeases {
	return { held: new Map(), recalls: new Map(), nextRecalls: new Map() };
}

/**
 * Counts which slots are leased. A slot is leased from its grant until the entry reports that it returned it, or is
 * removed as lost.
 */
export class SlotLeases {
	private readonly leased = new Map<number, number>();

	private constructor(private limits: SlotCounts) {}

	/**
	 * @param limits slot limit by short key of the backend server
	 * @returns leases of which none is given
	 */
	public static create(limits: SlotCounts): SlotLeases {
		return new SlotLeases(limits);
	}

	/** Slots that are leased, by backend server. */
	public get leasedSlots(): SlotCounts {
		return this.leased;
	}

	/** Number of slots that are leased. */
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

	/** @returns the backend server with the largest free part, or undefined when no slot is free */
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
	 * Takes over how many slots an entry holds.
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
	 * Asks for slots back that exceed the limits.
	 *
	 * @param entries leases of all entries
	 * @param onRecall called for each entry that is to return slots
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
					recall(entry, backend, count);
					excess -= count;
					onRecall(entry);
				}
			}
		}
	}

	/**
	 * Asks an entry for one slot of the backend server of which it holds most.
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
			recall(entry, backend, 1);
		}
	}

	private leasedOf(backend: number): number {
		return this.leased.get(backend) ?? 0;
	}

	private addLeased(backend: number, change: number): void {
		setCount(this.leased, backend, this.leasedOf(backend) + change);
	}
}

/** Notes that an entry is to return slots, and that the next update tells it so. */
function recall(entry: EntryLeases, backend: number, count: number): void {
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
