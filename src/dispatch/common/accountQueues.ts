import type { IClock } from '../../base/common/clock.js';
import type { Configuration } from '../../configuration/common/model.js';

/** Queued requests per slot of the account's fair part of the pool. */
const QUEUED_PER_SLOT = 64;

/** Every account may queue this many requests, so that a small share can still send a burst. */
const LEAST_QUEUE_LIMIT = 32;

/** Bounds the memory that one account's queue takes on a router. */
const LARGEST_QUEUE_LIMIT = 10_000;

/** Weight of the newest interval between two starts in the running mean. */
const INTERVAL_WEIGHT = 0.1;

/** Interval between starts that is assumed before the first was seen. */
const INITIAL_INTERVAL_MS = 1_000;

const LEAST_RETRY_SECONDS = 1;
const LARGEST_RETRY_SECONDS = 600;

/** Why a request is refused on arrival, and when to retry. */
export interface AdmissionRefusal {
	readonly reason: 'queue-full' | 'deadline';
	readonly retryAfterSeconds: number;
}

/** Queue of one client account in one pool on this router: its length, its limit and how fast it drains. */
export class AccountQueue {
	private queued = 0;
	private intervalMs: number | undefined;
	/** Time since which the queue was never empty; each start moves it. */
	private drainSince: number | undefined;

	private constructor(private readonly clock: IClock) {}

	/**
	 * @param clock measures the drain rate
	 * @returns an empty queue
	 */
	public static create(clock: IClock): AccountQueue {
		return new AccountQueue(clock);
	}

	/** Requests that wait now. */
	public get length(): number {
		return this.queued;
	}

	/** Milliseconds in which requests waited and none started; 0 when none waits. */
	public get stalledMs(): number {
		return this.queued > 0 && this.drainSince !== undefined ? this.clock.now() - this.drainSince : 0;
	}

	/** Counts a request that begins to wait. */
	public recordEnqueued(): void {
		if (this.queued === 0) {
			this.drainSince = this.clock.now();
		}
		this.queued++;
	}

	/**
	 * Counts a request that waits no more.
	 *
	 * @param started it got a slot, as opposed to being given up
	 */
	public recordDequeued(started: boolean): void {
		this.queued--;
		if (!started || this.drainSince === undefined) {
			return;
		}
		const now = this.clock.now();
		const interval = now - this.drainSince;
		const mean = this.intervalMs ?? interval;
		this.intervalMs = mean + INTERVAL_WEIGHT * (interval - mean);
		this.drainSince = now;
	}

	/**
	 * @param ahead requests that have to start first
	 * @returns milliseconds until then at the present drain rate
	 */
	public waitMs(ahead: number): number {
		// A queue that has not moved for longer than its mean interval drains more slowly than the mean says.
		return ahead * Math.max(this.intervalMs ?? INITIAL_INTERVAL_MS, this.stalledMs);
	}

	/**
	 * Judges a request that arrives.
	 *
	 * @param limit largest length of the queue
	 * @param deadlineMs milliseconds that the caller waits at most
	 * @returns a refusal, or undefined when the request may wait
	 */
	public checkAdmission(limit: number, deadlineMs: number | undefined): AdmissionRefusal | undefined {
		if (this.queued >= limit) {
			// When half the queue has drained, there is room for all callers that were refused meanwhile and retry.
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
	 * @returns queues without limits of accounts
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
	 * @returns requests that the account may have queued on this router
	 */
	public getLimit(pool: string, account: string): number {
		return this.limits.get(keyOf(pool, account)) ?? LEAST_QUEUE_LIMIT;
	}

	/** @param configuration shares and slots to derive limits from */
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
				const bounded = Math.min(Math.max(limit, LEAST_QUEUE_LIMIT), LARGEST_QUEUE_LIMIT);
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
 * @returns whole seconds for `Retry-After`, within sensible limits
 */
export function toRetryAfterSeconds(waitMs: number): number {
	return Math.min(Math.max(Math.ceil(waitMs / 1_000), LEAST_RETRY_SECONDS), LARGEST_RETRY_SECONDS);
}
