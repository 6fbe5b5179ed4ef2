import { shortKey } from '../../base/common/shortKey.js';
import type { Route, RoutedAccount, RoutedService, RoutingConfiguration } from './model.js';

/** Why a request cannot be routed. */
export type RoutingRefusal = 'unknown-route' | 'unknown-key';

/** Route, service and account of a request. */
export interface RoutingResult {
	readonly route: Route;
	readonly service: string;
	/** Undefined on public routes and where requests need no key. */
	readonly account: RoutedAccount | undefined;
}

/** Finds the route, service and account of a request under one version of the configuration. */
export class RouteTable {
	private readonly routesByHost = new Map<string, Route[]>();
	private readonly accountsByKey = new Map<string, RoutedAccount>();
	private readonly servicesByName = new Map<string, RoutedService>();

	private constructor(public readonly configuration: RoutingConfiguration) {
		for (const route of configuration.routes) {
			const routes = this.routesByHost.get(route.host);
			if (routes === undefined) {
				this.routesByHost.set(route.host, [route]);
			} else {
				routes.push(route);
			}
		}
		for (const routes of this.routesByHost.values()) {
			routes.sort((one, other) => other.prefix.length - one.prefix.length);
		}
		for (const account of configuration.accounts ?? []) {
			account.keys.forEach((key) => this.accountsByKey.set(key, account));
		}
		configuration.services.forEach((service) => this.servicesByName.set(service.name, service));
	}

	/**
	 * @param configuration a valid configuration
	 * @returns the table of its routes
	 */
	public static create(configuration: RoutingConfiguration): RouteTable {
		return new RouteTable(configuration);
	}

	/**
	 * Finds the route with the longest matching prefix, and the account that holds the key.
	 *
	 * @param request identifier, host, path without its query, and key as sent by the caller
	 * @returns the route, service and account, or the reason why there is no route or account
	 */
	public find(request: {
		readonly id: string;
		readonly host: string;
		readonly path: string;
		readonly key: string | undefined;
	}): RoutingResult | RoutingRefusal {
		const route = this.routesByHost
			.get(request.host.toLowerCase())
			?.find((candidate) => request.path.startsWith(candidate.prefix));
		if (route === undefined) {
			return 'unknown-route';
		}
		const service = selectService(route, request.id);
		if (route.isPublic || this.configuration.accounts === undefined) {
			return { route, service, account: undefined };
		}
		const account = request.key === undefined ? undefined : this.accountOf(request.key);
		return account === undefined ? 'unknown-key' : { route, service, account };
	}

	/**
	 * @param key of a caller
	 * @returns the account that holds the key; undefined when there is none
	 */
	public accountOf(key: string): RoutedAccount | undefined {
		return this.accountsByKey.get(key);
	}

	/**
	 * @param name of a service
	 * @returns the service; undefined if the configuration does not contain it
	 */
	public service(name: string): RoutedService | undefined {
		return this.servicesByName.get(name);
	}
}

// Hashes the request identifier, so that all routers send the same request to the same service.
function selectService(route: Route, requestId: string): string {
	const [first] = route.targets;
	if (first === undefined) {
		return '';
	}
	if (route.targets.length === 1) {
		return first.service;
	}
	const totalWeight = route.targets.reduce((sum, { weight }) => sum + weight, 0);
	let remainingWeight = ((shortKey(requestId) % 1_000_003) / 1_000_003) * totalWeight;
	for (const { service, weight } of route.targets) {
		remainingWeight -= weight;
		if (remainingWeight < 0) {
			return service;
		}
	}
	return first.service;
}
