import { Effect } from 'effect';
import type { IInstanceList } from '../../store/common/instanceList.js';
import { type AdminOptions, requestAdmin } from './adminClient.js';

const MAXIMUM_CONCURRENT_QUERIES = 32;

/** Source of the routers' admin addresses. */
export interface RouterSource {
	/** `host:port` of each router; overrides the instance list. */
	readonly addresses: readonly string[];
	readonly list?: IInstanceList;
	readonly certificates: Omit<AdminOptions, 'admin'>;
}

/** A router and its admin address. */
export interface RouterAddress {
	readonly name: string;
	/** Undefined when the instance list has no label `admin` for the router. */
	readonly admin: string | undefined;
	readonly leaving: boolean;
}

/** State reported by one router. */
export interface RouterReport extends RouterAddress {
	/** Version in force; undefined when the router has none or does not respond. */
	readonly version: number | undefined;
	readonly ready: boolean;
	/** Why the router cannot be queried, or why it is not ready. */
	readonly problem?: string;
}

/**
 * Finds the routers and their admin addresses.
 *
 * @param source addresses or instance list
 * @returns the routers, including leaving ones
 * @throws Error with a message for the operator when the list cannot be read
 */
export async function findRouters(source: RouterSource): Promise<readonly RouterAddress[]> {
	if (source.addresses.length > 0 || source.list === undefined) {
		return source.addresses.map((admin) => ({ name: admin, admin, leaving: false }));
	}
	const listed = await Effect.runPromise(
		Effect.mapError(source.list.fetch(), ({ message }) => new Error(`cannot read the instance list: ${message}`)),
	);
	return listed
		.filter(({ role }) => role === 'router')
		.map(({ name, adminAddress, leaving }) => ({ name, admin: adminAddress, leaving }));
}

/**
 * Queries routers for their readiness and the version that they have in force.
 *
 * @param routers routers to query
 * @param certificates the operator's certificates
 * @returns one report per router, in the same order
 */
export function queryRouters(
	routers: readonly RouterAddress[],
	certificates: RouterSource['certificates'],
): Promise<readonly RouterReport[]> {
	const query = (router: RouterAddress) => Effect.promise(() => queryRouter(router, certificates));
	return Effect.runPromise(Effect.forEach(routers, query, { concurrency: MAXIMUM_CONCURRENT_QUERIES }));
}

async function queryRouter(router: RouterAddress, certificates: RouterSource['certificates']): Promise<RouterReport> {
	if (router.admin === undefined) {
		return { ...router, version: undefined, ready: false, problem: 'the instance list has no admin address' };
	}
	const options = { ...certificates, admin: router.admin };
	try {
		const state = (await requestAdmin(options, '/state')) as { readonly configuration?: { readonly version?: number } };
		const version = state.configuration?.version;
		// A router that is not ready responds with an error status and the reason.
		const missing = await requestAdmin(options, '/readyz').then(
			() => undefined,
			(error: unknown) => (error as Error).message,
		);
		return { ...router, version, ready: missing === undefined, problem: missing };
	} catch (error) {
		return { ...router, version: undefined, ready: false, problem: (error as Error).message };
	}
}
