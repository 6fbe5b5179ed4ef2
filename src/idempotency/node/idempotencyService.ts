import { createHash, randomUUID } from 'node:crypto';
import { Effect, Fiber, Result } from 'effect';
import { type IClock, systemClock } from '../../base/common/clock.js';
import { getLogger } from '../../base/node/log.js';
import type { IKeyValueStore, KeyValue, StoreError } from '../../store/common/keyValueStore.js';
import type {
	Claim,
	ClaimResult,
	IIdempotencyService,
	KeyedCall,
	LookupResult,
	StoredOutcome,
} from '../common/idempotencyService.js';
import { decodeRecord, encodeRecord, evaluateRecord } from '../common/record.js';
import { SharedLease } from './sharedLease.js';

const log = getLogger('idempotency');

/** Time limits and delays of the service, in milliseconds. */
export interface IdempotencyTiming {
	/** Maximum duration of a lookup or claim; the call is refused afterwards. */
	readonly claimLimitMs: number;
	/** Maximum time for which completing or releasing a claim waits for the store. */
	readonly completeLimitMs: number;
	/** Delay before the first retry of a failed store call; doubles with each retry up to `longestPauseMs`. */
	readonly firstPauseMs: number;
	readonly longestPauseMs: number;
	/** Time for which storing or removing a record is retried in the background. */
	readonly settleLimitMs: number;
	/** Time for which calls are refused immediately after a lookup or claim found the store unavailable. */
	readonly refusalMs: number;
}

const DEFAULT_TIMING: IdempotencyTiming = {
	claimLimitMs: 3_000,
	completeLimitMs: 500,
	firstPauseMs: 20,
	longestPauseMs: 2_000,
	settleLimitMs: 60_000,
	refusalMs: 1_000,
};

// Maximum number of background operations. Further ones are skipped: their records then stay in doubt until they
// expire, which is safe.
const MAXIMUM_BACKGROUND_OPERATIONS = 1_000;

/** At-most-once records in the platform's key-value store, at `once/<account>/<key digest>`. */
export class IdempotencyService implements IIdempotencyService {
	private readonly lease: SharedLease;
	private refuseUntil = -Infinity;
	private backgroundOperations = 0;

	private constructor(
		private readonly store: IKeyValueStore,
		private readonly clock: IClock,
		private readonly timing: IdempotencyTiming,
	) {
		this.lease = SharedLease.create(store, clock);
	}

	/**
	 * @param store holds the records
	 * @param options clock and times that override the defaults
	 * @returns the service
	 */
	public static create(
		store: IKeyValueStore,
		options: { readonly clock?: IClock; readonly times?: Partial<IdempotencyTiming> } = {},
	): IdempotencyService {
		return new IdempotencyService(store, options.clock ?? systemClock, { ...DEFAULT_TIMING, ...options.times });
	}

	public lookup(call: KeyedCall): Effect.Effect<LookupResult> {
		const read = Effect.map(this.store.get(recordKeyOf(call)), (stored) => evaluateRecord(stored, call.requestDigest));
		return this.refuseWhileUnavailable(read, () => undefined);
	}

	public claim(call: KeyedCall): Effect.Effect<ClaimResult> {
		return Effect.suspend(() => {
			const recordKey = recordKeyOf(call);
			const attemptId = randomUUID();
			const attempt = this.createRecord(recordKey, attemptId, call.requestDigest);
			return this.refuseWhileUnavailable(attempt, () =>
				this.runInBackground(this.removeAbandonedRecord(recordKey, attemptId), `remove ${recordKey}`),
			);
		});
	}

	public complete(claim: Claim, outcome: StoredOutcome): Effect.Effect<void> {
		return Effect.suspend(() => {
			const value = encodeRecord({ attemptId: claim.attemptId, requestDigest: claim.requestDigest, outcome });
			const stored = this.runInBackground(this.storeOutcome(claim, value), `store the outcome of ${claim.recordKey}`);
			return Effect.asVoid(Effect.timeoutOption(stored, this.timing.completeLimitMs));
		});
	}

	public release(claim: Claim): Effect.Effect<void> {
		return Effect.suspend(() => {
			const removed = this.runInBackground(
				this.removeOwnRecord(claim.recordKey, claim.attemptId),
				`remove ${claim.recordKey}`,
			);
			return Effect.asVoid(Effect.timeoutOption(removed, this.timing.completeLimitMs));
		});
	}

	// Retrying the creation is safe: a record with this attempt's identifier proves that an earlier try took effect.
	private createRecord(
		recordKey: string,
		attemptId: string,
		requestDigest: string,
	): Effect.Effect<ClaimResult, StoreError> {
		const value = encodeRecord({ attemptId, requestDigest });
		const create = Effect.flatMap(this.lease.current(), (leaseId) =>
			Effect.flatMap(
				Effect.result(this.store.compareAndSwap(recordKey, 0, value, leaseId)),
				(result): Effect.Effect<ClaimResult, StoreError> => {
					if (Result.isFailure(result)) {
						this.lease.discard(leaseId);
						return Effect.fail(result.failure);
					}
					const swap = result.success;
					if (swap.swapped) {
						const claim = { recordKey, attemptId, requestDigest, revision: swap.revision, leaseId };
						return Effect.succeed({ kind: 'claimed', claim });
					}
					return this.evaluateClaim(swap.current, { recordKey, attemptId, requestDigest, leaseId });
				},
			),
		);
		return this.retry(create);
	}

	private evaluateClaim(
		current: KeyValue | undefined,
		attempt: Omit<Claim, 'revision'>,
	): Effect.Effect<ClaimResult, StoreError> {
		if (current !== undefined && decodeRecord(current.value)?.attemptId === attempt.attemptId) {
			return Effect.succeed({ kind: 'claimed', claim: { ...attempt, revision: current.revision } });
		}
		const result = evaluateRecord(current, attempt.requestDigest);
		return result.kind === 'absent'
			? Effect.fail({ outcome: 'no-effect', message: 'the record was removed during the claim' })
			: Effect.succeed(result);
	}

	private storeOutcome(claim: Claim, value: Uint8Array): Effect.Effect<void, StoreError> {
		const swap = this.store.compareAndSwap(claim.recordKey, claim.revision, value, claim.leaseId);
		return Effect.flatMap(swap, (result) => {
			if (result.swapped || (result.current !== undefined && isOutcomeOf(result.current, claim.attemptId))) {
				return Effect.void;
			}
			log.warn(`The record ${claim.recordKey} was changed during its attempt; the outcome was not stored`);
			return Effect.void;
		});
	}

	private removeOwnRecord(recordKey: string, attemptId: string): Effect.Effect<void, StoreError> {
		return Effect.flatMap(this.store.get(recordKey), (stored) => {
			if (stored === undefined || decodeRecord(stored.value)?.attemptId !== attemptId) {
				return Effect.void;
			}
			return Effect.asVoid(this.store.remove(recordKey, stored.revision));
		});
	}

	// A creation without a response may take effect late, so the removal is repeated after a delay. The attempt never
	// dispatches the call.
	private removeAbandonedRecord(recordKey: string, attemptId: string): Effect.Effect<void, StoreError> {
		const removal = this.removeOwnRecord(recordKey, attemptId);
		return Effect.andThen(this.retry(removal), Effect.delay(removal, this.timing.claimLimitMs));
	}

	// Refuses the call when the store fails or exceeds the time limit, and then all calls for `refusalMs`.
	private refuseWhileUnavailable<R>(
		attempt: Effect.Effect<R, StoreError>,
		onUnavailable: () => unknown,
	): Effect.Effect<R | Extract<LookupResult, { kind: 'unavailable' }>> {
		return Effect.suspend(() => {
			const unavailable = {
				kind: 'unavailable' as const,
				retryAfterSeconds: Math.ceil(this.timing.refusalMs / 1_000),
			};
			if (this.clock.now() < this.refuseUntil) {
				return Effect.succeed(unavailable);
			}
			const refuse = Effect.sync(() => {
				this.refuseUntil = this.clock.now() + this.timing.refusalMs;
				onUnavailable();
				return unavailable;
			});
			const bounded = Effect.timeoutOrElse(attempt, { duration: this.timing.claimLimitMs, orElse: () => refuse });
			const handled = Effect.catch(bounded, () => refuse);
			return Effect.onInterrupt(handled, () => Effect.sync(onUnavailable));
		});
	}

	// Starts store work in a separate fiber, which the caller cannot interrupt, and returns an effect that waits for it.
	private runInBackground(operation: Effect.Effect<void, StoreError>, name: string): Effect.Effect<void> {
		if (this.backgroundOperations >= MAXIMUM_BACKGROUND_OPERATIONS) {
			log.warn(`Did not ${name}: too many operations wait for the store`);
			return Effect.void;
		}
		this.backgroundOperations++;
		const bounded = Effect.timeoutOrElse(this.retry(operation), {
			duration: this.timing.settleLimitMs,
			orElse: () => Effect.sync(() => log.warn(`Could not ${name}`)),
		});
		const fiber = Effect.runFork(
			Effect.ensuring(
				Effect.ignore(bounded),
				Effect.sync(() => this.backgroundOperations--),
			),
		);
		return Effect.asVoid(Fiber.await(fiber));
	}

	private retry<A>(
		operation: Effect.Effect<A, StoreError>,
		delayMs = this.timing.firstPauseMs,
	): Effect.Effect<A, StoreError> {
		return Effect.catch(operation, () =>
			Effect.delay(
				Effect.suspend(() => this.retry(operation, Math.min(delayMs * 2, this.timing.longestPauseMs))),
				delayMs,
			),
		);
	}
}

function recordKeyOf(call: KeyedCall): string {
	const digest = createHash('sha256').update(call.key).digest('hex');
	return `once/${encodeURIComponent(call.account)}/${digest}`;
}

function isOutcomeOf(stored: KeyValue, attemptId: string): boolean {
	const record = decodeRecord(stored.value);
	return record?.attemptId === attemptId && record.outcome !== undefined;
}
