import type { MetricReaders, MetricSample } from '../../admin/common/metricFamilies.js';
import type { CertificateStore } from '../../peers/node/certificateStore.js';
import type { EntryDump, PoolDump, SchedulerDump } from '../../scheduling/common/schedulingDump.js';
import type { RouterComponents } from './routerParts.js';
import type { BackendCount } from './dispatchCounters.js';

/** Maximum number of accounts per pool with their own time series. The others are available from `/explain`. */
const MAXIMUM_ACCOUNT_SERIES = 100;

/**
 * @param components components of the router
 * @param certificates its certificates, if it has any
 * @param isReady whether it is ready for traffic
 * @returns functions that read the current values of its metrics
 */
export function createMetricReaders(
	components: RouterComponents,
	certificates: CertificateStore | undefined,
	isReady: () => boolean,
): MetricReaders {
	const { follower, network, store, callers } = components;
	return {
		...createPoolReaders(components),
		requestsInProgress: () => [{ value: callers.requestsInProgress }],
		configurationVersion: () => [{ value: follower.version }],
		atMostOnceRecords: () => [...components.counters.claims].map(([result, value]) => ({ labels: { result }, value })),
		backendState: () => readBackendStates(components),
		backendStarted: () => readBackends(components, ({ started }) => started),
		backendRunning: () => readBackends(components, ({ running }) => running),
		peerBytes: () => perDirection(network.traffic.sentBytes, network.traffic.receivedBytes),
		peerMessages: () => perDirection(network.traffic.sentMessages, network.traffic.receivedMessages),
		storeCalls: () => [{ value: store.calls }],
		peers: () => countPeers(network.peers()),
		ready: () => [{ value: isReady() ? 1 : 0 }],
		...(certificates !== undefined && {
			certificateExpiry: () => [{ value: Date.parse(certificates.current.leaf.validTo) / 1_000 }],
		}),
	};
}

function createPoolReaders({ slots, dispatch }: RouterComponents): MetricReaders {
	const dump = (): readonly PoolDump[] => slots.dump();
	const perPool = (read: (pool: PoolDump) => number) => () =>
		dump().map((pool) => ({ labels: { pool: pool.pool }, value: read(pool) }));
	const perScheduled = (read: (scheduler: SchedulerDump) => number) => () =>
		dump().flatMap(({ pool, schedulerState }) =>
			schedulerState === undefined ? [] : [{ labels: { pool }, value: read(schedulerState) }],
		);
	const perAccount = (read: (account: EntryDump['accounts'][number], pool: string) => number) => () =>
		dump().flatMap(({ pool, entry }) =>
			busiestAccounts(entry).map((account) => ({ labels: { pool, account: account.id }, value: read(account, pool) })),
		);
	return {
		virtualServiceSpread: perScheduled(computeSpread),
		slack: perScheduled(({ slack }) => slack),
		accountVirtualService: perAccount(({ virtualService }) => virtualService),
		accountService: perAccount(({ charged }) => charged),
		accountQueued: perAccount(({ queued }) => queued),
		accountStalled: perAccount(({ id }, pool) => dispatch.queues.getQueue(pool, id).stalledMs / 1_000),
		slots: () => dump().flatMap(readSlots),
		idleWhileWaiting: perPool(countIdleWhileWaiting),
		poolContended: perPool(({ entry }) => (entry.contended ? 1 : 0)),
		poolContendedTime: () =>
			slots.metrics().map(({ pool, contendedMs }) => ({ labels: { pool }, value: contendedMs / 1_000 })),
		schedulerTerm: perPool(({ entry }) => entry.term),
		schedulerRole: perPool(({ schedulerState }) => (schedulerState === undefined ? 0 : 1)),
	};
}

function computeSpread({ accounts }: SchedulerDump): number {
	const services = accounts.filter(({ queued }) => queued > 0).map(({ virtualService }) => virtualService);
	return services.length < 2 ? 0 : Math.max(...services) - Math.min(...services);
}

function busiestAccounts({ accounts }: EntryDump): EntryDump['accounts'] {
	if (accounts.length <= MAXIMUM_ACCOUNT_SERIES) {
		return accounts;
	}
	const countRequests = (account: EntryDump['accounts'][number]): number => account.queued + account.running;
	return [...accounts]
		.sort((first, second) => countRequests(second) - countRequests(first))
		.slice(0, MAXIMUM_ACCOUNT_SERIES);
}

function readSlots({ pool, entry, schedulerState }: PoolDump): readonly MetricSample[] {
	const heldSlots = Object.values(entry.slots);
	const values: Record<string, number> = {
		held: heldSlots.reduce((sum, slot) => sum + slot.held, 0),
		idle: heldSlots.reduce((sum, slot) => sum + slot.idle, 0),
	};
	if (schedulerState !== undefined) {
		values.limit = sum(schedulerState.slotLimits);
		values.leased = sum(schedulerState.leased);
	}
	return Object.entries(values).map(([state, value]) => ({ labels: { pool, state }, value }));
}

function countIdleWhileWaiting({ entry, schedulerState }: PoolDump): number {
	const waitsHere = entry.accounts.some(({ queued }) => queued > 0);
	const idleHere = waitsHere ? Object.values(entry.slots).reduce((total, { idle }) => total + idle, 0) : 0;
	const waitsElsewhere = schedulerState?.accounts.some(({ queued }) => queued > 0) ?? false;
	const free = schedulerState === undefined ? 0 : sum(schedulerState.slotLimits) - sum(schedulerState.leased);
	return idleHere + (waitsElsewhere ? Math.max(0, free) : 0);
}

function readBackendStates({ follower, monitor }: RouterComponents): readonly MetricSample[] {
	return (follower.current?.backendServers ?? []).map(({ id, pool }) => ({
		labels: { pool, backend_server: id, state: monitor.stateOf(id) },
		value: 1,
	}));
}

function readBackends(
	{ follower, counters }: RouterComponents,
	read: (count: BackendCount) => number,
): readonly MetricSample[] {
	return (follower.current?.backendServers ?? []).flatMap(({ id, pool }) => {
		const count = counters.backends.get(id);
		return count === undefined ? [] : [{ labels: { pool, backend_server: id }, value: read(count) }];
	});
}

function perDirection(sent: number, received: number): readonly MetricSample[] {
	return [
		{ labels: { direction: 'sent' }, value: sent },
		{ labels: { direction: 'received' }, value: received },
	];
}

function countPeers(peers: ReturnType<RouterComponents['network']['peers']>): readonly MetricSample[] {
	const counts = { connecting: 0, connected: 0, silent: 0, gone: 0 };
	for (const { state } of peers) {
		counts[state]++;
	}
	return Object.entries(counts).map(([state, value]) => ({ labels: { state }, value }));
}

function sum(values: Readonly<Record<string, number>>): number {
	return Object.values(values).reduce((total, value) => total + value, 0);
}
