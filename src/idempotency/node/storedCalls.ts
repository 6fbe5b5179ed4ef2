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

/** Times that the service waits; all in milliseconds. */
export interface IdempotencyTiming {
	/** Longest time that a lookup or claim takes before the call is refused. */
	readonly claimLimitMs: number;
	/** Longest time that an answer waits for its record. */
	readonly completeLimitMs: number;
	/** Pause before a failed store call is repeated; doubles up to `longestPauseMs`. */
	readonly firstPauseMs: number;
	readonly longestPauseMs: number;
	/** Time for which storing or removing is repeated in the background. */
	readonly settleLimitMs: number;
	/** Time for which calls are refused at once after a claim met an unavailable store. */
	readonly refusalMs: number;
}

const DEFAULT_TIMES: IdempotencyTiming = {
	claimLimitMs: 3_000,
	completeLimitMs: 500,
	firstPauseMs: 20,
	longestPauseMs: 2_000,
	settleLimitMs: 60_000,
	refusalMs: 1_000,
};

// Background work beyond this is dropped: its records then stay in doubt until they expire, which is safe.
const MAXIMUM_SETTLING = 1_000;

/** At-most-once records in the platform's key-value store, at `once/<account>/<key digest>`. */
export class IdempotencyService implements IIdempotencyService {
	private readonly lease: SharedLease;
	private refuseUntil = -Infinity;
	private settling = 0;

	private constructor(
		private readonly store: IKeyValueStore,
		private readonly clock: IClock,
		private readonly times: IdempotencyTiming,
	) {
		this.lease = SharedLease.create(store, clock);
	}

	/**
	 * @param store holds the records
	 * @param options clock and times, where they differ from the defaults
	 * @returns the service
	 */
	public static create(
		store: IKeyValueStore,
		options: { readonly clock?: IClock; readonly times?: Partial<IdempotencyTiming> } = {},
	): IdempotencyService {
		return new IdempotencyService(store, options.clock ?? systemClock, { ...DEFAULT_TIMES, ...options.times });
	}

	public lookup(call: KeyedCall): Effect.Effect<LookupResult> {
		const read = Effect.map(this.store.get(recordKeyOf(call)), (stored) => evaluateRecord(stored, call.requestDigest));
		return this.guard(read, () => undefined);
	}

	public claim(call: KeyedCall): Effect.Effect<ClaimResult> {
		return Effect.suspend(() => {
			const recordKey = recordKeyOf(call);
			const attemptId = randomUUID();
			const attempt = this.createRecord(recordKey, attemptId, call.requestDigest);
			return this.guard(attempt, () => this.settle(this.removeAbandoned(recordKey, attemptId), `remove ${recordKey}`));
		});
	}

	public complete(claim: Claim, outcome: StoredOutcome): Effect.Effect<void> {
		return Effect.suspend(() => {
			const value = encodeRecord({ attemptId: claim.attemptId, requestDigest: claim.requestDigest, outcome });
			const stored = this.settle(this.storeOutcome(claim, value), `store the outcome of ${claim.recordKey}`);
			return Effect.asVoid(Effect.timeoutOption(stored, this.times.completeLimitMs));
		});
	}

	public release(claim: Claim): Effect.Effect<void> {
		return Effect.suspend(() => {
			const removed = this.settle(this.removeOwn(claim.recordKey, claim.attemptId), `remove ${claim.recordKey}`);
			return Effect.asVoid(Effect.timeoutOption(removed, this.times.completeLimitMs));
		});
	}

	// Repeating the create is safe: a record with this attempt's id proves that an earlier try took effect.
	private createRecord(
		recordKey: string,
		attemptId: string,
		requestDigest: string,
	): Effect.Effect<ClaimResult, StoreError> {
		const value = encodeRecord({ attemptId, requestDigest });
		const once = Effect.flatMap(this.lease.current(), (leaseId) =>
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
					return this.judgeClaim(swap.current, { recordKey, attemptId, requestDigest, leaseId });
				},
			),
		);
		return this.repeat(once);
	}

	private judgeClaim(
		current: KeyValue | undefined,
		attempt: Omit<Claim, 'revision'>,
	): Effect.Effect<ClaimResult, StoreError> {
		if (current !== undefined && decodeRecord(current.value)?.attemptId === attempt.attemptId) {
			return Effect.succeed({ kind: 'claimed', claim: { ...attempt, revision: current.revision } });
		}
		const judged = evaluateRecord(current, attempt.requestDigest);
		return judged.kind === 'absent'
			? Effect.fail({ outcome: 'no-effect', message: 'the record vanished during the claim' })
			: Effect.succeed(judged);
	}

	private storeOutcome(claim: Claim, value: Uint8Array): Effect.Effect<void, StoreError> {
		const swap = this.store.compareAndSwap(claim.recordKey, claim.revision, value, claim.leaseId);
		return Effect.flatMap(swap, (result) => {
			if (result.swapped || (result.current !== undefined && isOutcomeOf(result.current, claim.attemptId))) {
				return Effect.void;
			}
			log.warn(`the record ${claim.recordKey} changed under its attempt`);
			return Effect.void;
		});
	}

	private removeOwn(recordKey: string, attemptId: string): Effect.Effect<void, StoreError> {
		return Effect.flatMap(this.store.get(recordKey), (stored) => {
			if (stored === undefined || decodeRecord(stored.value)?.attemptId !== attemptId) {
				return Effect.void;
			}
			return Effect.asVoid(this.store.remove(recordKey, stored.revision));
		});
	}

	// A create without an answer may take effect late, so the record is looked for twice. The attempt never dispatches.
	private removeAbandoned(recordKey: string, attemptId: string): Effect.Effect<void, StoreError> {
		const removal = this.removeOwn(recordKey, attemptId);
		return Effect.andThen(this.repeat(removal), Effect.delay(removal, this.times.claimLimitMs));
	}

	// Refuses the call when the store fails or takes too long, and the calls that follow for a while.
	private guard<R>(
		attempt: Effect.Effect<R, StoreError>,
		onUnavailable: () => unknown,
	): Effect.Effect<R | Extract<LookupResult, { kind: 'unavailable' }>> {
		return Effect.suspend(() => {
			const unavailable = {
				kind: 'unavailable' as const,
				retryAfterSeconds: Math.ceil(this.times.refusalMs / 1_000),
			};
			if (this.clock.now() < this.refuseUntil) {
				return Effect.succeed(unavailable);
			}
			const refuse = Effect.sync(() => {
				this.refuseUntil = this.clock.now() + this.times.refusalMs;
				onUnavailable();
				return unavailable;
			});
			const bounded = Effect.timeoutOrElse(attempt, { duration: this.times.claimLimitMs, orElse: () => refuse });
			const answered = Effect.catch(bounded, () => refuse);
			return Effect.onInterrupt(answered, () => Effect.sync(onUnavailable));
		});
	}

	// Runs store work to its end in its own fiber, and returns an effect that waits for it.
	private settle(work: Effect.Effect<void, StoreError>, name: string): Effect.Effect<void> {
		if (this.settling >= MAXIMUM_SETTLING) {
			log.warn(`did not ${name}: too much work waits for the store`);
			return Effect.void;
		}
		this.settling++;
		const bounded = Effect.timeoutOrElse(this.repeat(work), {
			duration: this.times.settleLimitMs,
			orElse: () => Effect.sync(() => log.warn(`could not ${name}`)),
		});
		const fiber = Effect.runFork(
			Effect.ensuring(
				Effect.ignore(bounded),
				Effect.sync(() => this.settling--),
			),
		);
		return Effect.asVoid(Fiber.await(fiber));
	}

	private repeat<A>(
		work: Effect.Effect<A, StoreError>,
		pauseMs = this.times.firstPauseMs,
	): Effect.Effect<A, StoreError> {
		return Effect.catch(work, () =>
			Effect.delay(
				Effect.suspend(() => this.repeat(work, Math.min(pauseMs * 2, this.times.longestPauseMs))),
				pauseMs,
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
