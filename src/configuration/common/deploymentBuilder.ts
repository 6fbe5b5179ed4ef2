import type { Result } from 'true-myth';
import type { ConfigurationFault } from './configurationFault.js';
import { validateContent } from './configurationValidation.js';
import type { BackendServer, ClientAccount, ConfigurationContent, Operation, Pool, Service } from './model.js';

const DEFAULT_SLACK = 2;
const DEFAULT_MAXIMUM_BODY_BYTES = 4_194_304;

declare const poolBrand: unique symbol;
declare const serviceBrand: unique symbol;

/** A pool that was defined; only the builder makes these. */
export interface PoolReference {
	readonly id: string;
	readonly [poolBrand]: true;
}

/** A service that was defined; only the builder makes these. */
export interface ServiceReference {
	readonly id: string;
	readonly [serviceBrand]: true;
}

/** Settings of a pool. */
export interface PoolOptions {
	/** How far above the floor a slot may be reused, in mean request costs; 2 by default. */
	readonly slack?: number;
}

/** Settings of a service. */
export interface ServiceOptions {
	/** Which calls may be repeated, see {@link idempotent} and {@link runsOnce}; the first match counts. */
	readonly calls?: readonly Operation[];
	/** Largest request body in bytes; 4 MiB by default. */
	readonly maximumBodyBytes?: number;
}

/** Settings of a service of model engines. */
export interface ModelServiceOptions extends ServiceOptions {
	/** The engines continue a broken stream from `Last-Event-ID`. */
	readonly resumable?: boolean;
}

/** Settings of a backend server. */
export interface BackendServerOptions {
	/** Base URL with an IP address. */
	readonly url: string;
	/** Requests it may have in progress. */
	readonly slots: number;
	/** The server refuses orders that carry an old fencing number. */
	readonly checksFencing: boolean;
}

/** Settings of a client account. */
export interface AccountOptions {
	/** Weight relative to other accounts, at least 1. */
	readonly share: number;
	/** SHA-256 digests of the account's tokens. */
	readonly tokenDigests: readonly string[];
	readonly services: readonly ServiceReference[];
}

/**
 * Says that calls may be repeated, such as lookups.
 *
 * @param method HTTP method
 * @param path path below the service; a trailing `*` matches any rest
 * @returns an entry for a service's `calls`
 */
export function idempotent(method: string, path: string): Operation {
	return { method, path, idempotent: true };
}

/**
 * Says that calls must run at most once, such as orders and bookings.
 *
 * @param method HTTP method
 * @param path path below the service; a trailing `*` matches any rest
 * @returns an entry for a service's `calls`
 */
export function runsOnce(method: string, path: string): Operation {
	return { method, path, idempotent: false };
}

/** Collects what operators define. A service or pool can be referred to only after it was defined. */
export class DeploymentBuilder {
	private readonly pools: Pool[] = [];
	private readonly services: Service[] = [];
	private readonly servers: BackendServer[] = [];
	private readonly accounts: ClientAccount[] = [];

	private constructor() {}

	/** @returns a builder without definitions */
	public static create(): DeploymentBuilder {
		return new DeploymentBuilder();
	}

	/**
	 * Defines a pool: backend servers that offer the same services.
	 *
	 * @param id identifier of the pool
	 * @param options settings of the pool
	 * @returns the pool, to define services and backend servers in it
	 */
	public pool(id: string, options: PoolOptions = {}): PoolReference {
		this.pools.push({ id, slack: options.slack ?? DEFAULT_SLACK });
		return { id } as PoolReference;
	}

	/**
	 * Defines a service of model engines; its cost unit is weighted tokens.
	 *
	 * @param pool the pool whose backend servers offer it
	 * @param id identifier of the service, which callers name in the URL
	 * @param options settings of the service
	 * @returns the service, to allow accounts to call it
	 */
	public modelService(pool: PoolReference, id: string, options: ModelServiceOptions = {}): ServiceReference {
		const calls = options.calls ?? [idempotent('POST', '/v1/completions')];
		return this.addService(pool, id, 'model-engine', { ...options, calls }, options.resumable ?? false);
	}

	/**
	 * Defines a plain service; its cost unit is milliseconds of service. Calls that are not listed run at most once,
	 * unless their method is safe.
	 *
	 * @param pool the pool whose backend servers offer it
	 * @param id identifier of the service, which callers name in the URL
	 * @param options settings of the service
	 * @returns the service, to allow accounts to call it
	 */
	public plainService(pool: PoolReference, id: string, options: ServiceOptions = {}): ServiceReference {
		return this.addService(pool, id, 'plain', options, false);
	}

	/**
	 * Defines a backend server.
	 *
	 * @param pool the pool it belongs to
	 * @param id name of its instance in the platform's list
	 * @param options settings of the server
	 */
	public backendServer(pool: PoolReference, id: string, options: BackendServerOptions): void {
		const { url, slots, checksFencing } = options;
		this.servers.push({ id, pool: pool.id, url, slots, checksFencing });
	}

	/**
	 * Defines a client account.
	 *
	 * @param id identifier of the account
	 * @param options share, tokens and services
	 */
	public account(id: string, options: AccountOptions): void {
		const { share, tokenDigests, services } = options;
		this.accounts.push({ id, share, tokenDigests, services: services.map((service) => service.id) });
	}

	/** @returns the validated content, or every fault with its path and reason */
	public build(): Result<ConfigurationContent, readonly ConfigurationFault[]> {
		const { accounts, services, pools, servers } = this;
		return validateContent({ accounts, services, pools, backendServers: servers });
	}

	private addService(
		pool: PoolReference,
		id: string,
		kind: Service['kind'],
		options: ServiceOptions,
		resumable: boolean,
	): ServiceReference {
		this.services.push({
			id,
			pool: pool.id,
			kind,
			operations: options.calls ?? [],
			resumable,
			maximumBodyBytes: options.maximumBodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES,
		});
		return { id } as ServiceReference;
	}
}
