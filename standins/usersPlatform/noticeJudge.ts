import type { RequestArrival } from './promptEngine.js';

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
