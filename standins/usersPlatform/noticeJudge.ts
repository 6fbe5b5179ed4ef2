import type { RequestArrival } from './promptEngine.js';

/** A request as its caller sent it. */
export interface SentRequest {
	/** Router that it was sent to. */
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
	/** Whether a router was restarted or frozen between two times, and so may have forgotten what it was told. */
	readonly wasInterrupted: (router: string, from: number, to: number) => boolean;
	/** Milliseconds after which no request is to reach an engine that has said that it leaves. */
	readonly drainMs: number;
}

/** A router may have requests on their way to an engine that turns one away. */
const UNDER_WAY_MS = 500;
const UNDER_WAY_REQUESTS = 2;

/**
 * Compares what an engine has said of itself with the requests that it got afterwards.
 *
 * @param judged what is compared
 * @returns broken promises; empty when all were kept
 */
export function findNoticeViolations({
	arrivals,
	sentRequest,
	wasInterrupted,
	drainMs,
}: NoticeCheckInput): readonly string[] {
	const known = arrivals.flatMap((arrival) => {
		const sent = sentRequest(arrival.requestId);
		return sent === undefined ? [] : [{ ...arrival, sent }];
	});
	return known.flatMap(({ requestId, incarnation, leavingReportedAt, backoffUntil, at, sent: { router } }) => {
		const later = known.filter(
			(other) => other.incarnation === incarnation && other.sent.router === router && other.at > at,
		);
		const drained =
			leavingReportedAt === undefined
				? []
				: later.filter(
						({ sent, at: arrivedAt }) =>
							sent.at > leavingReportedAt + drainMs && !wasInterrupted(router, leavingReportedAt, arrivedAt),
					);
		const unwanted =
			backoffUntil === undefined
				? []
				: later.filter(
						(other) => other.at > at + UNDER_WAY_MS && other.at < backoffUntil && !wasInterrupted(router, at, other.at),
					);
		return [
			...drained
				.slice(0, 1)
				.map((other) => `${other.requestId} of ${router} reached a server that left at ${requestId}`),
			...(unwanted.length > UNDER_WAY_REQUESTS
				? [`${unwanted.length} requests of ${router} reached a server that wanted none after ${requestId}`]
				: []),
		];
	});
}
