import { Deferred, Effect } from 'effect';
import type { IClock } from '../../base/common/clock.js';
import type { IKeyValueStore, StoreError } from '../../store/common/keyValueStore.js';

const ROTATION_MS = 3_600_000;

/** Minimum time for which records are kept after their creation. */
export const RETENTION_SECONDS = 24 * 3_600;

// A record that is created at the end of the lease's hour must still be kept for the full retention time.
const LEASE_SECONDS = RETENTION_SECONDS + ROTATION_MS / 1_000;

interface HeldLease {
	readonly id: string;
	readonly grantedAt: number;
}

/**
 * Store lease shared by all records that one router creates within an hour. It is never renewed, since its only purpose
 * is to remove old records; it does not protect work in progress.
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
	 * @param clock time source for the rotation
	 * @returns an instance without a lease
	 */
	public static create(store: IKeyValueStore, clock: IClock): SharedLease {
		return new SharedLease(store, clock);
	}

	/** @returns identifier of the current lease; concurrent callers share one grant */
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
	 * Stops using a lease, since a store that was restored may not have it.
	 *
	 * @param id identifier of the lease with which a write failed
	 */
	public discard(id: string): void {
		if (this.held?.id === id) {
			this.held = undefined;
		}
	}

	// Runs in a separate fiber: a caller that is interrupted must not interrupt the grant for the others.
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
