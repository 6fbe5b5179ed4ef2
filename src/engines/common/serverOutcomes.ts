/** How a request to a server ended. */
export type ServerOutcome = 'answered' | 'failed' | 'refused' | 'unreachable' | 'silent';

/** Trust in a server after its recent requests. */
export interface EngineHealth {
	/** False while the server is left out because it could not be reached. */
	readonly usable: boolean;
	/** Part of recent requests that failed, from 0 to 1. */
	readonly failureRate: number;
	/** Milliseconds until the server may be usable again; 0 while it is, infinite when it leaves. */
	readonly unusableMs: number;
}

/** Weight of one request in the failure rate. */
const GAIN = 0.2;

/** Old failures lose their weight with this time constant, so that a recovered server is tried again. */
const FORGET_MS = 4_000;

/** A failure rate below this changes no choice. */
const FORGOTTEN_RATE = 1e-4;

/** Time for which an unreachable server is left out; it doubles while it stays unreachable. */
const FIRST_SUSPENSION_MS = 400;
const LONGEST_SUSPENSION_MS = 3_000;

/** A server that refused for lack of room is left out while it works off a few requests. */
const REFUSAL_SUSPENSION_MS = 60;

/**
 * Follows how the requests to one server end. What callers of the server see counts, since a server can fail part of
 * its requests while its health check is good.
 *
 * Load pattern: some engines fail half of their requests at once and so look idle, which draws more requests to them.
 */
export class ServerOutcomes {
	private failureRate = 0;
	private updatedAt = 0;
	private suspendedUntil = 0;
	private suspensionMs = FIRST_SUSPENSION_MS;

	private constructor() {}

	/** @returns the outcomes of a server that was not used yet */
	public static create(): ServerOutcomes {
		return new ServerOutcomes();
	}

	/**
	 * @param outcome of a request
	 * @param now monotonic milliseconds
	 */
	public record(outcome: ServerOutcome, now: number): void {
		this.decay(now);
		const failed = outcome === 'answered' || outcome === 'refused' ? 0 : 1;
		this.failureRate += GAIN * (failed - this.failureRate);
		switch (outcome) {
			case 'answered':
				this.suspensionMs = FIRST_SUSPENSION_MS;
				this.suspendedUntil = 0;
				break;
			case 'unreachable':
			case 'silent':
				this.suspendedUntil = now + this.suspensionMs;
				this.suspensionMs = Math.min(LONGEST_SUSPENSION_MS, this.suspensionMs * 2);
				break;
			case 'refused':
				this.suspendedUntil = Math.max(this.suspendedUntil, now + REFUSAL_SUSPENSION_MS);
				break;
			case 'failed':
				break;
		}
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns trust in the server now
	 */
	public health(now: number): EngineHealth {
		this.decay(now);
		const unusableMs = this.suspendedMs(now);
		return { usable: unusableMs === 0, failureRate: this.failureRate, unusableMs };
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns milliseconds for which the server is still left out
	 */
	public suspendedMs(now: number): number {
		return Math.max(0, this.suspendedUntil - now);
	}

	private decay(now: number): void {
		if (this.failureRate > 0) {
			const left = this.failureRate * Math.exp(-Math.max(0, now - this.updatedAt) / FORGET_MS);
			this.failureRate = left > FORGOTTEN_RATE ? left : 0;
		}
		this.updatedAt = now;
	}
}
