/** Shorter peaks are over before the balancer could notice that the router is not ready. */
const EXHAUSTED_FOR_MS = 200;

/** A router comes back when it has had room for this long, since the balancer notices a change after two questions. */
const CALM_FOR_MS = 3_000;

/** Part of the routers of a failure domain that may be out of the rotation for relief, with this one. */
const LARGEST_RELIEVED_PART = 0.25;

/** Time after which a refused caller may return that the balancer sends to another router. */
export const REROUTED_RETRY_MS = 50;

/** Time over which the returns of refused callers are spread, so that they do not meet the next router together. */
const RETURN_SPREAD_MS = 400;

/**
 * Decides when a router leaves the balancer's rotation because it gets more than its processor can handle. It goes on
 * serving its open connections, and closes those whose requests it refuses, so that their callers connect to another
 * router. It comes back when it has room.
 *
 * Load pattern: the balancer chooses a router by a hash of the caller, and one caller sends several times what a router
 * can handle. A refused request comes back on a new connection, which doubles the load unless another router gets it.
 */
export class RotationController {
	private exhaustedSince: number | undefined;
	private exhaustedAt = -Infinity;
	private relievedSince: number | undefined;

	private constructor(private readonly balancerDelayMs: number) {}

	/**
	 * @param balancerDelayMs longest time in milliseconds in which the balancer notices that a router is not ready
	 * @returns the decision of a router that has just started
	 */
	public static create(balancerDelayMs: number): RotationController {
		return new RotationController(balancerDelayMs);
	}

	/** Whether the router is out of the rotation. */
	public get isRelieved(): boolean {
		return this.relievedSince !== undefined;
	}

	/**
	 * @param isExhausted whether the router gets more than it can handle
	 * @param neighbours tells for each other router of the failure domain that serves whether it is out of the rotation
	 * @param now monotonic milliseconds
	 * @returns whether the decision has changed
	 */
	public update(isExhausted: boolean, neighbours: () => readonly boolean[], now: number): boolean {
		this.exhaustedSince = isExhausted ? (this.exhaustedSince ?? now) : undefined;
		this.exhaustedAt = isExhausted ? now : this.exhaustedAt;
		if (this.relievedSince !== undefined) {
			const isOver = now - this.exhaustedAt >= CALM_FOR_MS;
			this.relievedSince = isOver ? undefined : this.relievedSince;
			return isOver;
		}
		const isDue = this.exhaustedSince !== undefined && now - this.exhaustedSince >= EXHAUSTED_FOR_MS;
		if (!isDue || !mayLeave(neighbours())) {
			return false;
		}
		this.relievedSince = now;
		return true;
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns whether the balancer sends new connections to other routers
	 */
	public isDetectedByBalancer(now: number): boolean {
		return this.relievedSince !== undefined && now - this.relievedSince >= this.balancerDelayMs;
	}

	/**
	 * @param now monotonic milliseconds
	 * @param random number from 0 to 1
	 * @returns milliseconds after which the caller of a refused request may return, when the balancer sends it elsewhere
	 */
	public retryAfterMs(now: number, random: number): number {
		if (this.relievedSince === undefined || this.isDetectedByBalancer(now)) {
			return REROUTED_RETRY_MS;
		}
		return this.relievedSince + this.balancerDelayMs - now + random * RETURN_SPREAD_MS;
	}
}

function mayLeave(neighbours: readonly boolean[]): boolean {
	const relieved = neighbours.filter((isRelieved) => isRelieved).length + 1;
	return relieved <= (neighbours.length + 1) * LARGEST_RELIEVED_PART;
}
