import type { BackendFailure, IResponseSink } from '../../backends/common/backendClient.js';
import type { IClock } from '../../base/common/clock.js';
import { combineVerdicts, type Verdict } from '../../base/common/verdict.js';
import type { AccountQueue } from '../common/accountQueues.js';
import type { DispatchFailure, DispatchFailureCode, DispatchRequest } from '../common/dispatchService.js';
import type { RetryBudget } from '../common/retryBudget.js';
import { ResponseRelay } from './responseRelay.js';
import { computeFingerprint } from './fingerprint.js';

/** Maximum number of attempts per request. Failed attempts that advanced a resumable stream are not counted. */
const MAXIMUM_ATTEMPTS = 5;

/** Maximum time until the response to a request without a deadline must begin. */
const DEFAULT_DEADLINE_MS = 600_000;

/** State of one request from its arrival to its verdict. */
export class Job {
	public readonly relay: ResponseRelay;
	public readonly deadlineAt: number;
	/** Backend servers that did not return a complete response to this request. */
	public readonly failedServers = new Set<string>();
	/** Whether the deadline passed before the response began. */
	public expired = false;
	private readonly createdAt: number;
	private verdictIfCancelled: Verdict = 'not-run';
	private started = false;
	private verdict: Verdict = 'not-run';
	private attempts = 0;
	private lastResumeFrom: string | undefined;
	private cachedFingerprint: string | undefined;

	private constructor(
		public readonly request: DispatchRequest,
		public readonly queue: AccountQueue,
		private readonly budget: RetryBudget,
		sink: IResponseSink,
		private readonly clock: IClock,
	) {
		this.createdAt = clock.now();
		this.deadlineAt = this.createdAt + (request.deadlineMs ?? DEFAULT_DEADLINE_MS);
		const { service } = request;
		this.relay = ResponseRelay.create(sink, {
			modelEngine: service.kind === 'model-engine',
			resumable: service.resumable,
			recorded: this.isRecorded,
		});
	}

	/**
	 * @param request request to run
	 * @param parts queue and retry budget of the account, sink of the caller, and the clock that measures the deadline
	 * @returns a job that has not been sent
	 */
	public static create(
		request: DispatchRequest,
		parts: {
			readonly queue: AccountQueue;
			readonly budget: RetryBudget;
			readonly sink: IResponseSink;
			readonly clock: IClock;
		},
	): Job {
		return new Job(request, parts.queue, parts.budget, parts.sink, parts.clock);
	}

	/** Whether the call must be recorded in the store before it is sent. */
	public get isRecorded(): boolean {
		return !this.request.idempotent && this.request.idempotencyKey !== undefined;
	}

	/** Milliseconds until the deadline; negative after it. */
	public get remainingMs(): number {
		return this.deadlineAt - this.clock.now();
	}

	/** Fingerprint of the request, used to find requests that crash backend servers. Computed on first use. */
	public get fingerprint(): string {
		this.cachedFingerprint ??= computeFingerprint(this.request);
		return this.cachedFingerprint;
	}

	/** Records that the request is being sent to a backend server. */
	public markSent(): void {
		this.setVerdict('may-have-run');
		if (!this.started) {
			this.started = true;
			this.request.onDidStart?.(this.clock.now() - this.createdAt);
		}
	}

	/** Verdict that the request would have if it were cancelled now. */
	public get currentVerdict(): Verdict {
		return this.verdictIfCancelled;
	}

	/** Records that from now on the call continues even if its caller disconnects. */
	public markDetached(): void {
		this.setVerdict('may-have-run');
	}

	/**
	 * Records a failed attempt.
	 *
	 * @param failure failure of the attempt
	 */
	public markFailed(failure: BackendFailure): void {
		this.verdict = combineVerdicts(this.verdict, failure.verdict);
		this.setVerdict(this.isRecorded ? 'may-have-run' : this.verdict);
		const resumeFrom = this.relay.resumeFrom;
		if (resumeFrom === undefined || resumeFrom === this.lastResumeFrom) {
			this.attempts++;
		}
		this.lastResumeFrom = resumeFrom;
	}

	/**
	 * @param failure failure of the last attempt
	 * @returns whether another attempt is safe and within the limits
	 */
	public mayRetry(failure: BackendFailure): boolean {
		const safe = failure.verdict === 'not-run' || this.request.idempotent;
		const resumable = !this.relay.responseStarted || this.relay.resumeFrom !== undefined;
		return (
			safe &&
			resumable &&
			failure.kind !== 'fenced' &&
			this.attempts < MAXIMUM_ATTEMPTS &&
			(this.remainingMs > 0 || this.relay.responseStarted) &&
			this.budget.tryWithdraw()
		);
	}

	/**
	 * Creates the failure with which the request ends.
	 *
	 * @param code reason of the failure
	 * @param message explanation for the caller
	 * @param retryAfterSeconds seconds after which a retry may succeed, if it is safe
	 * @param verdict verdict of the request; by default that of its attempts
	 * @returns the failure
	 */
	public fail(
		code: DispatchFailureCode,
		message: string,
		retryAfterSeconds: number | undefined,
		verdict: Verdict = this.verdict,
	): DispatchFailure {
		return { code, verdict, responseStarted: this.relay.responseStarted, message, retryAfterSeconds };
	}

	private setVerdict(verdict: Verdict): void {
		if (verdict !== this.verdictIfCancelled) {
			this.verdictIfCancelled = verdict;
			this.request.onDidChangeVerdict?.(verdict);
		}
	}
}
