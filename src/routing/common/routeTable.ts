import { shortKey } from '../../base/common/shortKey.js';
import type { Route, RoutedAccount, RoutedService, RoutingConfiguration } from './model.js';

/** Why a request has no route or account. */
export type RoutingRefusal = 'unknown-route' | 'unknown-key';

/** Where a request goes and for whom. */
export interface RoutingResult {
	readonly route: Route;
	readonly service: string;
	/** Undefined on public routes and where requests need no key. */
	readonly account: RoutedAccount | undefined;
}

/** Answers which route, service and account a request has, under one version of the configuration. */
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
	 * @param configuration a checked configuration
	 * @returns its table
	 */
	public static create(configuration: RoutingConfiguration): RouteTable {
		return new RouteTable(configuration);
	}

	/**
	 * Finds the route with the longest matching prefix, and the account that holds the key.
	 *
	 * @param request identifier, host, path without its query, and key as the caller sent them
	 * @returns the result, or why there is none
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
		const service = pickTarget(route, request.id);
		if (route.isPublic || this.configuration.accounts === undefined) {
			return { route, service, account: undefined };
		}
		const account = request.key === undefined ? undefined : this.accountsByKey.get(request.key);
		return account === undefined ? 'unknown-key' : { route, service, account };
	}

	/**
	 * @param name of a service
	 * @returns the service, or undefined when the configuration does not describe it
	 */
	public service(name: string): RoutedService | undefined {
		return this.servicesByName.get(name);
	}
}

// The identifier decides, so that the same request meets the same service on every router.
function pickTarget(route: Route, requestId: string): string {
	const [first] = route.targets;
	if (first === undefined) {
		return '';
	}
	if (route.targets.length === 1) {
		return first.service;
	}
	const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
	let point = ((shortKey(requestId) % 1_000_003) / 1_000_003) * total;
	for (const { service, weight } of route.targets) {
		point -= weight;
		if (point < 0) {
			return service;
		}
	}
	return first.service;
}
