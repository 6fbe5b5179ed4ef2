/** After a server's time without requests a router has one request in progress there for this long. */
const EASE_IN_MS = 400;

/** Time over which routers return to a server whose time is over. */
const RETURN_SPREAD_MS = 200;

/**
 * What a server has said of itself in its answers: that it leaves, or that it wants no requests of this router for a
 * while. Only another incarnation of the server takes back that it leaves.
 *
 * Load pattern: a server turns away each third request, and all routers would come back in the same millisecond.
 */
export class ServerNotices {
	private leaving = false;
	private restUntil = -Infinity;

	private constructor() {}

	/** @returns the notices of a server that has said nothing */
	public static create(): ServerNotices {
		return new ServerNotices();
	}

	/** Whether the server has said that it leaves. */
	public get isLeaving(): boolean {
		return this.leaving;
	}

	/**
	 * Notes that the server leaves.
	 *
	 * @returns whether that is new
	 */
	public markLeaving(): boolean {
		const isNew = !this.leaving;
		this.leaving = true;
		return isNew;
	}

	/**
	 * Notes that the server wants no requests of this router. The longest time that it has named counts.
	 *
	 * @param milliseconds for which it wants none
	 * @param now monotonic milliseconds
	 * @param random number from 0 to 1, by which this router returns later than others
	 */
	public rest(milliseconds: number, now: number, random: number): void {
		this.restUntil = Math.max(this.restUntil, now + milliseconds + random * RETURN_SPREAD_MS);
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns milliseconds until this router may send a request; infinite when the server leaves
	 */
	public closedMs(now: number): number {
		return this.leaving ? Infinity : Math.max(0, this.restUntil - now);
	}

	/**
	 * @param now monotonic milliseconds
	 * @param ownInProgress requests of this router in progress at the server
	 * @returns whether this router may send a request
	 */
	public allowsRequest(now: number, ownInProgress: number): boolean {
		const isEasedIn = now >= this.restUntil + EASE_IN_MS;
		return this.closedMs(now) === 0 && (isEasedIn || ownInProgress === 0);
	}
}
