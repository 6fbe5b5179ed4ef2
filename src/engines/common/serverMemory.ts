/** Output of a request as its caller states it. */
export interface StatedOutput {
	/** Tokens after which the server ends the output; 0 when the caller states none. */
	readonly maximumOutputTokens: number;
	/** The caller's estimate of the output in tokens; undefined when absent. */
	readonly expectedOutputTokens: number | undefined;
}

/** What a request needs at a server, and what the server holds. */
export interface MemoryDemand {
	/** Tokens that the request reserves. */
	readonly neededTokens: number;
	/** Tokens that the requests in progress reserve. */
	readonly heldTokens: number;
	/** Requests in progress at the server. */
	readonly inProgress: number;
	/** Tokens that fit into the memory of the server. */
	readonly memoryTokens: number;
	/** Whether every router places requests at the server without asking another one. */
	readonly isShared: boolean;
	/** Mean milliseconds from the placement of a request to its end. */
	readonly holdMs: number;
}

/**
 * Reserved output as a multiple of the caller's estimate, which is correct at the median but often far off. The sum over
 * the requests of a server exceeds the reserved output only if the mean is more than twice the median.
 */
const OUTPUT_MARGIN = 2;

/**
 * Fraction of the memory that is reserved for requests where one router decides. The rest is left for outputs that exceed
 * their reservation and for requests that were placed because the queue owner did not answer in time.
 */
const RESERVABLE_FRACTION = 0.8;

/**
 * Fraction of the memory that is reserved where every router decides on its own, by notices that are some 45 ms old. With
 * 0.8, a replay of 12 routers at twice the capacity held 1.1 of the memory. The longest prompts of present services fill
 * all slots at a fraction of 0.54.
 */
const SHARED_RESERVABLE_FRACTION = 0.6;

/** Interval at which a router repeats what it holds at a server, since a datagram may be lost. */
const REPEAT_INTERVAL_MS = 1_000;

/** What a peer holds is discarded when the peer has not reported it for this long, three repetitions. */
const PEER_VALID_MS = 3_500;

/**
 * A report of a peer may have been sent before the peer received an answer to its reservation request. A reservation
 * granted within this time before the report, which exceeds the longest wait for an answer, is counted in addition.
 */
const ANSWER_IN_TRANSIT_MS = 100;

/** Minimum interval between searches for outdated reports of peers. */
const EXPIRY_CHECK_INTERVAL_MS = 500;

/**
 * @param output of a request
 * @returns tokens to reserve for the output
 */
export function reservedOutputTokens({ expectedOutputTokens, maximumOutputTokens }: StatedOutput): number {
	if (expectedOutputTokens === undefined) {
		return maximumOutputTokens;
	}
	const marginTokens = expectedOutputTokens * OUTPUT_MARGIN;
	return maximumOutputTokens > 0 ? Math.min(marginTokens, maximumOutputTokens) : marginTokens;
}

/**
 * Determines whether a request can never run. The margin of the output and a maximum without an estimate do not count,
 * since the output is most likely shorter; such a request runs alone on a server.
 *
 * @param promptTokens tokens of the whole prompt
 * @param output of the request
 * @param memoryTokens tokens that fit into the memory of each server; 0 when not known
 * @returns whether the prompt and the expected output exceed the memory
 */
export function exceedsMemory(promptTokens: number, output: StatedOutput, memoryTokens: number): boolean {
	const { expectedOutputTokens = 0, maximumOutputTokens } = output;
	const outputTokens =
		maximumOutputTokens > 0 ? Math.min(expectedOutputTokens, maximumOutputTokens) : expectedOutputTokens;
	return memoryTokens > 0 && promptTokens + outputTokens > memoryTokens;
}

/**
 * Predicts when a request fits into the memory of a server. An empty server accepts any request.
 *
 * The ends of the requests in progress are assumed to be spread evenly over the time for which one is held, since the
 * reports of other routers contain only sums. Of n requests, the k-th ends after the fraction k / (n + 1) of it on average.
 *
 * @param demand of the request, and what the server holds
 * @returns milliseconds until the request is predicted to fit; 0 when it fits now
 */
export function memoryWaitMs(demand: MemoryDemand): number {
	const { neededTokens, heldTokens, inProgress, memoryTokens, isShared, holdMs } = demand;
	const reservableTokens = memoryTokens * (isShared ? SHARED_RESERVABLE_FRACTION : RESERVABLE_FRACTION);
	const missingTokens = heldTokens + neededTokens - reservableTokens;
	if (neededTokens === 0 || heldTokens === 0 || inProgress === 0 || missingTokens <= 0) {
		return 0;
	}
	const ends = Math.min(inProgress, Math.ceil((missingTokens * inProgress) / heldTokens));
	return (holdMs * ends) / (inProgress + 1);
}

/** A reservation that a peer's reports may not include yet. */
interface GrantedReservation {
	readonly sequence: number;
	readonly tokens: number;
	/** Monotonic milliseconds at which it was granted. */
	readonly grantedAt: number;
}

/** What a peer holds at the server. */
interface PeerTokens {
	/** Tokens by the last report of the peer. */
	readonly reportedTokens: number;
	readonly granted: readonly GrantedReservation[];
	/** Monotonic milliseconds of the last report or reservation. */
	readonly updatedAt: number;
}

/**
 * Counts the tokens that the requests in progress reserve at one server. The requests of this router are counted one by
 * one. For each peer, the last report counts, and what has been granted to the peer since; a report that is not repeated
 * expires, so a lost message does not occupy memory permanently.
 *
 * Load pattern: a few accounts send 9 to 14 times their usual traffic, and servers that accept every connection crash
 * because the prompts of waiting requests exceed their memory.
 */
export class ServerMemory {
	/** Tokens of the requests of this router, by sequence number. */
	private readonly own = new Map<number, number>();
	private ownTokens = 0;
	private reportedAt = -Infinity;
	private readonly peers = new Map<string, PeerTokens>();
	/** Cached sum over {@link peers}, which is read several times per request. */
	private peerTokens = 0;
	private nextExpiryCheckAt = -Infinity;

	private constructor() {}

	/** @returns a count without requests */
	public static create(): ServerMemory {
		return new ServerMemory();
	}

	/** Tokens that the requests of this router reserve. */
	public get ownHeldTokens(): number {
		return this.ownTokens;
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns tokens that the requests of all routers reserve, as far as known
	 */
	public heldTokens(now: number): number {
		if (this.peers.size > 0 && now >= this.nextExpiryCheckAt) {
			this.nextExpiryCheckAt = now + EXPIRY_CHECK_INTERVAL_MS;
			for (const [router, { updatedAt }] of this.peers) {
				if (now - updatedAt > PEER_VALID_MS) {
					this.removePeer(router);
				}
			}
		}
		return this.ownTokens + this.peerTokens;
	}

	/**
	 * Counts a request of this router.
	 *
	 * @param sequence sequence number of its placement
	 * @param tokens that it reserves
	 * @param now monotonic milliseconds
	 */
	public addOwn(sequence: number, tokens: number, now: number): void {
		if (this.own.size === 0) {
			this.reportedAt = now; // The queue owner knows the first request from its reservation or the placement notice.
		}
		this.ownTokens += tokens - (this.own.get(sequence) ?? 0);
		this.own.set(sequence, tokens);
	}

	/**
	 * Counts the end of a request of this router.
	 *
	 * @param sequence sequence number of its placement
	 * @returns tokens that it reserved; 0 for an unknown request
	 */
	public removeOwn(sequence: number): number {
		const tokens = this.own.get(sequence) ?? 0;
		this.own.delete(sequence);
		this.ownTokens -= tokens;
		return tokens;
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns whether this router has to repeat to the queue owner what its requests hold
	 */
	public isReportDue(now: number): boolean {
		return this.ownTokens > 0 && now - this.reportedAt >= REPEAT_INTERVAL_MS;
	}

	/** @param now monotonic milliseconds at which this router reports what its requests hold */
	public recordReport(now: number): void {
		this.reportedAt = now;
	}

	/**
	 * Counts a reservation that is granted to a peer.
	 *
	 * @param router name of the peer
	 * @param sequence sequence number of the placement
	 * @param tokens that the request reserves
	 * @param now monotonic milliseconds
	 */
	public grant(router: string, sequence: number, tokens: number, now: number): void {
		const { reportedTokens = 0, granted = [] } = this.peers.get(router) ?? {};
		const others = granted.filter((item) => item.sequence !== sequence);
		this.setPeer(router, reportedTokens, [...others, { sequence, tokens, grantedAt: now }], now);
	}

	/**
	 * Records that a peer has sent or given up a request, so that its next report accounts for the reservation.
	 *
	 * @param router name of the peer
	 * @param sequence sequence number of the placement
	 * @param isAbandoned whether the peer has given up the request
	 */
	public confirmGrant(router: string, sequence: number, isAbandoned: boolean): void {
		const peer = this.peers.get(router);
		const reservation = peer?.granted.find((item) => item.sequence === sequence);
		if (peer === undefined || reservation === undefined) {
			return;
		}
		const others = peer.granted.filter((item) => item !== reservation);
		const granted = isAbandoned ? others : [...others, { ...reservation, grantedAt: -Infinity }];
		this.setPeer(router, peer.reportedTokens, granted, peer.updatedAt);
	}

	/**
	 * Replaces what a peer holds by its report.
	 *
	 * @param router name of the peer
	 * @param tokens that its requests reserve
	 * @param now monotonic milliseconds
	 */
	public applyPeerReport(router: string, tokens: number, now: number): void {
		const granted = this.peers.get(router)?.granted ?? [];
		this.setPeer(
			router,
			tokens,
			granted.filter(({ grantedAt }) => now - grantedAt < ANSWER_IN_TRANSIT_MS),
			now,
		);
	}

	/** @param router name of a peer that has stopped or cannot be reached */
	public removePeer(router: string): void {
		this.setPeer(router, 0, [], -Infinity);
	}

	private setPeer(
		router: string,
		reportedTokens: number,
		granted: readonly GrantedReservation[],
		updatedAt: number,
	): void {
		const before = this.peers.get(router);
		if (before === undefined && reportedTokens === 0 && granted.length === 0) {
			return;
		}
		this.peerTokens += tokensOf(reportedTokens, granted) - tokensOf(before?.reportedTokens ?? 0, before?.granted ?? []);
		if (reportedTokens === 0 && granted.length === 0) {
			this.peers.delete(router);
		} else {
			this.peers.set(router, { reportedTokens, granted, updatedAt });
		}
	}
}

function tokensOf(reportedTokens: number, granted: readonly GrantedReservation[]): number {
	return granted.reduce((sum, { tokens }) => sum + tokens, reportedTokens);
}
