import type { IClock } from '../../base/common/clock.js';
import type { Configuration } from '../../configuration/common/model.js';

/** Queue limit of an account per slot of its fair part of the pool. */
const QUEUED_PER_SLOT = 64;

/** Minimum queue limit, so that an account with a small share can send a burst. */
const MINIMUM_QUEUE_LIMIT = 32;

/** Maximum queue limit, which bounds the memory used by one account's queue on a router. */
const MAXIMUM_QUEUE_LIMIT = 10_000;

/** Weight of the latest interval between two starts in the moving average. */
const INTERVAL_WEIGHT = 0.1;

/** Interval between starts that is assumed until one has been measured. */
const INITIAL_INTERVAL_MS = 1_000;

const MINIMUM_RETRY_SECONDS = 1;
const MAXIMUM_RETRY_SECONDS = 600;

/** Why a request is refused on arrival, and when it may be retried. */
export interface AdmissionRefusal {
	readonly reason: 'queue-full' | 'deadline';
	readonly retryAfterSeconds: number;
}

/** Length and drain rate of the queue of one client account in one pool on this router. */
export class AccountQueue {
	private queued = 0;
	private meanIntervalMs: number | undefined;
	/** Start of the current interval: the last start of a request, or when the queue became non-empty after it. */
	private intervalStartedAt: number | undefined;

	private constructor(private readonly clock: IClock) {}

	/**
	 * @param clock measures the drain rate
	 * @returns an empty queue
	 */
	public static create(clock: IClock): AccountQueue {
		return new AccountQueue(clock);
	}

	/** Number of requests in the queue. */
	public get length(): number {
		return this.queued;
	}

	/** Milliseconds for which requests have been waiting without any being started; 0 when the queue is empty. */
	public get stalledMs(): number {
		return this.queued > 0 && this.intervalStartedAt !== undefined ? this.clock.now() - this.intervalStartedAt : 0;
	}

	/** Records that a request begins to wait. */
	public recordEnqueued(): void {
		if (this.queued === 0) {
			this.intervalStartedAt = this.clock.now();
		}
		this.queued++;
	}

	/**
	 * Records that a request no longer waits.
	 *
	 * @param started whether it was assigned a slot, as opposed to being cancelled
	 */
	public recordDequeued(started: boolean): void {
		this.queued--;
		if (!started || this.intervalStartedAt === undefined) {
			return;
		}
		const now = this.clock.now();
		const interval = now - this.intervalStartedAt;
		const mean = this.meanIntervalMs ?? interval;
		this.meanIntervalMs = mean + INTERVAL_WEIGHT * (interval - mean);
		this.intervalStartedAt = now;
	}

	/**
	 * @param ahead number of requests that are started before
	 * @returns expected wait in milliseconds at the current drain rate
	 */
	public waitMs(ahead: number): number {
		// If no request was started for longer than the mean interval, the queue drains more slowly than the mean suggests.
		return ahead * Math.max(this.meanIntervalMs ?? INITIAL_INTERVAL_MS, this.stalledMs);
	}

	/**
	 * Decides whether a new request may wait in the queue.
	 *
	 * @param limit maximum length of the queue
	 * @param deadlineMs maximum wait of the caller in milliseconds
	 * @returns a refusal, or undefined when the request may wait
	 */
	public checkAdmission(limit: number, deadlineMs: number | undefined): AdmissionRefusal | undefined {
		if (this.queued >= limit) {
			// Once half the queue has drained, there is room for all the callers that were refused in the meantime and retry.
			const waitMs = this.waitMs(this.queued - Math.floor(limit / 2));
			return { reason: 'queue-full', retryAfterSeconds: toRetryAfterSeconds(waitMs) };
		}
		if (deadlineMs === undefined) {
			return undefined;
		}
		const waitMs = this.waitMs(this.queued);
		if (deadlineMs > 0 && waitMs <= deadlineMs) {
			return undefined;
		}
		return { reason: 'deadline', retryAfterSeconds: toRetryAfterSeconds(waitMs - deadlineMs) };
	}
}

/** Queues of all client accounts on this router, with limits derived from their shares. */
export class AccountQueues {
	private readonly queues = new Map<string, AccountQueue>();
	private readonly limits = new Map<string, number>();

	private constructor(private readonly clock: IClock) {}

	/**
	 * @param clock measures drain rates
	 * @returns a set of queues in which all accounts have the minimum limit
	 */
	public static create(clock: IClock): AccountQueues {
		return new AccountQueues(clock);
	}

	/**
	 * @param pool identifier of the pool
	 * @param account identifier of the account
	 * @returns the account's queue
	 */
	public getQueue(pool: string, account: string): AccountQueue {
		const key = keyOf(pool, account);
		let queue = this.queues.get(key);
		if (queue === undefined) {
			queue = AccountQueue.create(this.clock);
			this.queues.set(key, queue);
		}
		return queue;
	}

	/**
	 * @param pool identifier of the pool
	 * @param account identifier of the account
	 * @returns maximum number of requests that the account may have queued on this router
	 */
	public getLimit(pool: string, account: string): number {
		return this.limits.get(keyOf(pool, account)) ?? MINIMUM_QUEUE_LIMIT;
	}

	/** @param configuration provides the shares and slots from which the limits are derived */
	public configure(configuration: Configuration): void {
		this.limits.clear();
		const poolOf = new Map(configuration.services.map((service) => [service.id, service.pool]));
		for (const pool of configuration.pools) {
			const slots = configuration.backendServers.reduce(
				(sum, server) => sum + (server.pool === pool.id ? server.slots : 0),
				0,
			);
			const members = configuration.accounts.filter((account) =>
				account.services.some((service) => poolOf.get(service) === pool.id),
			);
			const shares = members.reduce((sum, account) => sum + account.share, 0);
			for (const account of members) {
				const limit = Math.ceil((QUEUED_PER_SLOT * slots * account.share) / shares);
				const bounded = Math.min(Math.max(limit, MINIMUM_QUEUE_LIMIT), MAXIMUM_QUEUE_LIMIT);
				this.limits.set(keyOf(pool.id, account.id), bounded);
			}
		}
	}
}

function keyOf(pool: string, account: string): string {
	return `${pool}\n${account}`;
}

/**
 * @param waitMs milliseconds
 * @returns whole seconds for `Retry-After`, clamped to the permitted range
 */
export function toRetryAfterSeconds(waitMs: number): number {
	return Math.min(Math.max(Math.ceil(waitMs / 1_000), MINIMUM_RETRY_SECONDS), MAXIMUM_RETRY_SECONDS);
}
