import { shortKey } from '../../base/common/shortKey.js';
import type { Configuration } from '../../configuration/common/model.js';
import type { PoolLimits } from '../common/poolScheduler.js';

/**
 * Computes the limits within which a scheduler leases slots.
 *
 * @param configuration configuration in force
 * @param poolId identifier of the pool
 * @param slotLimit number of requests that a backend server may have in progress now
 * @param proportion fraction of the slots that this side of a network partition may lease; each side leases its
 *   fraction, so that together they respect the slot limits
 * @param shareOf share by short key of the account
 * @returns the limits; no slots when the pool is not configured
 */
export function computeLimits(
	configuration: Configuration | undefined,
	poolId: string,
	slotLimit: (backendServer: string, configured: number) => number,
	proportion: number,
	shareOf: (account: number) => number | undefined,
): PoolLimits {
	const pool = configuration?.pools.find((item) => item.id === poolId);
	const slotLimits = new Map<number, number>();
	for (const server of configuration?.backendServers ?? []) {
		if (server.pool === poolId) {
			const limit = slotLimit(server.id, server.slots);
			slotLimits.set(shortKey(server.id), limit > 0 ? Math.max(1, Math.floor(limit * proportion)) : 0);
		}
	}
	return { slack: pool?.slack ?? 0, slotLimits, shareOf };
}
