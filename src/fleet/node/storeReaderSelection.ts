import type { IClock } from '../../base/common/clock.js';
import type { FleetAssignments } from '../common/fleetAssignments.js';
import type { FleetExchange } from './fleetExchange.js';

/**
 * Routers that read the store for a larger fleet. The store can refuse a third of them at the same time, and all nine
 * are refused then once in 20,000 times.
 */
const STORE_READERS = 9;

/** While nobody can read the store, twice as many routers try after each such time. Outages of the store last longer. */
const WIDENING_INTERVAL_MS = 2_000;

/**
 * Each call to the store is paid for, so in a larger fleet a few routers read it and the others learn from them. When
 * none of these can, more and more of the others try, since the store may be refusing just these.
 *
 * Load pattern: the store is away for some seconds, in which 195 routers would call it several hundred times a second.
 */
export class StoreReaderSelection {
	private unreadSince: number | undefined;

	private constructor(
		private readonly duties: FleetAssignments,
		private readonly exchange: FleetExchange,
		private readonly clock: IClock,
	) {}

	/**
	 * @param duties which routers do what
	 * @param exchange tells whether others read the store
	 * @param clock measures how long nobody reads it
	 * @returns the choice of this router
	 */
	public static create(duties: FleetAssignments, exchange: FleetExchange, clock: IClock): StoreReaderSelection {
		return new StoreReaderSelection(duties, exchange, clock);
	}

	/** Whether this router reads the store now. */
	public get isReader(): boolean {
		return !this.duties.isLargeFleet || this.duties.isAssigned('store', this.wantedReaders());
	}

	private wantedReaders(): number {
		if (this.exchange.isStoreReadByPeers) {
			this.unreadSince = undefined;
			return STORE_READERS;
		}
		const now = this.clock.now();
		this.unreadSince ??= now;
		return STORE_READERS * 2 ** Math.floor((now - this.unreadSince) / WIDENING_INTERVAL_MS);
	}
}
