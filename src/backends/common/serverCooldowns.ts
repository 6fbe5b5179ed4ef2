import type { IClock } from '../../base/common/clock.js';

/** Backend servers that this router does not use for a while after a refused request or a failed connection. */
export class ServerCooldowns {
	private readonly cooldownEnds = new Map<string, number>();

	private constructor(private readonly clock: IClock) {}

	/**
	 * @param clock measures the periods
	 * @returns a registry in which all servers may be used
	 */
	public static create(clock: IClock): ServerCooldowns {
		return new ServerCooldowns(clock);
	}

	/**
	 * @param backendServer identifier in the configuration
	 * @param periodMs duration in milliseconds, starting now
	 */
	public start(backendServer: string, periodMs: number): void {
		this.cooldownEnds.set(backendServer, this.clock.now() + periodMs);
	}

	/**
	 * @param backendServer identifier in the configuration
	 * @returns milliseconds until the server may be used; 0 when it may be used now
	 */
	public remainingMs(backendServer: string): number {
		const until = this.cooldownEnds.get(backendServer);
		if (until === undefined) {
			return 0;
		}
		const left = until - this.clock.now();
		if (left <= 0) {
			this.cooldownEnds.delete(backendServer);
		}
		return Math.max(0, left);
	}
}
