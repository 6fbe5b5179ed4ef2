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

/** Dependencies of the slot service. */
export interface SlotServiceOptions {
	readonly local: LocalEntry;
	readonly configuration: IConfigurationService;
	readonly membership: IMembershipService;
	readonly network: IPeerNetwork;
	/**
	 * @param backendServer identifier in the configuration
	 * @param configured its number of slots in the configuration
	 * @returns number of requests it may have in progress now
	 */
	readonly slotLimit: (backendServer: string, configured: number) => number;
	/** @param backendServer identifier of a server of which an entry has reported a failure */
	readonly onBackendFailure: (backendServer: string) => void;
}

/** Metrics of one pool at this router, for operators. */
export interface PoolMetrics {
	readonly pool: string;
	/** Name of the router that schedules the pool according to this router's membership view. */
	readonly schedulerInstance: string;
	readonly entry: EntryMetrics;
	/** Undefined when another router schedules the pool. */
	readonly scheduler: SchedulerMetrics | undefined;
	/** Time for which the pool was contended while this router scheduled it, in milliseconds. */
	readonly contendedMs: number;
}
