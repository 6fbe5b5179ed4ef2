import type { IClock } from '../../base/common/clock.js';
import type { LoadReport } from './loadReport.js';

// Minimum interval between two reductions of the limit. Reports lag, so one overload shows in several of them.
const LOWER_INTERVAL_MS = 1_000;

/** The limit is raised by one slot after each interval of this length without overload. */
const RAISE_INTERVAL_MS = 1_000;

/** Consecutive failed polls after which a server counts as down; a refused connection counts at once. */
const FAILED_POLLS_UNTIL_DOWN = 2;

/** State of a backend server. `unknown`: it has not been polled yet and may be used. */
export type ServerState = 'live' | 'draining' | 'down' | 'unknown';

/** Health and slot limit of one backend server, derived from its reported load. */
export class ServerHealth {
	private currentState: ServerState = 'unknown';
	private loweredLimit: number | undefined;
	private changedAt = -Infinity;
	private failedPolls = 0;
	private lastLoad: LoadReport | undefined;
	private requestFailed = false;

	private constructor(private readonly clock: IClock) {}

	/**
	 * @param clock measures the intervals between changes of the limit
	 * @returns health of a server that has not been polled yet
	 */
	public static create(clock: IClock): ServerHealth {
		return new ServerHealth(clock);
	}

	/** State as of the last poll. */
	public get state(): ServerState {
		return this.currentState;
	}

	/** Load in the last report. */
	public get load(): LoadReport | undefined {
		return this.lastLoad;
	}

	/**
	 * @param configured slots in the configuration
	 * @returns maximum number of requests in progress on the server
	 */
	public slotLimit(configured: number): number {
		if (this.currentState === 'draining' || this.currentState === 'down') {
			return 0;
		}
		return Math.min(configured, this.loweredLimit ?? configured);
	}

	/** Records that a router's request was refused or interrupted. The next report shows whether it was an overload. */
	public recordRequestFailure(): void {
		this.requestFailed = true;
	}

	/**
	 * Records a successful poll.
	 *
	 * @param load reported load; undefined when the server reports none
	 * @param configured slots in the configuration
	 */
	public recordReport(load: LoadReport | undefined, configured: number): void {
		this.failedPolls = 0;
		this.lastLoad = load;
		this.currentState = load?.draining === true ? 'draining' : 'live';
		if (load !== undefined) {
			this.adjustLimit(load, configured);
		}
	}

	/**
	 * Records a failed poll.
	 *
	 * @param refused whether the connection was refused, which means that no process is listening
	 */
	public recordFailedPoll(refused: boolean): void {
		this.failedPolls++;
		if (refused || this.failedPolls >= FAILED_POLLS_UNTIL_DOWN) {
			this.currentState = 'down';
			this.lastLoad = undefined;
		}
	}

	private adjustLimit(load: LoadReport, configured: number): void {
		const limit = Math.min(configured, this.loweredLimit ?? configured);
		const target = this.overloadTarget(load, limit);
		const sinceChangeMs = this.clock.now() - this.changedAt;
		if (target !== undefined) {
			if (sinceChangeMs >= LOWER_INTERVAL_MS) {
				this.setLimit(target);
			}
		} else if (limit < configured && sinceChangeMs >= RAISE_INTERVAL_MS) {
			this.setLimit(limit + 1);
		}
		if (this.loweredLimit !== undefined && this.loweredLimit >= configured) {
			this.loweredLimit = undefined;
		}
	}

	// A server that queues requests reports them as waiting. A server that refuses requests reports none as waiting, so
	// a failed request of a router is needed to detect its overload.
	private overloadTarget(load: LoadReport, limit: number): number | undefined {
		const requestFailed = this.requestFailed;
		this.requestFailed = false;
		if (load.waiting > 0) {
			return Math.max(1, Math.min(limit - 1, load.running));
		}
		if (requestFailed && load.running > 0 && load.running < limit) {
			return Math.max(load.running, Math.ceil(limit / 2));
		}
		return undefined;
	}

	private setLimit(limit: number): void {
		this.loweredLimit = limit;
		this.changedAt = this.clock.now();
	}
}
