import { Effect } from 'effect';
import type { FleetAssignments } from '../common/fleetAssignments.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import { formatAddress, type SocketAddress } from '../../settings/common/settings.js';
import { parseRemoteAddress } from '../../settings/node/values.js';
import type { StoreError } from '../../store/common/keyValueStore.js';
import type { IRevisionedStore } from '../../store/common/revisionedStore.js';
import { formatRevision } from '../../store/common/storeRevision.js';

/** Prefix of the keys of router entries; the instance name follows. The value is the address for datagrams. */
const PREFIX = 'masticloom/routers/';

/** An entry expires after this time when its router was replaced or no longer needs an entry. */
const LEASE_SECONDS = 30;

/** Interval between renewals of the lease; three fit into its duration. */
const RENEWAL_INTERVAL_MS = 10_000;

/** Pause before the first retry of a failed call; it doubles with each failure. */
const FIRST_RETRY_DELAY_MS = 1_000;
const MAXIMUM_RETRY_DELAY_MS = 8_000;

/**
 * Time in which a new router learns the size of the fleet from its seeds, the routers named in its settings, before it
 * decides whether to register.
 */
const SEED_REPLY_WAIT_MS = 600;

/** Interval at which a router without an entry checks whether it has to register. */
const REGISTRATION_CHECK_INTERVAL_MS = 1_000;

/**
 * Number of routers of a large fleet that have an entry. A new router has to reach one of them when all routers named
 * in its settings are down; half of the fleet can be down at the same time.
 */
const REGISTERED_ROUTERS = 16;

/** Pauses between searches for other routers: short at first, then long, since others also introduce themselves. */
const DISCOVERY_PAUSES_MS = [300, 700, 2_000, 4_000];
const LATER_DISCOVERY_PAUSE_MS = 20_000;

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** Entry of a router in the store. */
export interface RouterEntry {
	readonly instance: string;
	/** Address at which the router receives datagrams. */
	readonly address: SocketAddress;
}

/**
 * @param assignments of the fleet
 * @returns whether this router is to have an entry in the store
 */
export function isRegistrant(assignments: FleetAssignments): boolean {
	return !assignments.isLargeFleet || assignments.isAssigned('entry', REGISTERED_ROUTERS);
}

/**
 * Keeps the entry of this router in the store, so that new routers find it.
 *
 * @param store to write to
 * @param entry of this router
 * @param isWanted whether this router is to have an entry now
 * @param log records new and lapsed registrations and failures
 * @returns an effect that runs until interrupted
 */
export function keepRegistered(
	store: IRevisionedStore,
	entry: RouterEntry,
	isWanted: () => boolean,
	log: IDecisionLog,
): Effect.Effect<never> {
	return Effect.gen(function* () {
		yield* Effect.sleep(SEED_REPLY_WAIT_MS);
		for (let failures = 0; ;) {
			if (!isWanted()) {
				yield* Effect.sleep(REGISTRATION_CHECK_INTERVAL_MS);
				continue;
			}
			const result = yield* Effect.result(register(store, entry, log));
			if (result._tag === 'Success') {
				failures = 0;
				yield* renew(store, result.success, isWanted, log);
				continue;
			}
			log.write('registration-failed', { outcome: result.failure.outcome, reason: result.failure.message });
			yield* Effect.sleep(retryDelayMs(failures++));
		}
	});
}

/** Callbacks of a search for routers. */
export interface RouterDiscovery {
	/** Called with the datagram address of each router found. */
	readonly onFound: (address: SocketAddress) => void;
	/** Whether this router has to search for others now. */
	readonly isDue: () => boolean;
}

/**
 * Finds routers in the store.
 *
 * @param store to read from
 * @param discovery receives the routers and decides when to search
 * @param log records failed reads
 * @returns an effect that runs until interrupted
 */
export function discoverRouters(
	store: IRevisionedStore,
	discovery: RouterDiscovery,
	log: IDecisionLog,
): Effect.Effect<never> {
	return Effect.gen(function* () {
		for (let round = 0; ; round++) {
			yield* Effect.sleep(DISCOVERY_PAUSES_MS[round] ?? LATER_DISCOVERY_PAUSE_MS);
			if (!discovery.isDue()) {
				continue;
			}
			const result = yield* Effect.result(store.readAll(PREFIX, { mayBeStale: true }));
			if (result._tag === 'Failure') {
				log.write('router-search-failed', { reason: result.failure.message });
				continue;
			}
			for (const { value } of result.success.entries) {
				parseRemoteAddress(decoder.decode(value)).match({ Ok: discovery.onFound, Err: () => undefined });
			}
		}
	});
}

/** Writes the entry and returns its lease. */
function register(
	store: IRevisionedStore,
	{ instance, address }: RouterEntry,
	log: IDecisionLog,
): Effect.Effect<string, StoreError> {
	const value = encoder.encode(formatAddress(address));
	return Effect.gen(function* () {
		const lease = yield* store.grantLease(LEASE_SECONDS);
		// Replaces an entry of an earlier process of this instance; repeated when the entry has changed meanwhile.
		for (let revision = 0; ;) {
			const result = yield* store.compareAndSwap(PREFIX + instance, revision, value, lease);
			if (result.swapped) {
				log.write('registered', { revision: formatRevision(result.revision), lease });
				return lease;
			}
			revision = result.current?.revision ?? 0;
		}
	});
}

/** Renews the lease until it has expired, or until the entry is no longer wanted and is left to expire. */
function renew(
	store: IRevisionedStore,
	lease: string,
	isWanted: () => boolean,
	log: IDecisionLog,
): Effect.Effect<void> {
	return Effect.gen(function* () {
		for (let failures = 0; ;) {
			yield* Effect.sleep(failures === 0 ? RENEWAL_INTERVAL_MS : retryDelayMs(failures - 1));
			if (!isWanted()) {
				log.write('registration-left', { lease });
				return;
			}
			const result = yield* Effect.result(store.keepAlive(lease));
			if (result._tag === 'Failure') {
				failures++;
				log.write('registration-failed', { outcome: result.failure.outcome, reason: result.failure.message });
			} else if (result.success) {
				failures = 0;
			} else {
				log.write('registration-lapsed', { lease });
				return;
			}
		}
	});
}

function retryDelayMs(failures: number): number {
	return Math.min(MAXIMUM_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS * 2 ** failures) * (1 + Math.random());
}
