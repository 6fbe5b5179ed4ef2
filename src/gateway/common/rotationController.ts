/** Overload must last this long. Shorter peaks end before the load balancer can detect that the router is not ready. */
const MINIMUM_OVERLOAD_MS = 200;

/**
 * A router returns to the rotation after this long without overload, since the load balancer detects a change after two
 * health checks.
 */
const RECOVERY_MS = 3_000;

/** Maximum fraction of a failure domain's routers, including this one, that may be out of rotation for overload. */
const MAXIMUM_OUT_OF_ROTATION_FRACTION = 0.25;

/** Retry delay in milliseconds for a refused caller whose next connection goes to another router. */
export const REROUTED_RETRY_MS = 50;

/** Random addition to the retry delay of refused callers, so that they do not reach the next router simultaneously. */
const RETRY_JITTER_MS = 400;

/**
 * Decides when a router leaves the load balancer's rotation because it receives more than its CPU can process. Out of
 * rotation, it continues to serve its open connections, and closes those whose requests it refuses, so that their
 * callers connect to another router. It returns to the rotation when the overload has ended.
 *
 * Load pattern: the load balancer chooses a router by a hash of the caller, and one caller sends several times what a
 * router can process. A refused request is retried on a new connection, which doubles the load unless the connection
 * goes to another router.
 */
export class RotationController {
	private overloadedSince: number | undefined;
	private lastOverloadedAt = -Infinity;
	private outOfRotationSince: number | undefined;

	private constructor(private readonly balancerDelayMs: number) {}

	/**
	 * @param balancerDelayMs maximum time in milliseconds until the load balancer detects that a router is not ready
	 * @returns the controller of a router that is in rotation
	 */
	public static create(balancerDelayMs: number): RotationController {
		return new RotationController(balancerDelayMs);
	}

	/** Whether the router is out of rotation. */
	public get isRelieved(): boolean {
		return this.outOfRotationSince !== undefined;
	}

	/**
	 * Updates the decision.
	 *
	 * @param isOverloaded whether the router receives more than it can process
	 * @param neighbours returns whether each other router that serves callers in the failure domain is out of rotation
	 * @param now monotonic milliseconds
	 * @returns whether the decision has changed
	 */
	public update(isOverloaded: boolean, neighbours: () => readonly boolean[], now: number): boolean {
		this.overloadedSince = isOverloaded ? (this.overloadedSince ?? now) : undefined;
		this.lastOverloadedAt = isOverloaded ? now : this.lastOverloadedAt;
		if (this.outOfRotationSince !== undefined) {
			const hasRecovered = now - this.lastOverloadedAt >= RECOVERY_MS;
			this.outOfRotationSince = hasRecovered ? undefined : this.outOfRotationSince;
			return hasRecovered;
		}
		const isDue = this.overloadedSince !== undefined && now - this.overloadedSince >= MINIMUM_OVERLOAD_MS;
		if (!isDue || !mayLeaveRotation(neighbours())) {
			return false;
		}
		this.outOfRotationSince = now;
		return true;
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns whether the load balancer has detected that the router is out of rotation, and no longer connects to it
	 */
	public isDetectedByBalancer(now: number): boolean {
		return this.outOfRotationSince !== undefined && now - this.outOfRotationSince >= this.balancerDelayMs;
	}

	/**
	 * @param now monotonic milliseconds
	 * @param random number from 0 to 1
	 * @returns milliseconds after which the caller of a refused request may retry; if this router is out of rotation, the
	 * load balancer sends the retry to another router
	 */
	public retryAfterMs(now: number, random: number): number {
		if (this.outOfRotationSince === undefined || this.isDetectedByBalancer(now)) {
			return REROUTED_RETRY_MS;
		}
		return this.outOfRotationSince + this.balancerDelayMs - now + random * RETRY_JITTER_MS;
	}
}

function mayLeaveRotation(neighbours: readonly boolean[]): boolean {
	const outOfRotation = neighbours.filter((isRelieved) => isRelieved).length + 1;
	return outOfRotation <= (neighbours.length + 1) * MAXIMUM_OUT_OF_ROTATION_FRACTION;
}
