/** Outcome of a request to a server. */
export type ServerOutcome = 'answered' | 'failed' | 'refused' | 'unreachable' | 'silent';

/** Health of a server based on the outcomes of recent requests. */
export interface EngineHealth {
	/** False while the server is excluded from placement, for example because it was unreachable. */
	readonly usable: boolean;
	/** Fraction of recent requests that failed, from 0 to 1. */
	readonly failureRate: number;
	/** Milliseconds until the server may be usable again; 0 while it is usable, infinite when it is leaving. */
	readonly unusableMs: number;
}

/** Weight of one request in the moving average of the failure rate. */
const FAILURE_RATE_GAIN = 0.2;

/** Time constant with which the failure rate decays, so that a recovered server is tried again. */
const FAILURE_DECAY_MS = 4_000;

/** Failure rates below this are set to zero; they are too small to affect a choice. */
const NEGLIGIBLE_FAILURE_RATE = 1e-4;

/** Initial suspension of an unreachable server; it doubles while the server stays unreachable. */
const INITIAL_SUSPENSION_MS = 400;
const MAXIMUM_SUSPENSION_MS = 3_000;

/**
 * Suspension of a server that refused a request for lack of capacity; the server can complete a few requests
 * meanwhile.
 */
const REFUSAL_SUSPENSION_MS = 60;

/**
 * Tracks the outcomes of requests to one server. Health is derived from these outcomes because a server can fail some of
 * its requests while its health check passes.
 *
 * Load pattern: some engines fail half of their requests immediately and look idle, which attracts more requests.
 */
export class ServerOutcomes {
	private failureRate = 0;
	private updatedAt = 0;
	private suspendedUntil = 0;
	private suspensionMs = INITIAL_SUSPENSION_MS;

	private constructor() {}

	/** @returns the initial state, without outcomes */
	public static create(): ServerOutcomes {
		return new ServerOutcomes();
	}

	/**
	 * Records the outcome of a request.
	 *
	 * @param outcome outcome of the request
	 * @param now monotonic milliseconds
	 */
	public record(outcome: ServerOutcome, now: number): void {
		this.decay(now);
		const failed = outcome === 'answered' || outcome === 'refused' ? 0 : 1;
		this.failureRate += FAILURE_RATE_GAIN * (failed - this.failureRate);
		switch (outcome) {
			case 'answered':
				this.suspensionMs = INITIAL_SUSPENSION_MS;
				this.suspendedUntil = 0;
				break;
			case 'unreachable':
			case 'silent':
				this.suspendedUntil = now + this.suspensionMs;
				this.suspensionMs = Math.min(MAXIMUM_SUSPENSION_MS, this.suspensionMs * 2);
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
	 * @returns current health of the server
	 */
	public health(now: number): EngineHealth {
		this.decay(now);
		const unusableMs = this.suspendedMs(now);
		return { usable: unusableMs === 0, failureRate: this.failureRate, unusableMs };
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns milliseconds until the suspension ends; 0 when the server is not suspended
	 */
	public suspendedMs(now: number): number {
		return Math.max(0, this.suspendedUntil - now);
	}

	private decay(now: number): void {
		if (this.failureRate > 0) {
			const decayedRate = this.failureRate * Math.exp(-Math.max(0, now - this.updatedAt) / FAILURE_DECAY_MS);
			this.failureRate = decayedRate > NEGLIGIBLE_FAILURE_RATE ? decayedRate : 0;
		}
		this.updatedAt = now;
	}
}
