import type { AccountExplanation, AccountPoolFacts, WaitReason } from '../../admin/common/explanation.js';
import { type AdminOptions, requestAdmin } from './adminClient.js';

/** Options of the command. */
export interface ExplainOptions extends AdminOptions {
	/** Prints the router's JSON response instead of text. */
	readonly json?: boolean;
}

/**
 * Prints why the requests of a client account wait at one router.
 *
 * @param account identifier of the account
 * @param options address, certificates and output format
 * @param print writes to standard output
 * @throws Error with a message for the operator
 */
export async function explain(account: string, options: ExplainOptions, print: (text: string) => void): Promise<void> {
	const response = await requestAdmin(options, `/explain?account=${encodeURIComponent(account)}`);
	print(
		options.json === true
			? JSON.stringify(response, undefined, '\t')
			: formatExplanation(response as AccountExplanation),
	);
}

/**
 * @param explanation response of a router
 * @returns text of several lines
 */
export function formatExplanation(explanation: AccountExplanation): string {
	const { account, share, services, pools } = explanation;
	const lines = [`Account ${account}: share ${share}, services ${services.join(', ') || 'none'}`];
	for (const pool of pools) {
		lines.push('', ...formatPool(pool));
	}
	return lines.join('\n');
}

function formatPool(pool: AccountPoolFacts & { readonly reasons: readonly WaitReason[] }): readonly string[] {
	const wait = pool.queued === 0 ? '' : `, none started for ${Math.round(pool.stalledMs ?? 0)} ms`;
	const reuseLimit = pool.reuseLimit === undefined ? 'none' : round(pool.reuseLimit);
	const servers = pool.backendServers.map(
		({ id, status, slotLimit, configuredSlots }) =>
			`  ${id}: ${status}, ${slotLimit === undefined ? '' : `${slotLimit} of `}${configuredSlots} slots`,
	);
	return [
		`Pool ${pool.pool}, scheduler ${pool.scheduler ?? 'unknown'}`,
		`  requests on this router: ${pool.queued} of at most ${pool.queueLimit ?? 'any number'} queued${wait}; ${pool.running} running`,
		`  service by share: ${round(pool.virtualService)}, floor ${round(pool.floor)}, reuse limit ${reuseLimit}`,
		`  service by this router: ${round(pool.deliveredService)} cost units`,
		`  slots of this router: ${pool.slotsHeld} held, ${pool.slotsIdle} idle`,
		...servers,
		...pool.reasons.map(({ code, text }) => `  ${code}: ${text}`),
	];
}

function round(value: number): number {
	return Number(value.toPrecision(6));
}
