/** All kinds of bytes. */
export const MEMORY_KINDS = ['body', 'request', 'response', 'event'] as const;

/** What bytes that a router holds belong to. */
export type MemoryKind = (typeof MEMORY_KINDS)[number];

/** Memory outside the heap that is no longer in use, but not returned before a garbage collection. */
export interface Garbage {
	/** Maximum number of bytes; a collection is run when they are reached. */
	readonly maximumBytes: number;
	readonly collect: () => void;
}

/**
 * Counts the bytes that a router holds for its clients and servers against a common limit. Bytes are charged before they
 * are copied or queued, so that what the process holds never exceeds the limit.
 *
 * Load pattern: clients that send many bodies at once or do not read their responses, until the process exceeds the memory
 * of its machine and is killed.
 */
export class MemoryBudget {
	private readonly used: Record<MemoryKind, number> = { body: 0, request: 0, response: 0, event: 0 };
	private total = 0;
	private refusedReservations = 0;
	private garbageBytes = 0;
	private forcedCollections = 0;

	private constructor(
		private readonly limit: number,
		private readonly requestLimit: number,
		private readonly garbage: Garbage | undefined,
	) {}

	/**
	 * @param limitBytes maximum number of bytes to hold
	 * @param requestLimitBytes maximum number of bytes of kind `request`, which are on the heap of JavaScript
	 * @param garbage bound of what is no longer in use; without it collections are left to the runtime
	 * @returns a budget of which nothing is used
	 */
	public static create(limitBytes: number, requestLimitBytes = limitBytes, garbage?: Garbage): MemoryBudget {
		return new MemoryBudget(limitBytes, requestLimitBytes, garbage);
	}

	/** Maximum number of bytes. */
	public get limitBytes(): number {
		return this.limit;
	}

	/** Number of bytes that are in use. */
	public get usedBytes(): number {
		return this.total;
	}

	/** Number of reservations that did not fit. */
	public get refused(): number {
		return this.refusedReservations;
	}

	/** Number of garbage collections that were run for the bound of what is no longer in use. */
	public get collections(): number {
		return this.forcedCollections;
	}

	/**
	 * Counts memory outside the heap that is no longer in use.
	 *
	 * @param bytes number of bytes
	 */
	public recordGarbage(bytes: number): void {
		if (this.garbage === undefined) {
			return;
		}
		this.garbageBytes += bytes;
		if (this.garbageBytes >= this.garbage.maximumBytes) {
			this.garbageBytes = 0;
			this.forcedCollections++;
			this.garbage.collect();
		}
	}

	/**
	 * @param kind of the bytes
	 * @returns number of bytes in use of one kind
	 */
	public usedBytesOf(kind: MemoryKind): number {
		return this.used[kind];
	}

	/**
	 * Reserves bytes if all of them fit into the limit.
	 *
	 * @param kind of the bytes
	 * @param bytes number of bytes, at least 0
	 * @returns whether they are reserved; if not, nothing has changed
	 */
	public tryReserve(kind: MemoryKind, bytes: number): boolean {
		const isOverKind = kind === 'request' && this.used.request + bytes > this.requestLimit;
		if (isOverKind || this.total + bytes > this.limit) {
			this.refusedReservations++;
			return false;
		}
		this.used[kind] += bytes;
		this.total += bytes;
		return true;
	}

	/**
	 * Releases bytes that were reserved.
	 *
	 * @param kind with which they were reserved
	 * @param bytes number of bytes; an error is thrown if more are released than are reserved
	 */
	public release(kind: MemoryKind, bytes: number): void {
		if (bytes > this.used[kind]) {
			throw new RangeError(`release of ${bytes} bytes of kind ${kind}, of which ${this.used[kind]} are reserved`);
		}
		this.used[kind] -= bytes;
		this.total -= bytes;
	}
}
