/** Executions of one request, as counted by a stand-in. */
export interface LedgerEntry {
	/** Identifier sent by the caller in `X-Request-Id`, or the digest of the body if there was none. */
	readonly requestId: string;
	readonly idempotencyKey: string | undefined;
	/** Number of executions that started. */
	started: number;
	/** Number of executions that finished, whether or not the response could be sent. */
	finished: number;
	/** Number of executions whose connection closed before they finished. */
	cancelled: number;
	/** Times at which slots were reserved and released for it, in milliseconds since the epoch. */
	readonly startedAtMs: number[];
	readonly endedAtMs: number[];
}

/** Records every request that a backend stand-in executed. It survives simulated crashes of the stand-in. */
export class Ledger {
	private readonly entriesByKey = new Map<string, LedgerEntry>();
	private refusedCount = 0;

	private constructor() {}

	/** @returns an empty ledger */
	public static create(): Ledger {
		return new Ledger();
	}

	/**
	 * Counts the start of an execution.
	 *
	 * @param requestId identifier of the request
	 * @param idempotencyKey key sent with it, if any
	 * @returns the entry, in which the end is counted
	 */
	public recordStart(requestId: string, idempotencyKey: string | undefined): LedgerEntry {
		const key = `${requestId}\n${idempotencyKey ?? ''}`;
		let entry = this.entriesByKey.get(key);
		if (entry === undefined) {
			entry = { requestId, idempotencyKey, started: 0, finished: 0, cancelled: 0, startedAtMs: [], endedAtMs: [] };
			this.entriesByKey.set(key, entry);
		}
		entry.started++;
		entry.startedAtMs.push(epochNow());
		return entry;
	}

	/**
	 * Records that the slot of a request was released.
	 *
	 * @param entry returned by {@link recordStart}
	 */
	public recordSlotRelease(entry: LedgerEntry): void {
		entry.endedAtMs.push(epochNow());
	}

	/** Counts a request that was refused before it started. */
	public refuse(): void {
		this.refusedCount++;
	}

	/** @returns all entries, in the order of their first start */
	public entries(): readonly LedgerEntry[] {
		return [...this.entriesByKey.values()];
	}

	/** Number of requests that were refused before they started. */
	public get refused(): number {
		return this.refusedCount;
	}

	/** Removes all entries and resets the count of refusals. */
	public clear(): void {
		this.entriesByKey.clear();
		this.refusedCount = 0;
	}
}

function epochNow(): number {
	return performance.timeOrigin + performance.now();
}
