import { shortKey } from '../../base/common/shortKey.js';

/** Determines which routers own the queues of which backend servers. */
export interface IQueueOwnership {
	/**
	 * @param server identifier of a server
	 * @returns whether this router owns the queue and therefore is notified of all placements on the server
	 */
	ownsQueueOf(server: string): boolean;
	/**
	 * @param server identifier of a server
	 * @returns queue group, whose servers' queues have the same owner; one group per server if every router owns all queues
	 */
	queueGroupOf(server: string): number;
	/** Whether every router owns all queues; by default, each queue has one owner. */
	readonly isShared?: boolean;
}

/** Used by a router that is notified of all placements. */
export const fullQueueOwnership: IQueueOwnership = { ownsQueueOf: () => true, queueGroupOf: shortKey, isShared: true };
