/** What became of a request that a router has logged. */
export type RequestFate =
	| 'in-time'
	| 'late-although-predicted-in-time'
	| 'late-as-predicted'
	| 'refused-with-room'
	| 'refused-busy'
	| 'refused-over-share'
	| 'refused-by-router'
	| 'broken-by-server'
	| 'ended-by-router'
	| 'caller-left'
	| 'unfinished';

/** A request as the logs of all routers show it. */
export interface LoggedRequest {
	readonly id: string;
	readonly account: string;
	/** Name of the route; empty when the request was refused before routing. */
	readonly route: string;
	readonly service: string;
	/** Arrival in Unix milliseconds. */
	readonly at: number;
	/** Cost units; 0 when unknown. */
	readonly cost: number;
	/** Why it was not placed; undefined when it was placed. */
	readonly refusal: string | undefined;
	/** Predicted wait and prefill of the placement or of the best engine, in milliseconds. */
	readonly predictedMs: number | undefined;
	/** Longest wait that was acceptable, in milliseconds; undefined when unknown. */
	readonly limitMs: number | undefined;
	/** Wait of the chosen or the best engine, in milliseconds; undefined when unknown. */
	readonly waitMs: number | undefined;
	/** Milliseconds from the arrival until the first event is late; undefined when unknown. */
	readonly aimMs: number | undefined;
	/** Milliseconds from the arrival to the first bytes; undefined without any. */
	readonly firstBytesMs: number | undefined;
	/** Status of the response; undefined when the request has no end in the logs. */
	readonly status: number | undefined;
	/** Reason that the router logged with the end; empty for a complete response. */
	readonly endReason: string;
}

/** Requests with the same fate within one group. */
export interface LossCount {
	readonly fate: RequestFate;
	readonly requests: number;
	readonly cost: number;
}

/** Fates of the requests of one group, such as one account, in order of their cost. */
export interface LossGroup {
	readonly name: string;
	readonly counts: readonly LossCount[];
}

/** A refused request counts as refused with room when an engine had room for a request within this time. */
const ROOM_WINDOW_MS = 100;

const SUCCESS_LIMIT = 400;
const SERVER_REASON = 'server-';

/** Decides what became of each logged request and adds the requests up. */
export class LossLedger {
	/** Arrivals in Unix milliseconds and waits of placements, by service, in order of arrival. */
	private readonly placements = new Map<string, { readonly at: number; readonly waitMs: number }[]>();

	private constructor(private readonly requests: readonly LoggedRequest[]) {
		for (const { service, at, refusal, waitMs } of requests) {
			if (refusal === undefined && waitMs !== undefined) {
				const known = this.placements.get(service) ?? [];
				known.push({ at, waitMs });
				this.placements.set(service, known);
			}
		}
		this.placements.forEach((known) => known.sort((one, other) => one.at - other.at));
	}

	/**
	 * @param requests logged requests of all routers, in any order
	 * @returns a ledger of these requests
	 */
	public static create(requests: readonly LoggedRequest[]): LossLedger {
		return new LossLedger(requests);
	}

	/**
	 * @param request one of the requests of this ledger
	 * @returns what became of it
	 */
	public fateOf(request: LoggedRequest): RequestFate {
		const { refusal, status, endReason } = request;
		if (refusal !== undefined) {
			return this.refusalOf(request, refusal);
		}
		if (endReason === 'caller-left') {
			return 'caller-left';
		}
		if (status === undefined) {
			return 'unfinished';
		}
		if (endReason !== '' || status >= SUCCESS_LIMIT) {
			return endReason === '' || endReason.startsWith(SERVER_REASON) ? 'broken-by-server' : 'ended-by-router';
		}
		const { firstBytesMs = Infinity, aimMs = Infinity, predictedMs = 0 } = request;
		if (firstBytesMs <= aimMs) {
			return 'in-time';
		}
		return predictedMs <= aimMs ? 'late-although-predicted-in-time' : 'late-as-predicted';
	}

	/**
	 * @param nameOf name of the group of a request
	 * @returns what became of the requests of each group; all groups together hold each request once
	 */
	public groupBy(nameOf: (request: LoggedRequest) => string): readonly LossGroup[] {
		const groups = new Map<string, Map<RequestFate, LossCount>>();
		for (const request of this.requests) {
			const fate = this.fateOf(request);
			const counts = groups.get(nameOf(request)) ?? new Map<RequestFate, LossCount>();
			groups.set(nameOf(request), counts);
			const { requests, cost } = counts.get(fate) ?? { requests: 0, cost: 0 };
			counts.set(fate, { fate, requests: requests + 1, cost: cost + request.cost });
		}
		return [...groups].map(([name, counts]) => ({
			name,
			counts: [...counts.values()].sort((one, other) => other.cost - one.cost || other.requests - one.requests),
		}));
	}

	private refusalOf({ service, at, limitMs = 0 }: LoggedRequest, refusal: string): RequestFate {
		if (refusal === 'over-share') {
			return 'refused-over-share';
		}
		if (refusal !== 'busy') {
			return 'refused-by-router';
		}
		const hadRoom = (this.placements.get(service) ?? []).some(
			(placement) => Math.abs(placement.at - at) <= ROOM_WINDOW_MS && placement.waitMs <= limitMs,
		);
		return hadRoom ? 'refused-with-room' : 'refused-busy';
	}
}
