import type { IClock } from '../../base/common/clock.js';

/** Backend servers that have just refused this router's requests or could not be reached. */
export class ServerCooldowns {
	private readonly avoidedUntil = new Map<string, number>();

	private constructor(private readonly clock: IClock) {}

	/**
	 * @param clock measures the periods
	 * @returns a register that avoids no server
	 */
	public static create(clock: IClock): ServerCooldowns {
		return new ServerCooldowns(clock);
	}

	/**
	 * @param backendServer identifier in the configuration
	 * @param periodMs milliseconds from now
	 */
	public start(backendServer: string, periodMs: number): void {
		this.avoidedUntil.set(backendServer, this.clock.now() + periodMs);
	}

	/**
	 * @param backendServer identifier in the configuration
	 * @returns milliseconds for which the server is still to be avoided; 0 when it may be used
	 */
	public remainingMs(backendServer: string): number {
		const until = this.avoidedUntil.get(backendServer);
		if (until === undefined) {
			return 0;
		}
		const left = until - this.clock.now();
		if (left <= 0) {
			this.avoidedUntil.delete(backendServer);
		}
		return Math.max(0, left);
	}
}
