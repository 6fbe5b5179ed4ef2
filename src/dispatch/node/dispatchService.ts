import { Effect, Exit, Fiber } from 'effect';
import type { IResponseSink } from '../../backends/common/backendClient.js';
import { type IClock, systemClock } from '../../base/common/clock.js';
import type {
	Claim,
	ClaimResult,
	IIdempotencyService,
	KeyedCall,
	LookupResult,
	StoredOutcome,
} from '../../idempotency/common/idempotencyService.js';
import type { ISlotService, Slot } from '../../scheduling/common/slotService.js';
import { AccountQueues, toRetryAfterSeconds } from '../common/accountQueues.js';
import type { DispatchFailure, DispatchRequest, IDispatchService } from '../common/dispatchService.js';
import { RetryBudget } from '../common/retryBudget.js';
import { computeRequestDigest } from './fingerprint.js';
import { Job } from './job.js';
import { AttemptRunner, type AttemptRunnerOptions, type UsableSlot } from './attemptRunner.js';

/** Delay before a request is queued again that was assigned a slot it cannot use. */
const UNUSABLE_SLOT_DELAY_MS = 5;

/** Interval at which a suspect retries its claim to run. */
const CLAIM_RETRY_INTERVAL_MS = 10;

/** Value of `Retry-After` when backend servers have failed. */
const FAILURE_RETRY_SECONDS = 1;

/** Value of `Retry-After` while another attempt with the same key may be running. */
const IN_DOUBT_RETRY_SECONDS = 2;

// If the process was suspended for longer, the record may have expired and another attempt may have run.
const CLAIM_USE_LIMIT_MS = 3_600_000;

type Restore = <A, E>(effect: Effect.Effect<A, E>) => Effect.Effect<A, E>;
type Program = Effect.Effect<void, DispatchFailure>;

/** Dependencies of the dispatch service. */
export interface DispatchOptions extends Omit<AttemptRunnerOptions, 'clock'> {
	readonly slots: ISlotService;
	readonly idempotency: IIdempotencyService;
	readonly clock?: IClock;
}

/** Runs requests from the fair queue to their verdict. */
export class DispatchService implements IDispatchService {
	public readonly queues: AccountQueues;
	private readonly budgets = new Map<string, RetryBudget>();
	private readonly attempts: AttemptRunner;
	private readonly clock: IClock;

	private constructor(private readonly options: DispatchOptions) {
		this.clock = options.clock ?? systemClock;
		this.queues = AccountQueues.create(this.clock);
		this.attempts = AttemptRunner.create({ ...options, clock: this.clock });
		options.configuration.onDidChange((current) => this.queues.configure(current));
		if (options.configuration.current !== undefined) {
			this.queues.configure(options.configuration.current);
		}
	}

	/**
	 * @param options dependencies
	 * @returns a dispatch service
	 */
	public static create(options: DispatchOptions): DispatchService {
		return new DispatchService(options);
	}

	public dispatch(request: DispatchRequest, sink: IResponseSink): Program {
		return Effect.suspend(() => {
			const { pool } = request.service;
			const budget = this.budgetOf(pool, request.account.id);
			const queue = this.queues.getQueue(pool, request.account.id);
			const job = Job.create(request, { queue, budget, sink, clock: this.clock });
			const refusal = this.checkAdmission(job);
			if (refusal !== undefined) {
				return Effect.fail(refusal);
			}
			budget.deposit();
			return this.withDeadline(job, job.isRecorded ? this.runRecorded(job) : this.runUnrecorded(job));
		});
	}

	private checkAdmission(job: Job): DispatchFailure | undefined {
		const { suspects } = this.options;
		if (suspects.hasSuspects) {
			const quarantineMs = suspects.remainingQuarantineMs(job.fingerprint);
			if (quarantineMs > 0) {
				return this.quarantineFailure(job, quarantineMs);
			}
		}
		const { service, account, deadlineMs } = job.request;
		const refusal = job.queue.checkAdmission(this.queues.getLimit(service.pool, account.id), deadlineMs);
		if (refusal === undefined) {
			return undefined;
		}
		const message =
			refusal.reason === 'queue-full'
				? `${job.queue.length} requests of the account are queued, which is the limit`
				: 'the deadline cannot be met';
		return job.fail(refusal.reason, message, refusal.retryAfterSeconds);
	}

	private quarantineFailure(job: Job, quarantineMs: number): DispatchFailure {
		const message = 'backend servers died while they ran this request, so it is not run for a while';
		return job.fail('quarantined', message, toRetryAfterSeconds(quarantineMs));
	}

	private withDeadline(job: Job, program: Program): Program {
		return Effect.flatMap(Effect.forkChild(program, { startImmediately: true }), (fiber) => {
			const expire = (): void => {
				if (!job.relay.responseStarted) {
					job.expired = true;
					fiber.interruptUnsafe();
				}
			};
			const timer = setTimeout(expire, job.remainingMs);
			const ended = Effect.flatMap(Fiber.await(fiber), (exit): Program => {
				if (job.expired && Exit.hasInterrupts(exit)) {
					const waitMs = job.queue.waitMs(job.queue.length);
					const message = 'the deadline passed before the answer began';
					return Effect.fail(job.fail('deadline', message, toRetryAfterSeconds(waitMs), job.currentVerdict));
				}
				return exit;
			});
			return Effect.ensuring(
				ended,
				Effect.sync(() => clearTimeout(timer)),
			);
		});
	}

	private runUnrecorded(job: Job): Program {
		return Effect.uninterruptibleMask((restore) =>
			Effect.flatMap(this.acquireUsableSlot(job, restore), (usable) => this.runFrom(usable, job, restore, undefined)),
		);
	}

	private runRecorded(job: Job): Program {
		const { request } = job;
		const call: KeyedCall = {
			account: request.account.id,
			key: request.idempotencyKey ?? '',
			requestDigest: computeRequestDigest(request),
		};
		return Effect.flatMap(this.options.idempotency.lookup(call), (found) => {
			if (found.kind !== 'absent') {
				return this.respondFrom(found, job);
			}
			return Effect.uninterruptibleMask((restore) =>
				Effect.flatMap(this.acquireUsableSlot(job, restore), (usable) => {
					// From here on, the call continues even if its caller disconnects, so that a resend finds an outcome.
					job.markDetached();
					const claimed = Effect.uninterruptible(this.runClaimed(usable, job, call));
					return Effect.flatMap(Effect.forkDetach(claimed, { startImmediately: true }), (fiber) =>
						restore(Fiber.join(fiber)),
					);
				}),
			);
		});
	}

	private runClaimed(usable: UsableSlot, job: Job, call: KeyedCall): Program {
		const { idempotency } = this.options;
		const startedAt = this.clock.now();
		return Effect.flatMap(idempotency.claim(call), (result): Program => {
			if (result.kind !== 'claimed') {
				this.attempts.releaseUnused(usable, job);
				return this.respondFrom(result, job);
			}
			const { claim } = result;
			if (this.clock.now() - startedAt > CLAIM_USE_LIMIT_MS) {
				this.attempts.releaseUnused(usable, job);
				const failure = job.fail('record-unavailable', 'the record was claimed too late', FAILURE_RETRY_SECONDS);
				return Effect.andThen(idempotency.release(claim), Effect.fail(failure));
			}
			// A retry waits for a slot only until the deadline, because nothing else interrupts this fiber.
			const bounded: Restore = (effect) => Effect.interruptible(effect);
			const run = this.runFrom(usable, job, bounded, claim);
			return Effect.tapError(run, (failure) =>
				failure.verdict === 'not-run' ? idempotency.release(claim) : Effect.void,
			);
		});
	}

	private respondFrom(found: Exclude<LookupResult | ClaimResult, { kind: 'absent' | 'claimed' }>, job: Job): Program {
		switch (found.kind) {
			case 'replay':
				return this.replay(found.outcome, job);
			case 'mismatch':
				return Effect.fail(job.fail('key-reused', 'the key was used with another request', undefined, 'not-run'));
			case 'in-doubt': {
				const message = 'another attempt with this key was made, and its outcome is not known';
				return Effect.fail(job.fail('in-doubt', message, IN_DOUBT_RETRY_SECONDS, 'may-have-run'));
			}
			case 'unavailable': {
				const message = 'the store does not answer, so the call cannot be recorded';
				return Effect.fail(job.fail('record-unavailable', message, found.retryAfterSeconds, 'not-run'));
			}
		}
	}

	private replay(outcome: StoredOutcome, job: Job): Program {
		if (outcome.body === undefined) {
			const message = 'the call ran, but its answer was too large to be kept';
			return Effect.fail(job.fail('answer-not-kept', message, undefined, 'completed'));
		}
		const { body } = outcome;
		return Effect.sync(() => {
			job.relay.begin({ status: outcome.status, headers: toHeaderMap(outcome.headers) });
			job.relay.write(
				body,
				() => undefined,
				() => undefined,
			);
			job.relay.finish();
		});
	}

	private acquireUsableSlot(job: Job, restore: Restore): Effect.Effect<UsableSlot, DispatchFailure> {
		return Effect.suspend(() =>
			this.options.suspects.hasSuspects ? this.acquireForSuspect(job, restore) : this.acquireSlot(job, restore, false),
		);
	}

	private acquireForSuspect(job: Job, restore: Restore): Effect.Effect<UsableSlot, DispatchFailure> {
		const { suspects } = this.options;
		const delay = restore(Effect.sleep(CLAIM_RETRY_INTERVAL_MS));
		const next: Effect.Effect<UsableSlot, DispatchFailure> = Effect.suspend(() => {
			switch (suspects.tryClaim(job.fingerprint)) {
				case 'clear':
					return this.acquireSlot(job, restore, false);
				case 'quarantined':
					return Effect.fail(this.quarantineFailure(job, suspects.remainingQuarantineMs(job.fingerprint)));
				case 'wait':
					return Effect.andThen(delay, next);
				case 'claimed':
					return Effect.onInterrupt(this.acquireSlot(job, restore, true), () =>
						Effect.sync(() => suspects.releaseClaim(job.fingerprint)),
					);
			}
		});
		return next;
	}

	private acquireSlot(job: Job, restore: Restore, suspect: boolean): Effect.Effect<UsableSlot> {
		const wait = restore(this.waitInQueue(job));
		const next: Effect.Effect<UsableSlot> = Effect.flatMap(wait, (slot) => {
			const usable = this.attempts.tryPrepare(slot, job, suspect);
			if (usable !== undefined) {
				return Effect.succeed(usable);
			}
			return Effect.andThen(restore(Effect.sleep(UNUSABLE_SLOT_DELAY_MS)), next);
		});
		return next;
	}

	private waitInQueue(job: Job): Effect.Effect<Slot> {
		const { service, account, costHint } = job.request;
		return Effect.suspend(() => {
			job.queue.recordEnqueued();
			const slot = this.options.slots.acquire({
				pool: service.pool,
				account: account.id,
				service: service.id,
				costHint,
			});
			return Effect.onExit(slot, (exit) => Effect.sync(() => job.queue.recordDequeued(exit._tag === 'Success')));
		});
	}

	// Makes attempts, the first on the given slot, until one succeeds or no further one is permitted.
	private runFrom(usable: UsableSlot, job: Job, restore: Restore, claim: Claim | undefined): Program {
		const self = this;
		return Effect.gen(function* () {
			let current: UsableSlot | undefined = usable;
			for (;;) {
				const failure = yield* self.attempts.run(current, job, self.requestFor(job, current, claim), restore);
				if (failure === undefined) {
					return yield* self.finish(job, claim);
				}
				job.markFailed(failure);
				const quarantineMs = self.options.suspects.hasSuspects
					? self.options.suspects.remainingQuarantineMs(job.fingerprint)
					: 0;
				if (quarantineMs > 0) {
					return yield* Effect.fail(self.quarantineFailure(job, quarantineMs));
				}
				if (!job.mayRetry(failure)) {
					return yield* Effect.fail(job.fail('backend', failure.message, self.retryAfterSecondsOf(job)));
				}
				current = yield* self.acquireBeforeDeadline(job, restore);
				if (current === undefined) {
					return yield* Effect.fail(job.fail('deadline', 'the deadline passed', FAILURE_RETRY_SECONDS));
				}
			}
		});
	}

	private acquireBeforeDeadline(job: Job, restore: Restore): Effect.Effect<UsableSlot | undefined, DispatchFailure> {
		if (!job.isRecorded) {
			return this.acquireUsableSlot(job, restore);
		}
		const wait = restore(Effect.timeoutOption(this.acquireUsableSlot(job, restore), Math.max(0, job.remainingMs)));
		return Effect.map(wait, (found) => (found._tag === 'Some' ? found.value : undefined));
	}

	private finish(job: Job, claim: Claim | undefined): Effect.Effect<void> {
		const stored = claim === undefined ? Effect.void : this.options.idempotency.complete(claim, job.relay.outcome());
		return Effect.andThen(
			stored,
			Effect.sync(() => job.relay.finish()),
		);
	}

	private requestFor(job: Job, usable: UsableSlot, claim: Claim | undefined): DispatchRequest['request'] {
		const { request } = job.request;
		const resumeFrom = job.relay.resumeFrom;
		const fencing = usable.server.checksFencing ? claim?.revision : undefined;
		if (resumeFrom === undefined && fencing === undefined) {
			return request;
		}
		const headers: Record<string, string | readonly string[]> = { ...request.headers };
		if (resumeFrom !== undefined) {
			headers['last-event-id'] = resumeFrom;
		}
		if (fencing !== undefined) {
			headers['masticloom-fencing-number'] = String(fencing);
		}
		return { ...request, headers };
	}

	// A resend without a key could run a call twice, so no retry is suggested for such a call if it may have run.
	private retryAfterSecondsOf(job: Job): number | undefined {
		const safe = job.request.idempotent || job.isRecorded || job.currentVerdict === 'not-run';
		return safe ? FAILURE_RETRY_SECONDS : undefined;
	}

	private budgetOf(pool: string, account: string): RetryBudget {
		const key = `${pool}\n${account}`;
		let budget = this.budgets.get(key);
		if (budget === undefined) {
			budget = RetryBudget.create();
			this.budgets.set(key, budget);
		}
		return budget;
	}
}

function toHeaderMap(headers: StoredOutcome['headers']): Record<string, string | readonly string[]> {
	const collected: Record<string, string | readonly string[]> = {};
	for (const [name, value] of headers) {
		const earlier = collected[name];
		collected[name] = earlier === undefined ? value : [...(typeof earlier === 'string' ? [earlier] : earlier), value];
	}
	return collected;
}
