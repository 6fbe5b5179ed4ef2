import { Effect } from 'effect';
import type { IInstanceList } from '../../store/common/instanceList.js';
import { type AdminOptions, requestAdmin } from './adminClient.js';

const ROUTERS_AT_ONCE = 32;

/** Where the routers' admin addresses come from. */
export interface RouterSource {
	/** `host:port` of each router, in place of the instance list. */
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

/** What one router reports. */
export interface RouterReport extends RouterAddress {
	/** Version in force; undefined when the router has none or does not answer. */
	readonly version: number | undefined;
	readonly ready: boolean;
	/** Why the router cannot be asked, or what it lacks to be ready. */
	readonly problem?: string;
}

/**
 * Finds the routers.
 *
 * @param source addresses or instance list
 * @returns the routers, leaving ones included
 * @throws Error with a sentence for the operator when the list cannot be read
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
 * Asks routers for the version that they have in force.
 *
 * @param routers the routers to ask
 * @param certificates the operator's certificates
 * @returns one report per router, in the same order
 */
export function queryRouters(
	routers: readonly RouterAddress[],
	certificates: RouterSource['certificates'],
): Promise<readonly RouterReport[]> {
	const ask = (router: RouterAddress) => Effect.promise(() => askRouter(router, certificates));
	return Effect.runPromise(Effect.forEach(routers, ask, { concurrency: ROUTERS_AT_ONCE }));
}

async function askRouter(router: RouterAddress, certificates: RouterSource['certificates']): Promise<RouterReport> {
	if (router.admin === undefined) {
		return { ...router, version: undefined, ready: false, problem: 'the instance list has no admin address' };
	}
	const options = { ...certificates, admin: router.admin };
	try {
		const state = (await requestAdmin(options, '/state')) as { readonly configuration?: { readonly version?: number } };
		const version = state.configuration?.version;
		// A router that is not ready answers with another status and says what it lacks.
		const missing = await requestAdmin(options, '/readyz').then(
			() => undefined,
			(error: unknown) => (error as Error).message,
		);
		return { ...router, version, ready: missing === undefined, problem: missing };
	} catch (error) {
		return { ...router, version: undefined, ready: false, problem: (error as Error).message };
	}
}
