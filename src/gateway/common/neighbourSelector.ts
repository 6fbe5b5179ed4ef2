import type { SocketAddress } from '../../settings/common/settings.js';

/** Another router in the same failure domain that serves callers. */
export interface Neighbour {
	readonly instance: string;
	/** Address on which it accepts requests from callers. */
	readonly address: SocketAddress;
	/** Whether it is out of the load balancer's rotation because of overload. */
	readonly isRelieved: boolean;
}

/** Time without further requests for a router that could not take one; its load shedder adapts within this time. */
const BACKOFF_MS = 1_000;

/** Selects the routers to which requests are handed over. */
export class NeighbourSelector {
	private readonly backoffUntil = new Map<string, number>();

	private constructor(
		private readonly serving: () => readonly Neighbour[],
		private readonly random: () => number,
	) {}

	/**
	 * @param serving returns the other routers in the failure domain that serve callers
	 * @param random returns numbers from 0 to 1
	 * @returns a selector without routers in backoff
	 */
	public static create(serving: () => readonly Neighbour[], random: () => number = Math.random): NeighbourSelector {
		return new NeighbourSelector(serving, random);
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns a router to which a request can be handed over; undefined when none is available
	 */
	public select(now: number): Neighbour | undefined {
		const available = this.available(now);
		return available[Math.floor(this.random() * available.length)];
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns whether a request can be handed over to any router
	 */
	public hasAvailable(now: number): boolean {
		return this.available(now).length > 0;
	}

	/**
	 * @param host IP address
	 * @returns whether it is the address of another router in the failure domain
	 */
	public hasAddress(host: string): boolean {
		return this.serving().some(({ address }) => address.host === host);
	}

	/** @returns for each router, whether it is out of the load balancer's rotation because of overload */
	public areOutOfRotation(): readonly boolean[] {
		return this.serving().map(({ isRelieved }) => isRelieved);
	}

	/**
	 * Excludes a router for a while because it could not take a request.
	 *
	 * @param instance name of the router
	 * @param now monotonic milliseconds
	 */
	public rest(instance: string, now: number): void {
		this.backoffUntil.set(instance, now + BACKOFF_MS);
	}

	private available(now: number): readonly Neighbour[] {
		for (const [instance, until] of this.backoffUntil) {
			if (now >= until) {
				this.backoffUntil.delete(instance);
			}
		}
		return this.serving().filter(({ instance, isRelieved }) => !isRelieved && !this.backoffUntil.has(instance));
	}
}
