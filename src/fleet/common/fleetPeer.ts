import type { SocketAddress } from '../../settings/common/settings.js';

/** Another router, as it or a third one describes it. */
export interface FleetPeer {
	readonly instance: string;
	readonly incarnation: number;
	readonly failureDomain: string;
	/** Address for requests between routers. */
	readonly peerAddress: SocketAddress;
	readonly datagramAddress: SocketAddress;
	readonly leaving: boolean;
	/** Whether it has left the balancer's rotation because it gets more than it can handle. */
	readonly isRelieved: boolean;
	/** Monotonic milliseconds of its last datagram, to this router or to the one that tells of it. */
	readonly heardAt: number;
	/** Newest change that the peer knows, by followed prefix; empty when a third router tells of it. */
	readonly followedRevisions: readonly number[];
	readonly lost: boolean;
	/** Monotonic milliseconds since which the peer has read the registrations; undefined while it cannot. */
	readonly contactSince: number | undefined;
	/** Of its last datagram that is known of. */
	readonly sequence: number;
}

/**
 * @param peer a router
 * @returns whether it takes requests of callers and duties
 */
export function isServing({ lost, leaving }: FleetPeer): boolean {
	return !lost && !leaving;
}
