import type { IClock } from '../../base/common/clock.js';
import type { IDecisionLog, LogFields } from '../../base/node/structuredLog.js';

/**
 * All reasons for which a limit is applied to a caller. `pipelined`: its connection has more unanswered requests than
 * allowed. `silent`: no request has arrived on its connection. `connection-limit`: the router has no more connections for callers. The others concern the memory of a request
 * or its body.
 */
export const LIMIT_REASONS = [
	'no-memory',
	'timed-out',
	'tiny-chunks',
	'pipelined',
	'silent',
	'connection-limit',
	'incomplete-headers',
] as const;

/** Why a limit was applied to a caller. */
export type LimitReason = (typeof LIMIT_REASONS)[number];

/** Minimum time between log lines for one reason, each of which covers all occurrences since the previous one. */
const LOG_INTERVAL_MS = 1_000;

interface Occurrences {
	total: number;
	unlogged: number;
	loggedAt: number;
}

/** Counts and logs the limits that are applied to callers, at most one line a second for each reason. */
export class LimitLog {
	private readonly occurrences = new Map<LimitReason, Occurrences>();

	private constructor(
		private readonly log: IDecisionLog,
		private readonly clock: IClock,
		private readonly describe: () => LogFields,
	) {}

	/**
	 * @param log receives the lines
	 * @param clock source of time
	 * @param describe returns the state of the router for a line
	 * @returns a log without occurrences
	 */
	public static create(log: IDecisionLog, clock: IClock, describe: () => LogFields): LimitLog {
		return new LimitLog(log, clock, describe);
	}

	/**
	 * @param reason of a limit
	 * @returns how often the limit was applied
	 */
	public countOf(reason: LimitReason): number {
		return this.occurrences.get(reason)?.total ?? 0;
	}

	/**
	 * @param reason of the limit that was applied
	 * @param count how often it was applied
	 */
	public record(reason: LimitReason, count = 1): void {
		if (count === 0) {
			return;
		}
		let entry = this.occurrences.get(reason);
		if (entry === undefined) {
			entry = { total: 0, unlogged: 0, loggedAt: -Infinity };
			this.occurrences.set(reason, entry);
		}
		entry.total += count;
		entry.unlogged += count;
		const now = this.clock.now();
		if (now - entry.loggedAt >= LOG_INTERVAL_MS) {
			const event = reason === 'connection-limit' ? 'connections-dropped' : 'caller-limited';
			this.log.write(event, { reason, dropped: entry.unlogged, ...this.describe() });
			entry.loggedAt = now;
			entry.unlogged = 0;
		}
	}
}
