/** Limits of the time that a caller may take, in milliseconds. */
export interface ArrivalLimits {
	/** From the first byte of a request to the end of its headers. */
	readonly headerTimeoutMs: number;
	/** Without any byte on a connection that has not been used yet. */
	readonly unusedTimeoutMs: number;
	/** From the headers of a request to the end of a body that is discarded. */
	readonly bodyTimeoutMs: number;
}

/** What has not arrived in time: the headers of a request, the first request, or the body of an answered one. */
export type OverdueArrival = 'headers' | 'first-request' | 'body';

/**
 * Follows the arrival of requests on one connection between two responses, by the number of bytes that were received. The
 * observations must be made after all that has arrived has been read.
 */
export class RequestArrival {
	private bytesAtRest = 0;
	private begunAt: number | undefined;
	private isBodyIncomplete = false;
	private requestedAt: number | undefined;

	private constructor(private readonly openedAt: number) {}

	/**
	 * @param openedAt monotonic milliseconds at which the connection was opened
	 * @returns the arrival of requests on a connection that has received nothing
	 */
	public static create(openedAt: number): RequestArrival {
		return new RequestArrival(openedAt);
	}

	/** @param now monotonic milliseconds at which the headers of a request are complete */
	public recordHeaders(now: number): void {
		this.requestedAt = now;
	}

	/**
	 * Records that all requests have been answered.
	 *
	 * @param bytesReceived number of bytes since the connection was opened
	 * @param isBodyIncomplete whether the body of the last request is still arriving
	 */
	public recordAnswer(bytesReceived: number, isBodyIncomplete: boolean): void {
		this.bytesAtRest = bytesReceived;
		this.begunAt = undefined;
		this.isBodyIncomplete = isBodyIncomplete;
	}

	/**
	 * Observes a connection without unanswered requests.
	 *
	 * @param bytesReceived number of bytes since the connection was opened
	 * @param isBodyIncomplete whether the body of the last request is still arriving
	 * @param now monotonic milliseconds
	 * @param limits of the time
	 * @returns what has not arrived in time; undefined when nothing is overdue
	 */
	public findOverdue(
		bytesReceived: number,
		isBodyIncomplete: boolean,
		now: number,
		{ headerTimeoutMs, unusedTimeoutMs, bodyTimeoutMs }: ArrivalLimits,
	): OverdueArrival | undefined {
		if (isBodyIncomplete || this.isBodyIncomplete) {
			this.recordAnswer(bytesReceived, isBodyIncomplete);
			return isBodyIncomplete && now - (this.requestedAt ?? now) > bodyTimeoutMs ? 'body' : undefined;
		}
		if (bytesReceived > this.bytesAtRest) {
			this.begunAt ??= now;
			return now - this.begunAt > headerTimeoutMs ? 'headers' : undefined;
		}
		return this.requestedAt === undefined && now - this.openedAt > unusedTimeoutMs ? 'first-request' : undefined;
	}
}
