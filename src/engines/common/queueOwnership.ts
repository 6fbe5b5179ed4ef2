import { shortKey } from '../../base/common/shortKey.js';

/** Says which routers keep the queues of which backend servers. */
export interface IQueueOwnership {
	/**
	 * @param server identifier of a server
	 * @returns whether this router keeps its queue, and so hears of all its placements
	 */
	ownsQueueOf(server: string): boolean;
	/**
	 * @param server identifier of a server
	 * @returns the group of servers whose queues are kept together; a server of its own where all routers keep all queues
	 */
	queueGroupOf(server: string): number;
}

/** For a router that hears of all placements. */
export const fullQueueOwnership: IQueueOwnership = { ownsQueueOf: () => true, queueGroupOf: shortKey };
