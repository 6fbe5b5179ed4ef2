import { type CrashSuspects } from '../../backends/common/crashSuspects.js';
import type { IClock } from '../../base/common/clock.js';

/** A server that cannot be reached within this time after a connection broke has ended, most likely by what it ran. */
const DEATH_PERIOD_MS = 2_000;

interface BrokenRequest {
	readonly server: string;
	readonly fingerprint: string;
	readonly at: number;
}

/**
 * Finds requests that crash the servers that run them. A broken connection alone says little, since answers are lost in
 * other ways too; it counts when the server cannot be reached afterwards.
 *
 * Load pattern: one request ends each server that begins it, and its caller sends it again.
 */
export class CrashDetector {
	private broken: BrokenRequest[] = [];

	private constructor(
		private readonly suspects: CrashSuspects,
		private readonly clock: IClock,
	) {}

	/**
	 * @param suspects counts the deaths of servers for each fingerprint
	 * @param clock measures the time between a broken connection and an unreachable server
	 * @returns a watch that has seen nothing
	 */
	public static create(suspects: CrashSuspects, clock: IClock): CrashDetector {
		return new CrashDetector(suspects, clock);
	}

	/** Whether any request is suspected, so that others need no fingerprint. */
	public get hasSuspects(): boolean {
		return this.suspects.hasSuspects;
	}

	/**
	 * @param fingerprint of a request that arrived
	 * @returns milliseconds for which it is to be refused; 0 when it may run
	 */
	public quarantineMs(fingerprint: string): number {
		return this.suspects.remainingQuarantineMs(fingerprint);
	}

	/**
	 * Notes that a connection broke before the answer began.
	 *
	 * @param server identifier of the server
	 * @param fingerprint of the request
	 */
	public recordBrokenConnection(server: string, fingerprint: string): void {
		const now = this.clock.now();
		this.broken = this.broken.filter(({ at }) => now - at <= DEATH_PERIOD_MS);
		this.broken.push({ server, fingerprint, at: now });
	}

	/**
	 * Notes that a server cannot be reached.
	 *
	 * @param server identifier of the server
	 */
	public recordUnreachable(server: string): void {
		const now = this.clock.now();
		const dead = this.broken.filter((item) => item.server === server && now - item.at <= DEATH_PERIOD_MS);
		this.broken = this.broken.filter((item) => item.server !== server);
		dead.forEach(({ fingerprint }) => this.suspects.recordCrash(fingerprint));
	}
}
