/** A customer with a share of capacity. */
export interface ClientAccount {
	readonly id: string;
	/** Weight relative to other accounts; greater than 0. */
	readonly share: number;
	/** SHA-256 digests (hexadecimal) of the tokens that authenticate the account. */
	readonly tokenDigests: readonly string[];
	/** Identifiers of the services the account may call. */
	readonly services: readonly string[];
}

/** Calls of a service that may be repeated or not. */
export interface Operation {
	readonly method: string;
	/** Path below the service, such as `/orders`; a trailing `*` matches any rest. */
	readonly path: string;
	readonly idempotent: boolean;
}

/** What backend servers of a service speak, which also decides the cost unit. */
export type ServiceKind = 'model-engine' | 'plain';

/** Something callers can call, offered by every backend server of one pool. */
export interface Service {
	readonly id: string;
	readonly pool: string;
	readonly kind: ServiceKind;
	/** The first match counts. A call that matches none is treated as not idempotent, unless its method is safe. */
	readonly operations: readonly Operation[];
	/** Model engines of this service continue a broken stream from `Last-Event-ID`. */
	readonly resumable: boolean;
	/** Largest request body in bytes. */
	readonly maximumBodyBytes: number;
}

/** Backend servers that offer the same services; client accounts share capacity within a pool. */
export interface Pool {
	readonly id: string;
	/** How far above the floor an entry may reuse a slot, in mean request costs. */
	readonly slack: number;
}

/** One engine or application server. */
export interface BackendServer {
	readonly id: string;
	readonly pool: string;
	/** Base URL with an IP address, such as `http://10.0.0.7:8000`. */
	readonly url: string;
	/** Requests it may have in progress. */
	readonly slots: number;
	/** The server refuses orders that carry an old fencing number. */
	readonly checksFencing: boolean;
}

/** Everything operators decide. */
export interface ConfigurationContent {
	readonly accounts: readonly ClientAccount[];
	readonly services: readonly Service[];
	readonly pools: readonly Pool[];
	readonly backendServers: readonly BackendServer[];
}

/** Accepted content. Items that did not change keep their object identity from one version to the next. */
export interface Configuration extends ConfigurationContent {
	/** Grows by one with each accepted change. */
	readonly version: number;
}
