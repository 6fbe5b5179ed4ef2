import { createHash } from 'node:crypto';
import type { ConfigurationContent } from '../../src/configuration/common/model.js';
import type { BackendStandIn } from './fleet.js';

/** Pool of the model engines and the service that they run. */
export const MODEL_POOL = 'models';
export const DRAFTS_SERVICE = 'drafts';
/** Path of the completion operation, relative to `/services/` of a router. */
export const DRAFTS_PATH = `${DRAFTS_SERVICE}/v1/completions`;

/** Pool of the plain services and the service that they run. */
export const APPLICATION_POOL = 'applications';
export const ORDERS_SERVICE = 'orders';
/** Path of the order operation, which is not idempotent; relative to `/services/` of a router. */
export const ORDERS_PATH = `${ORDERS_SERVICE}/orders`;

const MAXIMUM_BODY_BYTES = 1_048_576;

/** A client account of a test fleet. */
export interface TestAccount {
	readonly id: string;
	readonly share: number;
	readonly token: string;
}

/**
 * Creates client accounts with unique identifiers and tokens.
 *
 * @param shares share of each account
 * @returns one account for each share, in the same order
 */
export function createTestAccounts(shares: readonly number[]): readonly TestAccount[] {
	return shares.map((share, index) => {
		const id = `account-${String(index + 1).padStart(2, '0')}`;
		return { id, share, token: `token-of-${id}` };
	});
}

/**
 * Builds the configuration of a test fleet: a pool of model engines that runs the drafts service, and a pool of plain
 * services that runs the orders service.
 *
 * @param accounts client accounts
 * @param backends all backend servers
 * @param slack slack of both pools, in mean request costs
 * @returns the complete configuration
 */
export function createTestConfiguration(
	accounts: readonly TestAccount[],
	backends: readonly BackendStandIn[],
	slack: number,
): ConfigurationContent {
	return {
		accounts: accounts.map(({ id, share, token }) => ({
			id,
			share,
			tokenDigests: [createHash('sha256').update(token).digest('hex')],
			services: [DRAFTS_SERVICE, ORDERS_SERVICE],
		})),
		pools: [MODEL_POOL, APPLICATION_POOL].map((id) => ({ id, slack })),
		services: [
			{
				...{ id: DRAFTS_SERVICE, pool: MODEL_POOL, kind: 'model-engine', resumable: false },
				operations: [{ method: 'POST', path: '/v1/completions', idempotent: true }],
				maximumBodyBytes: MAXIMUM_BODY_BYTES,
			},
			{
				...{ id: ORDERS_SERVICE, pool: APPLICATION_POOL, kind: 'plain', resumable: false },
				operations: [{ method: 'POST', path: '/orders', idempotent: false }],
				maximumBodyBytes: MAXIMUM_BODY_BYTES,
			},
		],
		backendServers: backends.map(({ id, kind, url, slots }) => ({
			...{ id, url, slots, checksFencing: false },
			pool: kind === 'plain' ? APPLICATION_POOL : MODEL_POOL,
		})),
	};
}
