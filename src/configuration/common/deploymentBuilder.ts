import type { Result } from 'true-myth';
import type { ConfigurationFault } from './configurationFault.js';
import { validateContent } from './configurationValidation.js';
import type { BackendServer, ClientAccount, ConfigurationContent, Operation, Pool, Service } from './model.js';

const DEFAULT_SLACK = 2;
const DEFAULT_MAXIMUM_BODY_BYTES = 4_194_304;

declare const poolBrand: unique symbol;
declare const serviceBrand: unique symbol;

/** Reference to a defined pool. Only {@link DeploymentBuilder} creates references. */
export interface PoolReference {
	readonly id: string;
	readonly [poolBrand]: true;
}

/** Reference to a defined service. Only {@link DeploymentBuilder} creates references. */
export interface ServiceReference {
	readonly id: string;
	readonly [serviceBrand]: true;
}

/** Settings of a pool. */
export interface PoolOptions {
	/** How far above the floor an entry may reuse a slot, in units of the mean request cost; 2 by default. */
	readonly slack?: number;
}

/** Settings of a service. */
export interface ServiceOptions {
	/** Which calls may be repeated, see {@link idempotent} and {@link runsOnce}; the first matching entry applies. */
	readonly calls?: readonly Operation[];
	/** Maximum size of a request body in bytes; 4 MiB by default. */
	readonly maximumBodyBytes?: number;
}

/** Settings of a service of model engines. */
export interface ModelServiceOptions extends ServiceOptions {
	/** Whether the engines can resume an interrupted stream from `Last-Event-ID`. */
	readonly resumable?: boolean;
}

/** Settings of a backend server. */
export interface BackendServerOptions {
	/** Base URL with an IP address. */
	readonly url: string;
	/** Maximum number of requests in progress at the server. */
	readonly slots: number;
	/** Whether the server refuses calls with an outdated fencing number. */
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
 * Declares calls that may be repeated, such as lookups.
 *
 * @param method HTTP method
 * @param path path below the service; a trailing `*` matches any suffix
 * @returns an entry for a service's `calls`
 */
export function idempotent(method: string, path: string): Operation {
	return { method, path, idempotent: true };
}

/**
 * Declares calls that must run at most once, such as orders and bookings.
 *
 * @param method HTTP method
 * @param path path below the service; a trailing `*` matches any suffix
 * @returns an entry for a service's `calls`
 */
export function runsOnce(method: string, path: string): Operation {
	return { method, path, idempotent: false };
}

/** Collects the definitions of a deployment. A pool or service must be defined before it is referred to. */
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
	 * Defines a pool, a group of backend servers that offer the same services.
	 *
	 * @param id identifier of the pool
	 * @param options settings of the pool
	 * @returns a reference for defining services and backend servers in the pool
	 */
	public pool(id: string, options: PoolOptions = {}): PoolReference {
		this.pools.push({ id, slack: options.slack ?? DEFAULT_SLACK });
		return { id } as PoolReference;
	}

	/**
	 * Defines a service of model engines. Its cost unit is weighted tokens.
	 *
	 * @param pool the pool whose backend servers offer it
	 * @param id identifier of the service, which is part of request URLs
	 * @param options settings of the service
	 * @returns a reference for allowing accounts to call the service
	 */
	public modelService(pool: PoolReference, id: string, options: ModelServiceOptions = {}): ServiceReference {
		const calls = options.calls ?? [idempotent('POST', '/v1/completions')];
		return this.addService(pool, id, 'model-engine', { ...options, calls }, options.resumable ?? false);
	}

	/**
	 * Defines a plain service. Its cost unit is milliseconds of service time. Calls that are not listed run at most once,
	 * unless their HTTP method is safe.
	 *
	 * @param pool the pool whose backend servers offer it
	 * @param id identifier of the service, which is part of request URLs
	 * @param options settings of the service
	 * @returns a reference for allowing accounts to call the service
	 */
	public plainService(pool: PoolReference, id: string, options: ServiceOptions = {}): ServiceReference {
		return this.addService(pool, id, 'plain', options, false);
	}

	/**
	 * Defines a backend server.
	 *
	 * @param pool the pool it belongs to
	 * @param id name of the server's instance in the platform's instance list
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

	/** @returns the validated content, or all faults with their paths and reasons */
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
