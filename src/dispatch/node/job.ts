import type { BackendFailure, IResponseSink } from '../../backends/common/backendClient.js';
import type { IClock } from '../../base/common/clock.js';
import { combineVerdicts, type Verdict } from '../../base/common/verdict.js';
import type { AccountQueue } from '../common/accountQueues.js';
import type { DispatchFailure, DispatchFailureCode, DispatchRequest } from '../common/dispatchService.js';
import type { RetryBudget } from '../common/retryBudget.js';
import { ResponseRelay } from './responseRelay.js';
import { computeFingerprint } from './fingerprint.js';

/** Attempts at one request, resumed streams not counted when they brought at least one event. */
const MAXIMUM_ATTEMPTS = 5;

/** Longest time that a request without a deadline waits for its answer to begin. */
const DEFAULT_DEADLINE_MS = 600_000;

/** One request on its way from the queue to its verdict. */
export class Job {
	public readonly relay: ResponseRelay;
	public readonly deadlineAt: number;
	/** Backend servers that brought no whole answer to this request. */
	public readonly failedServers = new Set<string>();
	/** The deadline passed before the answer began. */
	public expired = false;
	private readonly createdAt: number;
	private verdictIfGivenUp: Verdict = 'not-run';
	private started = false;
	private verdict: Verdict = 'not-run';
	private attempts = 0;
	private resumedFrom: string | undefined;
	private knownFingerprint: string | undefined;

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
	 * @param request what to run
	 * @param parts the account's queue and retry budget, the caller's sink, and the clock of the deadline
	 * @returns a job that was not sent anywhere
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

	/** The call needs a record in the store before it is dispatched. */
	public get isRecorded(): boolean {
		return !this.request.idempotent && this.request.idempotencyKey !== undefined;
	}

	/** Milliseconds until the deadline; negative after it. */
	public get remainingMs(): number {
		return this.deadlineAt - this.clock.now();
	}

	/** Identifies the request among those that may crash backend servers. Only computed when it is needed. */
	public get fingerprint(): string {
		this.knownFingerprint ??= computeFingerprint(this.request);
		return this.knownFingerprint;
	}

	/** Notes that bytes go to a backend server. */
	public markSent(): void {
		this.setVerdict('may-have-run');
		if (!this.started) {
			this.started = true;
			this.request.onDidStart?.(this.clock.now() - this.createdAt);
		}
	}

	/** Verdict if the request were given up now. */
	public get currentVerdict(): Verdict {
		return this.verdictIfGivenUp;
	}

	/** Notes that the call goes on without its caller from now on. */
	public markDetached(): void {
		this.setVerdict('may-have-run');
	}

	/**
	 * Notes a failed attempt.
	 *
	 * @param failure what the attempt came to
	 */
	public markFailed(failure: BackendFailure): void {
		this.verdict = combineVerdicts(this.verdict, failure.verdict);
		this.setVerdict(this.isRecorded ? 'may-have-run' : this.verdict);
		const resumeFrom = this.relay.resumeFrom;
		if (resumeFrom === undefined || resumeFrom === this.resumedFrom) {
			this.attempts++;
		}
		this.resumedFrom = resumeFrom;
	}

	/**
	 * @param failure what the last attempt came to
	 * @returns whether another attempt is safe and within its limits
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
	 * @param code why the request ends
	 * @param message what the caller is told
	 * @param retryAfterSeconds when a retry makes sense
	 * @param verdict verdict of the request, unless its attempts decide it
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
		if (verdict !== this.verdictIfGivenUp) {
			this.verdictIfGivenUp = verdict;
			this.request.onDidChangeVerdict?.(verdict);
		}
	}
}
