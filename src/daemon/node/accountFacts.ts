import type { AccountFacts, AccountPoolFacts, BackendFacts } from '../../admin/common/explanation.js';
import { shortKey } from '../../base/common/shortKey.js';
import type { BackendServer, ClientAccount, Configuration } from '../../configuration/common/model.js';
import type { PoolDump } from '../../scheduling/common/schedulingDump.js';
import type { RouterComponents } from './routerParts.js';

/**
 * Collects the state of a client account at this router.
 *
 * @param components components of the router
 * @param id identifier of the account
 * @returns the state, or undefined when the configuration in force does not list the account
 */
export function describeAccount(components: RouterComponents, id: string): AccountFacts | undefined {
	const configuration = components.follower.current;
	const account = configuration?.accounts.find((candidate) => candidate.id === id);
	if (configuration === undefined || account === undefined) {
		return undefined;
	}
	const pools = new Set(
		configuration.services.filter(({ id: service }) => account.services.includes(service)).map(({ pool }) => pool),
	);
	return {
		account: id,
		share: account.share,
		services: account.services,
		pools: components.slots
			.dump()
			.filter((dump) => pools.has(dump.pool))
			.map((dump) => describePool(components, configuration, account, dump)),
	};
}

function describePool(
	components: RouterComponents,
	configuration: Configuration,
	account: ClientAccount,
	{ pool, scheduler, entry, schedulerState }: PoolDump,
): AccountPoolFacts {
	const state = entry.accounts.find((candidate) => candidate.id === account.id);
	const heldSlots = Object.values(entry.slots);
	return {
		pool,
		scheduler,
		schedulerReachable: entry.hasScheduler,
		queued: state?.queued ?? 0,
		running: state?.running ?? 0,
		stalledMs: components.dispatch.queues.getQueue(pool, account.id).stalledMs,
		queueLimit: components.dispatch.queues.getLimit(pool, account.id),
		deliveredService: state?.charged ?? 0,
		virtualService: state?.virtualService ?? entry.floor,
		floor: entry.floor,
		reuseLimit: entry.reuseLimit ?? undefined,
		slotsHeld: heldSlots.reduce((sum, slot) => sum + slot.held, 0),
		slotsIdle: heldSlots.reduce((sum, slot) => sum + slot.idle, 0),
		contended: entry.contended,
		backendServers: configuration.backendServers
			.filter((server) => server.pool === pool)
			.map((server) => describeBackend(components, server, schedulerState?.slotLimits)),
	};
}

function describeBackend(
	{ monitor }: RouterComponents,
	{ id, slots }: BackendServer,
	limits: Readonly<Record<string, number>> | undefined,
): BackendFacts {
	return {
		id,
		status: monitor.stateOf(id),
		configuredSlots: slots,
		slotLimit: limits?.[String(shortKey(id))],
	};
}
