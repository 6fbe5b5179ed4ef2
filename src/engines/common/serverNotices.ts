/** A server that has announced that it is leaving. */
export interface LeavingNotice {
	readonly server: string;
	/** Unix milliseconds at which this incarnation of the server started; undefined when not known. */
	readonly startedAt: number | undefined;
}

/** For this long after a backoff, a router has at most one request in progress at the server. */
const RAMP_UP_MS = 400;

/** Maximum random delay after a backoff, so that routers do not resume sending at the same time. */
const RETURN_JITTER_MS = 200;

/**
 * Notices that a server has sent with its responses: that it is leaving, or that this router must back off for some time.
 * The leaving state ends only with a new incarnation of the server.
 *
 * Load pattern: a server rejects every third request, and without jitter all routers would resume sending in the same
 * millisecond.
 */
export class ServerNotices {
	private leaving = false;
	private backoffUntil = -Infinity;

	private constructor() {}

	/** @returns the state of a server that has sent no notices */
	public static create(): ServerNotices {
		return new ServerNotices();
	}

	/** Whether the server has announced that it is leaving. */
	public get isLeaving(): boolean {
		return this.leaving;
	}

	/**
	 * Records that the server is leaving.
	 *
	 * @returns whether this was not recorded before
	 */
	public markLeaving(): boolean {
		const isNew = !this.leaving;
		this.leaving = true;
		return isNew;
	}

	/**
	 * Records that the server has asked this router to back off. The backoff that ends last applies.
	 *
	 * @param milliseconds requested backoff
	 * @param now monotonic milliseconds
	 * @param random number from 0 to 1 that determines the random delay of this router
	 */
	public rest(milliseconds: number, now: number, random: number): void {
		this.backoffUntil = Math.max(this.backoffUntil, now + milliseconds + random * RETURN_JITTER_MS);
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns milliseconds until this router may send a request; infinite when the server is leaving
	 */
	public blockedMs(now: number): number {
		return this.leaving ? Infinity : Math.max(0, this.backoffUntil - now);
	}

	/**
	 * @param now monotonic milliseconds
	 * @param ownInProgress requests in progress at the server from this router
	 * @returns whether this router may send a request
	 */
	public allowsRequest(now: number, ownInProgress: number): boolean {
		const isRampedUp = now >= this.backoffUntil + RAMP_UP_MS;
		return this.blockedMs(now) === 0 && (isRampedUp || ownInProgress === 0);
	}
}
