/** What a stand-in did with one request, judged from the stand-in's side. */
export interface LedgerEntry {
	/** Identifier sent by the caller in `X-Request-Id`, or the digest of the body when there was none. */
	readonly requestId: string;
	readonly idempotencyKey: string | undefined;
	/** How often work on the request began. */
	started: number;
	/** How often work on it ended, whether or not the answer could be sent. */
	finished: number;
	/** How often its connection closed before the work ended. */
	cancelled: number;
	/** When a slot was taken and given back for it, in milliseconds since the epoch. */
	readonly startedAtMs: number[];
	readonly endedAtMs: number[];
}

/** Records every request that a backend stand-in worked on. It survives simulated crashes of the stand-in. */
export class Ledger {
	private readonly byId = new Map<string, LedgerEntry>();
	private refusedCount = 0;

	private constructor() {}

	/** @returns an empty ledger */
	public static create(): Ledger {
		return new Ledger();
	}

	/**
	 * Counts a start.
	 *
	 * @param requestId identifier of the request
	 * @param idempotencyKey key sent with it, if any
	 * @returns the entry, for counting its end
	 */
	public recordStart(requestId: string, idempotencyKey: string | undefined): LedgerEntry {
		const id = `${requestId}\n${idempotencyKey ?? ''}`;
		let entry = this.byId.get(id);
		if (entry === undefined) {
			entry = { requestId, idempotencyKey, started: 0, finished: 0, cancelled: 0, startedAtMs: [], endedAtMs: [] };
			this.byId.set(id, entry);
		}
		entry.started++;
		entry.startedAtMs.push(epochNow());
		return entry;
	}

	/**
	 * Notes that the slot of a request is free again.
	 *
	 * @param entry what {@link recordStart} returned
	 */
	public recordSlotRelease(entry: LedgerEntry): void {
		entry.endedAtMs.push(epochNow());
	}

	/** Counts a request that was refused before any work. */
	public refuse(): void {
		this.refusedCount++;
	}

	/** @returns all entries, in the order of their first start */
	public entries(): readonly LedgerEntry[] {
		return [...this.byId.values()];
	}

	/** Requests refused before any work. */
	public get refused(): number {
		return this.refusedCount;
	}

	/** Forgets everything. */
	public clear(): void {
		this.byId.clear();
		this.refusedCount = 0;
	}
}

function epochNow(): number {
	return performance.timeOrigin + performance.now();
}
