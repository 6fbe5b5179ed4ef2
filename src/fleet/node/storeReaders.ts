import type { FleetDuties } from '../common/fleetDuties.js';
import type { FleetExchange } from './fleetExchange.js';

/**
 * Routers that read the store for a larger fleet. The store can refuse a third of them at the same time, and all nine
 * are refused then once in 20,000 times.
 */
const STORE_READERS = 9;

/**
 * Each call to the store is paid for, so in a larger fleet a few routers read it and the others learn from them. When
 * none of these can, the others try.
 *
 * @param duties which routers do what
 * @param exchange tells whether others read the store
 * @returns whether this router reads it
 */
export function isStoreReader(duties: FleetDuties, exchange: FleetExchange): boolean {
	return !duties.isLargeFleet || duties.isAmong('store', STORE_READERS) || !exchange.isReadByPeers;
}
