/** A request body that is being received. */
export interface IncompleteBody {
	/** Network address of the client, which may be that of a load balancer. */
	readonly clientAddress: string;
	/** Bytes of memory that are reserved for the body. */
	readonly heldBytes: number;
	/** Monotonic milliseconds at which the body last grew by a noticeable amount. */
	readonly progressedAt: number;
}

/** Fraction of the budget that the incomplete bodies of one client address may hold. A load balancer counts as one client. */
export const ADDRESS_FRACTION = 0.75;

/** Fraction of the budget up to which bodies above {@link SMALL_BODY_BYTES} may use it; the rest is for small requests. */
export const LARGE_BODY_FRACTION = 0.875;

/** Body size up to which the whole budget may be used; most prompts are smaller. */
export const SMALL_BODY_BYTES = 65_536;

/** Growth of a body that counts as progress; clients that send single bytes make none. */
export const PROGRESS_BYTES = 16_384;

/** Added to the time without progress, so that among bodies that all progress the largest is dropped. */
const MINIMUM_STALL_MS = 100;

/**
 * Chooses the incomplete body to drop when the budget is short: the one that has held the most bytes for the longest time
 * without progress.
 *
 * Load pattern: clients send many bodies that stop just short of their end, so that none of them can be passed on or dropped
 * for its size.
 *
 * @param bodies that may be dropped
 * @param now monotonic milliseconds
 * @returns the body to drop; undefined if none holds memory
 */
export function chooseEviction<T extends IncompleteBody>(bodies: Iterable<T>, now: number): T | undefined {
	let chosen: T | undefined;
	let highest = 0;
	for (const body of bodies) {
		const score = body.heldBytes * (now - body.progressedAt + MINIMUM_STALL_MS);
		if (score > highest) {
			highest = score;
			chosen = body;
		}
	}
	return chosen;
}
