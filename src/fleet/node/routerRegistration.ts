import { Effect } from 'effect';
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

const FAILURE_PAUSE_MS = 1_000;

/** A new router looks for others soon after its start, and seldom later, since others also introduce themselves. */
const SEARCH_PAUSES_MS = [300, 700, 2_000, 4_000];
const LATER_SEARCH_PAUSE_MS = 20_000;

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/**
 * Keeps the entry of this router in the store, so that new routers find it.
 *
 * @param store to write to
 * @param instance name of this router
 * @param address for datagrams
 * @param log receives lost and renewed entries
 * @returns runs until interrupted
 */
export function keepRegistered(
	store: IRevisionedStore,
	instance: string,
	address: SocketAddress,
	log: IDecisionLog,
): Effect.Effect<never> {
	return Effect.gen(function* () {
		for (;;) {
			const result = yield* Effect.result(registerAndRenew(store, instance, address, log));
			if (result._tag === 'Failure') {
				log.write('registration-failed', { outcome: result.failure.outcome, reason: result.failure.message });
			}
			yield* Effect.sleep(FAILURE_PAUSE_MS * (1 + Math.random()));
		}
	});
}

/**
 * Finds routers in the store.
 *
 * @param store to read from
 * @param onFound called for each address for datagrams
 * @param log receives failed reads
 * @returns runs until interrupted
 */
export function searchRouters(
	store: IRevisionedStore,
	onFound: (address: SocketAddress) => void,
	log: IDecisionLog,
): Effect.Effect<never> {
	return Effect.gen(function* () {
		for (let round = 0; ; round++) {
			yield* Effect.sleep(SEARCH_PAUSES_MS[round] ?? LATER_SEARCH_PAUSE_MS);
			const result = yield* Effect.result(store.readAll(PREFIX, { mayBeStale: true }));
			if (result._tag === 'Failure') {
				log.write('router-search-failed', { reason: result.failure.message });
				continue;
			}
			for (const { value } of result.success.entries) {
				readAddress(decoder.decode(value)).match({ Ok: onFound, Err: () => undefined });
			}
		}
	});
}

function registerAndRenew(
	store: IRevisionedStore,
	instance: string,
	address: SocketAddress,
	log: IDecisionLog,
): Effect.Effect<void, StoreError> {
	const key = PREFIX + instance;
	return Effect.gen(function* () {
		const lease = yield* store.grantLease(LEASE_SECONDS);
		let revision = (yield* store.get(key))?.revision ?? 0;
		// An entry of an earlier process of this instance may change once more while it is replaced.
		for (let swapped = false; !swapped;) {
			const result = yield* store.compareAndSwap(key, revision, encoder.encode(formatAddress(address)), lease);
			swapped = result.swapped;
			revision = result.swapped ? result.revision : (result.current?.revision ?? 0);
		}
		log.write('registered', { revision, lease });
		for (let alive = true; alive;) {
			yield* Effect.sleep(RENEWAL_INTERVAL_MS);
			alive = yield* store.keepAlive(lease);
		}
		log.write('registration-lapsed', { lease });
	});
}
