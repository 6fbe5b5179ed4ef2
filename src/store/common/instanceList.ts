import type { Effect } from 'effect';

/** An instance as listed by the platform. The list may lag behind the actual state. */
export interface ListedInstance {
	/** Name of the instance; for a backend server its identifier in the configuration. */
	readonly name: string;
	readonly role: 'router' | 'backend';
	/** `host:port`; for routers their peer address. */
	readonly address: string;
	readonly failureDomain: string;
	readonly leaving: boolean;
	/** `host:port` of a router's admin address, from the label `admin`. */
	readonly adminAddress?: string;
}

/** The instance list could not be read. */
export interface InstanceListError {
	readonly message: string;
}

/** Client of the platform's list of live and leaving instances. */
export interface IInstanceList {
	/** @returns the current list */
	fetch(): Effect.Effect<readonly ListedInstance[], InstanceListError>;
}
