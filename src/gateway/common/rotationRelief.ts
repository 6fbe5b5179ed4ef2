/** Load of another router of the same failure domain. */
export interface NeighbourLoad {
	/** Mean part of the time for which its event loop works, from 0 to 1. */
	readonly utilization: number;
	/** Whether it has left the rotation for relief. */
	readonly isRelieved: boolean;
}

/** Part of the time for which the event loop works when the processor is exhausted. */
const EXHAUSTED_UTILIZATION = 0.9;

/** Part of the time from which the router has room again. */
const CALM_UTILIZATION = 0.5;

/** The balancer asks once a second, so that shorter peaks are over before it could notice. */
const EXHAUSTED_FOR_MS = 1_000;

/** Time out of the rotation at least, since the balancer notices after two questions. */
const LEAST_RELIEF_MS = 3_000;

/** Time out of the rotation at most: a router that is still exhausted then is so by what it has itself. */
const LONGEST_RELIEF_MS = 4_000;

/** Time between two times out of the rotation, so that the balancer can count on a router for most of the time. */
const BETWEEN_RELIEFS_MS = 30_000;

/** Routers of the failure domain that must have room, since one of them gets the connections instead. */
const LEAST_NEIGHBOURS = 4;

/** Part of the routers of a failure domain that may be out of the rotation for relief, with this one. */
const LARGEST_RELIEVED_PART = 0.25;

/**
 * Decides when a router leaves the balancer's rotation for some seconds because it gets more than it can do while its
 * neighbours are idle. It goes on serving.
 *
 * Load pattern: a balancer chooses the router by a hash of the caller, and one caller sends half of all requests. Its
 * connections then go to one router after the other, and several work for it at a time.
 */
export class RotationRelief {
	private exhaustedSince: number | undefined;
	private relievedSince: number | undefined;
	private endedAt = -Infinity;

	private constructor() {}

	/** @returns the decision of a router that has just started */
	public static create(): RotationRelief {
		return new RotationRelief();
	}

	/** Whether the router is out of the rotation. */
	public get isRelieved(): boolean {
		return this.relievedSince !== undefined;
	}

	/**
	 * @param utilization mean part of the time for which the event loop works, from 0 to 1
	 * @param neighbours the other routers of the failure domain that serve
	 * @param now monotonic milliseconds
	 * @returns whether the decision has changed
	 */
	public update(utilization: number, neighbours: readonly NeighbourLoad[], now: number): boolean {
		if (this.relievedSince !== undefined) {
			const relievedMs = now - this.relievedSince;
			const isOver =
				relievedMs >= LONGEST_RELIEF_MS || (relievedMs >= LEAST_RELIEF_MS && utilization <= CALM_UTILIZATION);
			if (isOver) {
				this.relievedSince = undefined;
				this.exhaustedSince = undefined;
				this.endedAt = now;
			}
			return isOver;
		}
		if (utilization < EXHAUSTED_UTILIZATION) {
			this.exhaustedSince = undefined;
			return false;
		}
		this.exhaustedSince ??= now;
		const isDue = now - this.exhaustedSince >= EXHAUSTED_FOR_MS && now - this.endedAt >= BETWEEN_RELIEFS_MS;
		if (!isDue || !hasRoom(neighbours)) {
			return false;
		}
		this.relievedSince = now;
		return true;
	}
}

function hasRoom(neighbours: readonly NeighbourLoad[]): boolean {
	const relieved = neighbours.filter(({ isRelieved }) => isRelieved).length + 1;
	const idle = neighbours.filter(({ isRelieved, utilization }) => !isRelieved && utilization <= CALM_UTILIZATION);
	return idle.length >= LEAST_NEIGHBOURS && relieved <= (neighbours.length + 1) * LARGEST_RELIEVED_PART;
}
