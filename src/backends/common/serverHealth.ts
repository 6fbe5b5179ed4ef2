import type { IClock } from '../../base/common/clock.js';
import type { LoadReport } from './loadReport.js';

// Reports lag, so one overload shows in several of them; the limit is lowered once per this time only.
const LOWER_INTERVAL_MS = 1_000;

/** The limit is raised by one slot after each such time without overload. */
const RAISE_INTERVAL_MS = 1_000;

/** Polls without an answer in a row after which a server counts as down; a refused connection counts at once. */
const MISSED_POLLS = 2;

/** State of a backend server. `unknown`: it was not polled yet, and is used. */
export type ServerState = 'live' | 'draining' | 'down' | 'unknown';

/** Health and slot limit of one backend server, from its reported load. */
export class ServerHealth {
	private currentState: ServerState = 'unknown';
	private lowered: number | undefined;
	private changedAt = -Infinity;
	private missed = 0;
	private lastLoad: LoadReport | undefined;
	private overloadSignalled = false;

	private constructor(private readonly clock: IClock) {}

	/**
	 * @param clock paces changes of the limit
	 * @returns health of a server that was not polled yet
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
	 * @returns requests that the server may have in progress
	 */
	public slotLimit(configured: number): number {
		if (this.currentState === 'draining' || this.currentState === 'down') {
			return 0;
		}
		return Math.min(configured, this.lowered ?? configured);
	}

	/** Notes that a router was refused or cut off; the next report decides what that means. */
	public recordRequestFailure(): void {
		this.overloadSignalled = true;
	}

	/**
	 * Counts a poll that was answered.
	 *
	 * @param load reported load; undefined when the server reports none
	 * @param configured slots in the configuration
	 */
	public recordReport(load: LoadReport | undefined, configured: number): void {
		this.missed = 0;
		this.lastLoad = load;
		this.currentState = load?.draining === true ? 'draining' : 'live';
		if (load !== undefined) {
			this.adapt(load, configured);
		}
	}

	/**
	 * Counts a poll that was not answered.
	 *
	 * @param refused the connection was refused, so no process listens
	 */
	public recordFailedPoll(refused: boolean): void {
		this.missed++;
		if (refused || this.missed >= MISSED_POLLS) {
			this.currentState = 'down';
			this.lastLoad = undefined;
		}
	}

	private adapt(load: LoadReport, configured: number): void {
		const limit = Math.min(configured, this.lowered ?? configured);
		const target = this.overloadTarget(load, limit);
		const sinceChange = this.clock.now() - this.changedAt;
		if (target !== undefined) {
			if (sinceChange >= LOWER_INTERVAL_MS) {
				this.setLimit(target);
			}
		} else if (limit < configured && sinceChange >= RAISE_INTERVAL_MS) {
			this.setLimit(limit + 1);
		}
		if (this.lowered !== undefined && this.lowered >= configured) {
			this.lowered = undefined;
		}
	}

	// A server that queues shows waiting requests. One that refuses shows none, so a router's signal is needed as well.
	private overloadTarget(load: LoadReport, limit: number): number | undefined {
		const signalled = this.overloadSignalled;
		this.overloadSignalled = false;
		if (load.waiting > 0) {
			return Math.max(1, Math.min(limit - 1, load.running));
		}
		if (signalled && load.running > 0 && load.running < limit) {
			return Math.max(load.running, Math.ceil(limit / 2));
		}
		return undefined;
	}

	private setLimit(limit: number): void {
		this.lowered = limit;
		this.changedAt = this.clock.now();
	}
}
