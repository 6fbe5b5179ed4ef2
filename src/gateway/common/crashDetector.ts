import { type CrashSuspects } from '../../backends/common/crashSuspects.js';
import type { IClock } from '../../base/common/clock.js';

/** A server that is unreachable within this time after a broken connection is taken to have crashed on its request. */
const CRASH_WINDOW_MS = 2_000;

interface BrokenRequest {
	readonly server: string;
	readonly fingerprint: string;
	readonly at: number;
}

/**
 * Detects requests that crash the servers that run them. A broken connection alone is no evidence, since responses are
 * lost for other reasons too; it counts only if the server is unreachable afterwards.
 *
 * Load pattern: one request crashes each server that starts it, and its caller retries it.
 */
export class CrashDetector {
	private broken: BrokenRequest[] = [];

	private constructor(
		private readonly suspects: CrashSuspects,
		private readonly clock: IClock,
	) {}

	/**
	 * @param suspects counts the crashes of servers for each fingerprint
	 * @param clock measures the time between a broken connection and a failure to reach the server
	 * @returns a detector without observations
	 */
	public static create(suspects: CrashSuspects, clock: IClock): CrashDetector {
		return new CrashDetector(suspects, clock);
	}

	/** Whether any request is suspected; otherwise, requests need no fingerprint. */
	public get hasSuspects(): boolean {
		return this.suspects.hasSuspects;
	}

	/**
	 * @param fingerprint of a received request
	 * @returns milliseconds for which the request must be refused; 0 when it may run
	 */
	public quarantineMs(fingerprint: string): number {
		return this.suspects.remainingQuarantineMs(fingerprint);
	}

	/**
	 * Records that a connection broke before the response started.
	 *
	 * @param server identifier of the server
	 * @param fingerprint of the request
	 */
	public recordBrokenConnection(server: string, fingerprint: string): void {
		const now = this.clock.now();
		this.broken = this.broken.filter(({ at }) => now - at <= CRASH_WINDOW_MS);
		this.broken.push({ server, fingerprint, at: now });
	}

	/**
	 * Records that a server is unreachable.
	 *
	 * @param server identifier of the server
	 */
	public recordUnreachable(server: string): void {
		const now = this.clock.now();
		const crashed = this.broken.filter((item) => item.server === server && now - item.at <= CRASH_WINDOW_MS);
		this.broken = this.broken.filter((item) => item.server !== server);
		crashed.forEach(({ fingerprint }) => this.suspects.recordCrash(fingerprint));
	}
}
