import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { type IDisposable, toDisposable } from '../../base/common/lifecycle.js';
import type { IDecisionLog, LogFields } from '../../base/node/structuredLog.js';

const LOG_INTERVAL_MS = 1_000;

/** Lines after the start of a router that are written in any case. */
const LINES_AFTER_START = 20;

/** What happened to the callers of a router within an interval. */
interface TrafficCounts {
	/** Connections that were accepted. */
	accepted: number;
	/** Connections that were closed, by either side, without any response. */
	closedUnanswered: number;
	/** Requests whose headers were received. */
	received: number;
	/** Requests that were refused by this router. */
	refused: number;
	/** Responses that were sent completely, refusals included. */
	answered: number;
}

const NONE: Readonly<TrafficCounts> = { accepted: 0, closedUnanswered: 0, received: 0, refused: 0, answered: 0 };

/**
 * Counts connections, requests and responses of callers, so that the log distinguishes a router that is not ready from one that
 * receives no connections, one that refuses, and one that accepts connections without answering.
 */
export class CallerTraffic {
	private counts: TrafficCounts = { ...NONE };

	private constructor() {}

	/** @returns counts of a router without callers */
	public static create(): CallerTraffic {
		return new CallerTraffic();
	}

	/** @param socket of a connection that was accepted */
	public recordConnection(socket: Socket): void {
		this.counts.accepted++;
		socket.once('close', () => {
			if (socket.bytesWritten === 0) {
				this.counts.closedUnanswered++;
			}
		});
	}

	/** @param response to a request whose headers were received */
	public recordRequest(response: ServerResponse): void {
		this.counts.received++;
		response.once('finish', () => this.counts.answered++);
	}

	/** Records that a request was refused. */
	public recordRefusal(): void {
		this.counts.refused++;
	}

	/**
	 * Logs the counts once a second, after the start of a router and while callers are not served as usual.
	 *
	 * @param log receives the lines
	 * @param describe returns the state of the router
	 * @returns a disposable that ends the log
	 */
	public logRegularly(
		log: IDecisionLog,
		describe: () => LogFields & { readonly isReady: boolean; readonly isLimiting: boolean },
	): IDisposable {
		let lines = 0;
		const timer = setInterval(() => {
			const { counts } = this;
			this.counts = { ...NONE };
			const state = describe();
			const isUnusual = !state.isReady || state.isLimiting || counts.closedUnanswered > 0;
			if (isUnusual || lines < LINES_AFTER_START) {
				lines++;
				log.write('caller-traffic', { ...counts, ...state });
			}
		}, LOG_INTERVAL_MS);
		return toDisposable(() => clearInterval(timer));
	}
}
