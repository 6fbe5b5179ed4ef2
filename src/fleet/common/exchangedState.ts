import type { CrashSuspects } from '../../backends/common/crashSuspects.js';
import type { EngineFleet } from '../../engines/common/engineFleet.js';
import type { SocketAddress } from '../../settings/common/settings.js';
import type { FleetShares } from '../../shares/common/fleetShares.js';
import type { FleetAssignments } from './fleetAssignments.js';

/** What a router tells its peers about itself. */
export interface RouterIdentity {
	readonly instance: string;
	readonly failureDomain: string;
	readonly peerAddress: SocketAddress;
	readonly datagramAddress: SocketAddress;
}

/** Parts of the router whose state is exchanged. */
export interface ExchangedState {
	readonly engines: EngineFleet;
	readonly shares: FleetShares;
	/** Newest change that is known, by followed prefix. */
	readonly followedRevisions: () => readonly number[];
	readonly suspects: CrashSuspects;
	/** Which router keeps the queue of a server. */
	readonly assignments: FleetAssignments;
	/** Whether this router has left the balancer's rotation because it gets more than it can handle. */
	readonly isRelieved: () => boolean;
	/** Monotonic milliseconds since which this router has read the registrations; undefined while it cannot. */
	readonly contactSince: () => number | undefined;
}
