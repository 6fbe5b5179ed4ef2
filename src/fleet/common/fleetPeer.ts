import type { SocketAddress } from '../../settings/common/settings.js';

/** What is known of another router, from its own datagrams or from those of a third router. */
export interface FleetPeer {
	readonly instance: string;
	readonly incarnation: number;
	readonly failureDomain: string;
	/** Address for requests between routers. */
	readonly peerAddress: SocketAddress;
	readonly datagramAddress: SocketAddress;
	readonly leaving: boolean;
	/** Whether the peer is out of the load balancer's rotation because it receives more than it can handle. */
	readonly isRelieved: boolean;
	/** Monotonic milliseconds at which its last datagram arrived, at this router or at the one that reports it. */
	readonly heardAt: number;
	/**
	 * Revision of the last store change that the peer knows, for each store prefix that it follows; empty while only
	 * other routers have reported the peer.
	 */
	readonly followedRevisions: readonly number[];
	readonly lost: boolean;
	/** Monotonic milliseconds since which the peer has been reading the registrations; undefined while it cannot. */
	readonly contactSince: number | undefined;
	/** Sequence number of its last known datagram. */
	readonly sequence: number;
}

/**
 * @param peer a router
 * @returns whether the router accepts requests of callers and can own queues
 */
export function isServing({ lost, leaving }: FleetPeer): boolean {
	return !lost && !leaving;
}
