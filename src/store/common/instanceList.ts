import type { Effect } from 'effect';

/** An instance as the platform's list shows it, possibly late. */
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

/** The list could not be read. */
export interface InstanceListError {
	readonly message: string;
}

/** The platform's list of live and leaving instances. */
export interface IInstanceList {
	/** @returns the list as the platform shows it now */
	fetch(): Effect.Effect<readonly ListedInstance[], InstanceListError>;
}
