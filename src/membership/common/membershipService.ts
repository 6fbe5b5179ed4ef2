import type { Event } from '../../base/common/event.js';

/** A live router, which can take requests and roles. */
export interface RouterStatus {
	readonly instance: string;
	/** Random identifier of the router's process. */
	readonly incarnation: string;
	readonly failureDomain: string;
	readonly configurationVersion: number;
	/** Whether it is the router of this process. */
	readonly local: boolean;
}

/** Determines which routers are live or unreachable and which backend servers are leaving. */
export interface IMembershipService {
	/** Fires with the live routers when they or the leaving backend servers changed. */
	readonly onDidChange: Event<readonly RouterStatus[]>;
	/** @returns routers that are connected and not leaving, this one included unless it is leaving */
	liveRouters(): readonly RouterStatus[];
	/** @returns number of listed routers whose stream ended but that may still be running, such as behind a partition */
	countUnreachableRouters(): number;
	/**
	 * @param key key that needs an owner, such as the identifier of a pool
	 * @returns name of the live router that owns it by rendezvous hash
	 */
	ownerOf(key: string): string;
	/**
	 * @param backendServer identifier in the configuration
	 * @returns whether the instance list shows it as leaving
	 */
	isLeaving(backendServer: string): boolean;
	/**
	 * @returns whether the instance list has been read once or a peer is connected, and every listed router has been
	 *   connected or its connection has been attempted
	 */
	isInitialized(): boolean;
}
