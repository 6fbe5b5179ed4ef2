import type { SocketAddress } from '../../settings/common/settings.js';

/** Another router of the failure domain that serves callers. */
export interface Neighbour {
	readonly instance: string;
	/** Where it takes requests of callers. */
	readonly address: SocketAddress;
	/** Whether it has left the balancer's rotation because it gets more than it can handle. */
	readonly isRelieved: boolean;
}

/** A router that could not take a request is not asked again for this long; its guard follows its load as fast. */
const REST_MS = 1_000;

/** Chooses the routers that requests are handed over to. */
export class NeighbourSelector {
	private readonly restUntil = new Map<string, number>();

	private constructor(
		private readonly serving: () => readonly Neighbour[],
		private readonly random: () => number,
	) {}

	/**
	 * @param serving finds the other routers of the failure domain that serve callers
	 * @param random numbers from 0 to 1
	 * @returns neighbours, all of which may be asked
	 */
	public static create(serving: () => readonly Neighbour[], random: () => number = Math.random): NeighbourSelector {
		return new NeighbourSelector(serving, random);
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns a router to ask; undefined when there is none that may have room
	 */
	public select(now: number): Neighbour | undefined {
		const able = this.able(now);
		return able[Math.floor(this.random() * able.length)];
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns whether a router can be asked
	 */
	public hasAvailable(now: number): boolean {
		return this.able(now).length > 0;
	}

	/** @returns for each router whether it is out of the balancer's rotation for relief */
	public areRelieved(): readonly boolean[] {
		return this.serving().map(({ isRelieved }) => isRelieved);
	}

	/**
	 * Notes that a router could not take a request.
	 *
	 * @param instance its name
	 * @param now monotonic milliseconds
	 */
	public rest(instance: string, now: number): void {
		this.restUntil.set(instance, now + REST_MS);
	}

	private able(now: number): readonly Neighbour[] {
		for (const [instance, until] of this.restUntil) {
			if (now >= until) {
				this.restUntil.delete(instance);
			}
		}
		return this.serving().filter(({ instance, isRelieved }) => !isRelieved && !this.restUntil.has(instance));
	}
}
