import { Deferred, Effect } from 'effect';
import type { IClock } from '../../base/common/clock.js';
import type { IKeyValueStore, StoreError } from '../../store/common/keyValueStore.js';

const ROTATION_MS = 3_600_000;

/** Records are kept for at least this long after their creation. */
export const RETENTION_SECONDS = 24 * 3_600;

// A record may be created at the end of the lease's hour, and must still be kept for the whole retention.
const LEASE_SECONDS = RETENTION_SECONDS + ROTATION_MS / 1_000;

interface HeldLease {
	readonly id: string;
	readonly grantedAt: number;
}

/**
 * Store lease that all records of one router and hour share. It is never renewed: it only removes old records and
 * guards no work.
 */
export class SharedLease {
	private held: HeldLease | undefined;
	private pending: Deferred.Deferred<HeldLease, StoreError> | undefined;

	private constructor(
		private readonly store: IKeyValueStore,
		private readonly clock: IClock,
	) {}

	/**
	 * @param store grants the leases
	 * @param clock decides when the next lease is due
	 * @returns holder without a lease
	 */
	public static create(store: IKeyValueStore, clock: IClock): SharedLease {
		return new SharedLease(store, clock);
	}

	/** @returns the lease of this hour; concurrent callers share one grant */
	public current(): Effect.Effect<string, StoreError> {
		return Effect.suspend(() => {
			if (this.held !== undefined && this.clock.now() - this.held.grantedAt < ROTATION_MS) {
				return Effect.succeed(this.held.id);
			}
			this.pending ??= this.startGrant();
			return Effect.map(Deferred.await(this.pending), (lease) => lease.id);
		});
	}

	/**
	 * Stops using a lease, since a store that was restored may not know it.
	 *
	 * @param id lease with which a write failed
	 */
	public discard(id: string): void {
		if (this.held?.id === id) {
			this.held = undefined;
		}
	}

	// Runs in its own fiber: a caller that gives up must not interrupt the grant for the others.
	private startGrant(): Deferred.Deferred<HeldLease, StoreError> {
		const pending = Deferred.makeUnsafe<HeldLease, StoreError>();
		const grantedAt = this.clock.now();
		const grant = Effect.map(this.store.grantLease(LEASE_SECONDS), (id) => (this.held = { id, grantedAt }));
		Effect.runFork(
			Effect.andThen(Effect.exit(grant), (exit) => ((this.pending = undefined), Deferred.done(pending, exit))),
		);
		return pending;
	}
}
