import type { IClock } from '../../base/common/clock.js';
import type { MemoryBudget } from '../../base/common/memoryBudget.js';

/** Reserved in addition to what is held before more is read: the most that arrives from a server at once. */
export const READ_AHEAD_BYTES = 65_536;

/** Fraction of the budget that responses may use, so that slow callers leave room for the bodies of requests. */
const RESPONSE_FRACTION = 0.5;

/**
 * Fraction of what is still free that one response may use. The bound of each response falls as more callers read slowly:
 * one gets a ninth of the room for responses, 72 get 90% of it together.
 */
const FRACTION_OF_FREE = 0.125;

/** Fraction of the budget, or of the room for responses, above which callers that do not read are disconnected. */
const SHORTAGE_FRACTION = 0.9;

/**
 * Time without progress in milliseconds after which a caller counts as one that does not read. Servers cut off a response that
 * remains unread for some seconds, and a caller that reads slowly accepts bytes in steps that may be a second or two apart.
 */
const STALL_MS = 3_000;

/**
 * Time without progress in milliseconds after which a caller is disconnected even if the budget is not short. No deadline
 * applies once the server's response has been read; this is four times the longest idle time that callers may ask for.
 */
const MAXIMUM_STALL_MS = 60_000;

/** Caller of a response. */
export interface ResponseCaller {
	/** Identifier of its request, for the log. */
	readonly requestId: string;
	/** Breaks its connection, so that the response does not appear complete. */
	readonly disconnect: () => void;
}

/** Bytes of one response that are held because its caller reads slowly. */
export interface IHeldResponse {
	/**
	 * Adds bytes that wait for the caller.
	 *
	 * @param bytes number of bytes
	 */
	hold(bytes: number): void;
	/**
	 * Reserves room for the bytes that wait and for the next bytes of the server.
	 *
	 * @returns whether more may be read from the server
	 */
	tryReadOn(): boolean;
	/**
	 * Records that the caller has accepted bytes, and releases room that is no longer needed.
	 *
	 * @param bytes number of bytes
	 */
	recordProgress(bytes: number): void;
	/** Releases the room for further bytes of the server, whose response has ended. */
	endReading(): void;
	/** Releases everything; nothing must be recorded afterwards. */
	close(): void;
}

/** A response whose caller does not read. */
export interface StalledResponse {
	readonly caller: ResponseCaller;
	/** Number of bytes that it takes of the memory. */
	readonly reservedBytes: number;
	/** Milliseconds since the caller last accepted bytes. */
	readonly stalledMs: number;
}

/**
 * Decides how much of the responses is read from servers for callers that read slowly, and which of them are disconnected
 * when the budget is short.
 *
 * Load pattern: many callers read responses slowly or not at all. A server that has to hold a response cuts it off after
 * some seconds, and a router that reads all of them exceeds the memory of its machine.
 */
export class ResponseBuffering {
	private readonly held = new Set<HeldResponse>();
	private readOnCount = 0;
	private pausedCount = 0;

	private constructor(
		private readonly budget: MemoryBudget,
		private readonly clock: IClock,
	) {}

	/**
	 * @param budget to which held bytes are charged as `response`; one without a limit lets whole responses be read
	 * @param clock source of time
	 * @returns an instance without responses
	 */
	public static create(budget: MemoryBudget, clock: IClock): ResponseBuffering {
		return new ResponseBuffering(budget, clock);
	}

	/** Number of responses whose callers read more slowly than the servers send. */
	public get slowResponses(): number {
		return this.held.size;
	}

	/** Number of decisions to read on for a slow caller. */
	public get readOnDecisions(): number {
		return this.readOnCount;
	}

	/** Number of decisions to pause a server's connection. */
	public get pauseDecisions(): number {
		return this.pausedCount;
	}

	/** Number of bytes reserved for responses. */
	public get reservedBytes(): number {
		return this.budget.usedBytesOf('response');
	}

	/**
	 * Begins to account for a response whose caller has fallen behind.
	 *
	 * @param caller of the response
	 * @returns the account, which must be closed
	 */
	public open(caller: ResponseCaller): IHeldResponse {
		const response = new HeldResponse(this.clock, caller, (reserved, bytes) => this.tryReserve(reserved, bytes), {
			charge: (bytes) => this.budget.tryReserve('response', bytes),
			release: (bytes) => this.budget.release('response', bytes),
			remove: () => this.held.delete(response),
		});
		this.held.add(response);
		return response;
	}

	/**
	 * Selects the callers to disconnect: those that have not read for {@link MAXIMUM_STALL_MS} and, if the budget is short, as
	 * many as are needed to end the shortage of those that have not read for {@link STALL_MS}. Those that have held the most
	 * for the longest come first.
	 *
	 * @returns responses to disconnect
	 */
	public selectStalled(): readonly StalledResponse[] {
		let { excessBytes } = this;
		const now = this.clock.now();
		const limitMs = excessBytes > 0 ? STALL_MS : MAXIMUM_STALL_MS;
		const stalled: StalledResponse[] = [];
		for (const { caller, occupiedBytes: reservedBytes, progressAt } of this.held) {
			const stalledMs = now - progressAt;
			if (reservedBytes > 0 && stalledMs >= limitMs) {
				stalled.push({ caller, reservedBytes, stalledMs });
			}
		}
		stalled.sort((left, right) => right.reservedBytes * right.stalledMs - left.reservedBytes * left.stalledMs);
		return stalled.filter(({ reservedBytes, stalledMs }) => {
			const isSelected = excessBytes > 0 || stalledMs >= MAXIMUM_STALL_MS;
			excessBytes -= reservedBytes;
			return isSelected;
		});
	}

	private get responseLimitBytes(): number {
		return this.budget.limitBytes * RESPONSE_FRACTION;
	}

	/** Bytes above which the budget is short; negative when it is not. */
	private get excessBytes(): number {
		const { usedBytes, limitBytes } = this.budget;
		return Math.max(
			usedBytes - SHORTAGE_FRACTION * limitBytes,
			this.reservedBytes - SHORTAGE_FRACTION * this.responseLimitBytes,
		);
	}

	private tryReserve(reservedBytes: number, bytes: number): boolean {
		const { usedBytes, limitBytes } = this.budget;
		const freeBytes = Math.min(limitBytes - usedBytes, this.responseLimitBytes - this.reservedBytes);
		const mayReadOn =
			reservedBytes + bytes <= freeBytes * FRACTION_OF_FREE && this.budget.tryReserve('response', bytes);
		if (mayReadOn) {
			this.readOnCount++;
		} else {
			this.pausedCount++;
		}
		return mayReadOn;
	}
}

interface ReservationChanges {
	/** Reserves room for bytes that are held already; returns false if the budget has none. */
	readonly charge: (bytes: number) => boolean;
	readonly release: (bytes: number) => void;
	readonly remove: () => void;
}

class HeldResponse implements IHeldResponse {
	public reservedBytes = 0;
	public progressAt: number;
	private heldBytes = 0;
	private readAheadBytes = READ_AHEAD_BYTES;

	public constructor(
		private readonly clock: IClock,
		public readonly caller: ResponseCaller,
		private readonly tryReserve: (reservedBytes: number, bytes: number) => boolean,
		private readonly changes: ReservationChanges,
	) {
		this.progressAt = clock.now();
	}

	/** Bytes that the response takes of the memory; more than are reserved when the budget had no room for them. */
	public get occupiedBytes(): number {
		return Math.max(this.reservedBytes, this.heldBytes);
	}

	public hold(bytes: number): void {
		this.heldBytes += bytes;
		const missingBytes = this.heldBytes - this.reservedBytes;
		// The bytes are held whether or not the server's connection is paused, so they count beyond the bound of a response.
		if (missingBytes > 0 && this.changes.charge(missingBytes)) {
			this.reservedBytes = this.heldBytes;
		}
	}

	public tryReadOn(): boolean {
		const missingBytes = this.heldBytes + this.readAheadBytes - this.reservedBytes;
		if (missingBytes <= 0) {
			return true;
		}
		if (!this.tryReserve(this.reservedBytes, missingBytes)) {
			return false;
		}
		this.reservedBytes += missingBytes;
		return true;
	}

	public recordProgress(bytes: number): void {
		this.progressAt = this.clock.now();
		this.heldBytes -= bytes;
		this.releaseDownTo(this.heldBytes + this.readAheadBytes);
	}

	public endReading(): void {
		this.readAheadBytes = 0;
		this.releaseDownTo(this.heldBytes);
	}

	public close(): void {
		this.releaseDownTo(0);
		this.changes.remove();
	}

	private releaseDownTo(neededBytes: number): void {
		const surplusBytes = this.reservedBytes - neededBytes;
		if (surplusBytes > 0) {
			this.reservedBytes = neededBytes;
			this.changes.release(surplusBytes);
		}
	}
}
