import type { LimitPeriod, RequestArrival } from './promptEngine.js';

/** A request as its caller sent it. */
export interface SentRequest {
	/** Name of the router that it was sent to. */
	readonly router: string;
	/** Monotonic milliseconds. */
	readonly at: number;
}

/** What {@link findNoticeViolations} compares. */
export interface NoticeCheckInput {
	/** Requests that arrived at one engine. */
	readonly arrivals: readonly RequestArrival[];
	/** Finds a request by its identifier. */
	readonly sentRequest: (requestId: string) => SentRequest | undefined;
	/** Whether a router was restarted or frozen between two times, so that it may have lost or missed a notice. */
	readonly wasInterrupted: (router: string, from: number, to: number) => boolean;
	/** Milliseconds after a report of an engine that it is leaving; requests sent later must not reach it. */
	readonly drainMs: number;
}

/** Requests of a router may be in transit to an engine when it refuses one. */
const IN_TRANSIT_MS = 500;
const MAXIMUM_REQUESTS_IN_TRANSIT = 2;

/**
 * Compares the notices that an engine has sent with the requests that it received afterwards.
 *
 * @param input requests that arrived and were sent
 * @returns messages for requests that ignored a notice; empty if there are none
 */
export function findNoticeViolations({
	arrivals,
	sentRequest,
	wasInterrupted,
	drainMs,
}: NoticeCheckInput): readonly string[] {
	const received = arrivals.flatMap((arrival) => {
		const sent = sentRequest(arrival.requestId);
		return sent === undefined ? [] : [{ ...arrival, sent }];
	});
	return received.flatMap(({ requestId, incarnation, leavingReportedAt, backoffUntil, at, sent: { router } }) => {
		const later = received.filter(
			(other) => other.incarnation === incarnation && other.sent.router === router && other.at > at,
		);
		const sentAfterLeaving =
			leavingReportedAt === undefined
				? []
				: later.filter(
						({ sent, at: arrivedAt }) =>
							sent.at > leavingReportedAt + drainMs && !wasInterrupted(router, leavingReportedAt, arrivedAt),
					);
		const arrivedDuringBackoff =
			backoffUntil === undefined
				? []
				: later.filter(
						(other) =>
							other.at > at + IN_TRANSIT_MS && other.at < backoffUntil && !wasInterrupted(router, at, other.at),
					);
		return [
			...sentAfterLeaving
				.slice(0, 1)
				.map(
					(other) =>
						`${other.requestId} of ${router} reached a server that reported leaving in the response to ${requestId}`,
				),
			...(arrivedDuringBackoff.length > MAXIMUM_REQUESTS_IN_TRANSIT
				? [
						`${arrivedDuringBackoff.length} requests of ${router} reached a server that accepts none before the end of the backoff given in the response to ${requestId}`,
					]
				: []),
		];
	});
}

/** Window over which a limit is compared with the requests of all routers. */
const LIMIT_WINDOW_MS = 4_000;

/** A server may receive this many times its limit, and {@link LIMIT_SLACK} requests. */
const LIMIT_TOLERANCE = 1.5;
const LIMIT_SLACK = 5;

/** Milliseconds after a response that names a limit from which on the requests of its router count. */
const LIMIT_HEARD_MS = 500;

/** What {@link findLimitViolations} compares. */
export interface LimitCheckInput extends Pick<NoticeCheckInput, 'sentRequest' | 'wasInterrupted'> {
	/** Requests that arrived at one engine, in the order of arrival. */
	readonly arrivals: readonly RequestArrival[];
	readonly limitPeriods: readonly LimitPeriod[];
	/** Milliseconds after the first response that names a limit from which on it applies. */
	readonly contactMs: number;
}

/**
 * Compares the limits that an engine has named with the requests that it received from the routers that had passed them on.
 *
 * @param input requests that arrived and were sent
 * @returns messages for windows with more requests than the limits allow; empty if there are none
 */
export function findLimitViolations({
	arrivals,
	limitPeriods,
	sentRequest,
	wasInterrupted,
	contactMs,
}: LimitCheckInput): readonly string[] {
	return limitPeriods.flatMap(({ requestsPerSecond, from: periodFrom, until: periodUntil }) => {
		const heardAt = new Map<string, number>();
		for (const { requestId, limitNamedAt = -Infinity } of arrivals) {
			const router = sentRequest(requestId)?.router;
			if (router !== undefined && limitNamedAt >= periodFrom && limitNamedAt <= periodUntil) {
				heardAt.set(router, Math.min(heardAt.get(router) ?? Infinity, limitNamedAt));
			}
		}
		const appliesFrom = Math.min(Infinity, ...heardAt.values()) + contactMs;
		const counted = arrivals
			.filter(({ requestId, at }) => {
				const router = sentRequest(requestId)?.router ?? '';
				const heard = heardAt.get(router) ?? Infinity;
				return at >= heard + LIMIT_HEARD_MS && !wasInterrupted(router, heard, at);
			})
			.map(({ at }) => at);
		const allowed = (requestsPerSecond * LIMIT_TOLERANCE * LIMIT_WINDOW_MS) / 1_000 + LIMIT_SLACK;
		const received = counted
			.filter((from) => from >= appliesFrom && from + LIMIT_WINDOW_MS <= periodUntil)
			.map((from) => counted.filter((at) => at >= from && at < from + LIMIT_WINDOW_MS).length);
		const most = Math.max(0, ...received);
		return most <= allowed
			? []
			: [`a server with a limit of ${requestsPerSecond} a second got ${most} requests in 4 s, allowed ${allowed}`];
	});
}
