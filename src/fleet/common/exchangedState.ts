import type { Suspects } from '../../backends/common/suspectRegistry.js';
import type { EngineFleet } from '../../engines/common/engineFleet.js';
import type { SocketAddress } from '../../settings/common/settings.js';
import type { FleetShares } from '../../shares/common/fleetShares.js';
import type { FleetAssignments } from './fleetAssignments.js';

/** Identity and addresses of a router, sent in each of its datagrams. */
export interface RouterIdentity {
	readonly instance: string;
	readonly failureDomain: string;
	readonly peerAddress: SocketAddress;
	readonly datagramAddress: SocketAddress;
}

/** Components of a router whose state is exchanged with its peers. */
export interface ExchangedState {
	readonly engines: EngineFleet;
	readonly shares: FleetShares;
	/** Returns the revision of the last store change that this router knows, for each store prefix that it follows. */
	readonly followedRevisions: () => readonly number[];
	/** What may crash servers, by kind. */
	readonly suspects: Suspects;
	/** Determines which router owns the queue of a server. */
	readonly assignments: FleetAssignments;
	/** Returns whether this router is out of the load balancer's rotation because it receives more than it can handle. */
	readonly isRelieved: () => boolean;
	/**
	 * Returns the monotonic milliseconds since which this router has been reading the server registrations; undefined
	 * while it cannot.
	 */
	readonly contactSince: () => number | undefined;
}
