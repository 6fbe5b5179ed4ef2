import { Effect } from 'effect';
import type { FleetAssignments } from '../common/fleetAssignments.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import { formatAddress, type SocketAddress } from '../../settings/common/settings.js';
import { readAddress } from '../../settings/node/values.js';
import type { StoreError } from '../../store/common/keyValueStore.js';
import type { IRevisionedStore } from '../../store/common/revisionedStore.js';

/** Keys of routers begin with this; the instance's name follows. The value is the address for datagrams. */
const PREFIX = 'masticloom/routers/';

/** Entries of routers that were replaced disappear after this time. */
const LEASE_SECONDS = 30;

/** Three renewals within a lease. */
const RENEWAL_INTERVAL_MS = 10_000;

/** Pause before the first repetition of a failed call; it doubles with each failure. */
const FAILURE_PAUSE_MS = 1_000;
const LONGEST_FAILURE_PAUSE_MS = 8_000;

/** A new router learns from its seeds how large the fleet is before it decides on an entry. */
const SETTLING_MS = 600;

/** Interval at which a router without an entry asks itself whether it has to have one. */
const REST_CHECK_MS = 1_000;

/**
 * Routers of a larger fleet that have an entry. A new router has to reach one of them when all routers that its settings
 * name are away; half of the fleet can be away as well.
 */
const REGISTRANTS = 16;

/** A new router looks for others soon after its start, and seldom later, since others also introduce themselves. */
const SEARCH_PAUSES_MS = [300, 700, 2_000, 4_000];
const LATER_SEARCH_PAUSE_MS = 20_000;

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** What the entry of a router says. */
export interface RouterEntry {
	readonly instance: string;
	/** Where it receives datagrams. */
	readonly address: SocketAddress;
}

/**
 * @param duties which routers do what
 * @returns whether this router has an entry in the store
 */
export function isRegistrant(duties: FleetAssignments): boolean {
	return !duties.isLargeFleet || duties.isAssigned('entry', REGISTRANTS);
}

/**
 * Keeps the entry of this router in the store, so that new routers find it.
 *
 * @param store to write to
 * @param entry of this router
 * @param isWanted whether this router is to have an entry now
 * @param log receives lost and renewed entries
 * @returns runs until interrupted
 */
export function keepRegistered(
	store: IRevisionedStore,
	entry: RouterEntry,
	isWanted: () => boolean,
	log: IDecisionLog,
): Effect.Effect<never> {
	return Effect.gen(function* () {
		yield* Effect.sleep(SETTLING_MS);
		for (let failures = 0; ;) {
			if (!isWanted()) {
				yield* Effect.sleep(REST_CHECK_MS);
				continue;
			}
			const result = yield* Effect.result(register(store, entry, log));
			if (result._tag === 'Success') {
				failures = 0;
				yield* renew(store, result.success, isWanted, log);
				continue;
			}
			log.write('registration-failed', { outcome: result.failure.outcome, reason: result.failure.message });
			yield* Effect.sleep(failurePauseMs(failures++));
		}
	});
}

/** How routers are looked for. */
export interface RouterDiscovery {
	/** Called for each address for datagrams. */
	readonly onFound: (address: SocketAddress) => void;
	/** Whether this router is to look for others now. */
	readonly isDue: () => boolean;
}

/**
 * Finds routers in the store.
 *
 * @param store to read from
 * @param search how they are looked for
 * @param log receives failed reads
 * @returns runs until interrupted
 */
export function discoverRouters(
	store: IRevisionedStore,
	search: RouterDiscovery,
	log: IDecisionLog,
): Effect.Effect<never> {
	return Effect.gen(function* () {
		for (let round = 0; ; round++) {
			yield* Effect.sleep(SEARCH_PAUSES_MS[round] ?? LATER_SEARCH_PAUSE_MS);
			if (!search.isDue()) {
				continue;
			}
			const result = yield* Effect.result(store.readAll(PREFIX, { mayBeStale: true }));
			if (result._tag === 'Failure') {
				log.write('router-search-failed', { reason: result.failure.message });
				continue;
			}
			for (const { value } of result.success.entries) {
				readAddress(decoder.decode(value)).match({ Ok: search.onFound, Err: () => undefined });
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
		// An entry of an earlier process of this instance is replaced, and may change once more meanwhile.
		for (let revision = 0; ;) {
			const result = yield* store.compareAndSwap(PREFIX + instance, revision, value, lease);
			if (result.swapped) {
				log.write('registered', { revision: result.revision, lease });
				return lease;
			}
			revision = result.current?.revision ?? 0;
		}
	});
}

/** Renews the lease until it has ended or the entry is not wanted any more and lapses. */
function renew(
	store: IRevisionedStore,
	lease: string,
	isWanted: () => boolean,
	log: IDecisionLog,
): Effect.Effect<void> {
	return Effect.gen(function* () {
		for (let failures = 0; ;) {
			yield* Effect.sleep(failures === 0 ? RENEWAL_INTERVAL_MS : failurePauseMs(failures - 1));
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

function failurePauseMs(failures: number): number {
	return Math.min(LONGEST_FAILURE_PAUSE_MS, FAILURE_PAUSE_MS * 2 ** failures) * (1 + Math.random());
}
