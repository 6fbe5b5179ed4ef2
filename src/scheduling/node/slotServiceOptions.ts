import type { IConfigurationService } from '../../configuration/common/configurationService.js';
import type { IMembershipService } from '../../membership/common/membershipService.js';
import type { IPeerNetwork } from '../../peers/common/peerNetwork.js';
import type { EntryMetrics } from '../common/poolEntry.js';
import type { SchedulerMetrics } from '../common/poolScheduler.js';

/** Identity of this router. */
export interface LocalEntry {
	readonly instance: string;
	readonly incarnation: string;
}

/** What the slot service is built from. */
export interface SlotServiceOptions {
	readonly local: LocalEntry;
	readonly configuration: IConfigurationService;
	readonly membership: IMembershipService;
	readonly network: IPeerNetwork;
	/**
	 * @param backendServer identifier in the configuration
	 * @param configured its slots in the configuration
	 * @returns requests it may have in progress now
	 */
	readonly slotLimit: (backendServer: string, configured: number) => number;
	/** @param backendServer server that an entry saw fail */
	readonly onBackendFailure: (backendServer: string) => void;
}

/** Figures of one pool on this router, for operators. */
export interface PoolMetrics {
	readonly pool: string;
	/** Name of the router that schedules the pool, as far as this router knows. */
	readonly schedulerInstance: string;
	readonly entry: EntryMetrics;
	/** Absent when another router schedules the pool. */
	readonly scheduler: SchedulerMetrics | undefined;
	/** Time for which this router saw the pool contended as its scheduler, in milliseconds. */
	readonly contendedMs: number;
}
