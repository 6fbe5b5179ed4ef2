import type { IClock } from '../../base/common/clock.js';
import type { FleetAssignments } from '../common/fleetAssignments.js';
import type { FleetExchange } from './fleetExchange.js';

/**
 * Number of routers that read the store in a large fleet. The store can refuse a third of the routers at the same time;
 * all nine readers are then among them in one of 20,000 cases.
 */
const STORE_READERS = 9;

/**
 * Number of these that watch the store at short intervals; the store can refuse all of them at the same time in one of 28
 * cases, and the other readers notice changes later then.
 */
const FREQUENT_STORE_READERS = 3;

/**
 * While no router can read the store, the number of routers that try doubles after each such interval. Outages of the
 * store last longer than that.
 */
const DOUBLING_INTERVAL_MS = 2_000;

/**
 * Decides whether this router reads the store. Each call to the store is charged, so in a large fleet a few routers
 * read it and the others receive its content from them. While none of these can read it, more and more of the others
 * try, since the store may be refusing just these.
 *
 * Load pattern: the store is unavailable for some seconds, in which 195 routers would call it several hundred times a
 * second.
 */
export class StoreReaderSelection {
	private unreadSince: number | undefined;

	private constructor(
		private readonly assignments: FleetAssignments,
		private readonly exchange: FleetExchange,
		private readonly clock: IClock,
	) {}

	/**
	 * @param assignments of the fleet
	 * @param exchange reports whether other routers read the store
	 * @param clock measures for how long no router has read it
	 * @returns the decision for this router
	 */
	public static create(assignments: FleetAssignments, exchange: FleetExchange, clock: IClock): StoreReaderSelection {
		return new StoreReaderSelection(assignments, exchange, clock);
	}

	/** Whether this router reads the store now. */
	public get isReader(): boolean {
		return !this.assignments.isLargeFleet || this.assignments.isAssigned('store', this.requiredReaders());
	}

	/** Whether this router watches the store at short intervals, if it reads it. */
	public get isFrequentReader(): boolean {
		return this.assignments.isAssigned('store', FREQUENT_STORE_READERS);
	}

	private requiredReaders(): number {
		if (this.exchange.isStoreReadByPeers) {
			this.unreadSince = undefined;
			return STORE_READERS;
		}
		const now = this.clock.now();
		this.unreadSince ??= now;
		return STORE_READERS * 2 ** Math.floor((now - this.unreadSince) / DOUBLING_INTERVAL_MS);
	}
}
