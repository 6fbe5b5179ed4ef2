import type { Event } from '../../base/common/event.js';

/** A router that can take work and roles. */
export interface RouterStatus {
	readonly instance: string;
	/** Process of the router. */
	readonly incarnation: string;
	readonly failureDomain: string;
	readonly configurationVersion: number;
	/** This process itself. */
	readonly local: boolean;
}

/** Which routers and backend servers are live, leaving or unknown. */
export interface IMembershipService {
	/** Fires with the live routers when they or the leaving backend servers changed. */
	readonly onDidChange: Event<readonly RouterStatus[]>;
	/** @returns routers that are connected and not leaving, this one included unless it is leaving */
	liveRouters(): readonly RouterStatus[];
	/** @returns number of listed routers whose stream ended and that may still run, such as behind a partition */
	countUnreachableRouters(): number;
	/**
	 * @param key what needs an owner, such as the identifier of a pool
	 * @returns name of the live router that owns it by rendezvous hash
	 */
	ownerOf(key: string): string;
	/**
	 * @param backendServer identifier in the configuration
	 * @returns whether the instance list shows it as leaving
	 */
	isLeaving(backendServer: string): boolean;
	/** @returns whether the list was read once or a peer connected, and every listed router was connected or tried */
	isInitialized(): boolean;
}
