/** A customer that is entitled to a share of the capacity. */
export interface ClientAccount {
	readonly id: string;
	/** Weight relative to other accounts; greater than 0. */
	readonly share: number;
	/** SHA-256 digests (hexadecimal) of the tokens that authenticate the account. */
	readonly tokenDigests: readonly string[];
	/** Identifiers of the services the account may call. */
	readonly services: readonly string[];
}

/** Pattern for calls of a service, with whether they may be repeated. */
export interface Operation {
	readonly method: string;
	/** Path below the service, such as `/orders`; a trailing `*` matches any suffix. */
	readonly path: string;
	readonly idempotent: boolean;
}

/** Protocol of the backend servers of a service, which also determines the cost unit. */
export type ServiceKind = 'model-engine' | 'plain';

/** A service for callers, offered by every backend server of one pool. */
export interface Service {
	readonly id: string;
	readonly pool: string;
	readonly kind: ServiceKind;
	/** The first match applies. A call without a match is treated as not idempotent, unless its HTTP method is safe. */
	readonly operations: readonly Operation[];
	/** Whether the model engines of this service can resume an interrupted stream from `Last-Event-ID`. */
	readonly resumable: boolean;
	/** Maximum size of a request body in bytes. */
	readonly maximumBodyBytes: number;
}

/** Backend servers that offer the same services; client accounts share capacity within a pool. */
export interface Pool {
	readonly id: string;
	/** How far above the floor an entry may reuse a slot, in units of the mean request cost. */
	readonly slack: number;
}

/** A model engine or application server. */
export interface BackendServer {
	readonly id: string;
	readonly pool: string;
	/** Base URL with an IP address, such as `http://10.0.0.7:8000`. */
	readonly url: string;
	/** Maximum number of requests in progress at the server. */
	readonly slots: number;
	/** Whether the server refuses calls with an outdated fencing number. */
	readonly checksFencing: boolean;
}

/** The part of a configuration that operators define. */
export interface ConfigurationContent {
	readonly accounts: readonly ClientAccount[];
	readonly services: readonly Service[];
	readonly pools: readonly Pool[];
	readonly backendServers: readonly BackendServer[];
}

/** An accepted configuration. Unchanged items keep their object identity from one version to the next. */
export interface Configuration extends ConfigurationContent {
	/** Increases by one with each accepted change. */
	readonly version: number;
}
