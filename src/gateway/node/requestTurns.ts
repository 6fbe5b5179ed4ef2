import type { IClock } from '../../base/common/clock.js';

/** Requests that are handled in one iteration of the event loop. */
const REQUESTS_PER_TURN = 3;

/** Late requests that are handled in one iteration besides others, so that they do not collect. */
const LATE_REQUESTS_PER_TURN = 2;

/** Iterations that handle no requests before each one that does, while requests wait for long. */
const SKIPPED_TURNS = 2;

/** Time in milliseconds after which a request that waits is late. */
const MAXIMUM_WAIT_MS = 200;

/**
 * Handles a request.
 *
 * @param isLate whether the request has waited so long that the router has no time for it
 */
export type HandleRequest = (isLate: boolean) => void;

interface WaitingRequest {
	/** Undefined when the request has been given up. */
	handle: HandleRequest | undefined;
	readonly receivedAt: number;
}

/**
 * Bounds the requests that are handled in one iteration of the event loop; the others wait for the next ones. An iteration
 * accepts one new connection, so one that handled the requests of all open connections would keep new ones waiting in proportion
 * to their number.
 *
 * Accounts take turns, so an account waits only behind its own requests. While the first request of an account is late, its newest
 * ones are handled, which can still be answered in time, and its oldest ones are handled as late. Meanwhile some iterations are
 * left to new connections.
 *
 * Load pattern: callers with open connections repeat refused requests at once, while others try to connect.
 */
export class RequestTurns {
	/** Waiting requests by account, in the order in which the accounts have their turns. */
	private readonly waiting = new Map<string, WaitingRequest[]>();
	private handled = 0;
	private skipped = 0;
	private isScheduled = false;

	private constructor(private readonly clock: IClock) {}

	/**
	 * @param clock source of time
	 * @returns an instance without requests
	 */
	public static create(clock: IClock): RequestTurns {
		return new RequestTurns(clock);
	}

	/**
	 * Handles a request now, or in a later turn of its account.
	 *
	 * @param account whose turn it takes
	 * @param handle handles the request; must not throw
	 * @returns gives the request up if it still waits, so that nothing of it is held
	 */
	public take(account: string, handle: HandleRequest): () => void {
		if (!this.isScheduled) {
			this.isScheduled = true;
			setImmediate(() => this.begin());
		}
		if (this.waiting.size > 0 || this.handled >= REQUESTS_PER_TURN) {
			const request: WaitingRequest = { handle, receivedAt: this.clock.now() };
			const queue = this.waiting.get(account);
			if (queue === undefined) {
				this.waiting.set(account, [request]);
			} else {
				queue.push(request);
			}
			return () => {
				request.handle = undefined;
				this.dropGivenUp(account);
			};
		}
		this.handled++;
		handle(false);
		return () => undefined;
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns longest time in milliseconds for which a request has been waiting; 0 when none is
	 */
	public waitMs(now: number): number {
		let longestMs = 0;
		for (const [first] of this.waiting.values()) {
			longestMs = Math.max(longestMs, first === undefined ? 0 : now - first.receivedAt);
		}
		return longestMs;
	}

	private begin(): void {
		this.isScheduled = this.waiting.size > 0;
		if (this.isScheduled) {
			setImmediate(() => this.begin());
		}
		const now = this.clock.now();
		if (this.waitMs(now) > MAXIMUM_WAIT_MS && this.skipped < SKIPPED_TURNS) {
			this.skipped++;
			return;
		}
		this.skipped = 0;
		this.handled = 0;
		while (this.handled < REQUESTS_PER_TURN && this.handleNext((queue) => takeInTime(queue, now), false)) {
			this.handled++;
		}
		let late = Math.max(LATE_REQUESTS_PER_TURN, REQUESTS_PER_TURN - this.handled);
		while (late > 0 && this.handleNext((queue) => takeLate(queue, now), true)) {
			this.handled++;
			late--;
		}
	}

	/** Handles a request of the first account that has a suitable one; the next turn is another account's. */
	private handleNext(takeFrom: (queue: WaitingRequest[]) => WaitingRequest | undefined, isLate: boolean): boolean {
		for (const [account, queue] of this.waiting) {
			const request = takeFrom(queue);
			if (request !== undefined) {
				this.waiting.delete(account);
				this.waiting.set(account, queue);
				this.dropGivenUp(account);
				request.handle?.(isLate);
				return true;
			}
		}
		return false;
	}

	/** Removes given up requests from both ends of the queue of an account; those between them hold nothing. */
	private dropGivenUp(account: string): void {
		const queue = this.waiting.get(account);
		if (queue === undefined) {
			return;
		}
		while (queue.length > 0 && queue[0]?.handle === undefined) {
			queue.shift();
		}
		while (queue.length > 0 && queue.at(-1)?.handle === undefined) {
			queue.pop();
		}
		if (queue.length === 0) {
			this.waiting.delete(account);
		}
	}
}

function isLateAt(request: WaitingRequest | undefined, now: number): boolean {
	return request !== undefined && now - request.receivedAt > MAXIMUM_WAIT_MS;
}

/** Takes the oldest request, or the newest one when the oldest is late; none when that is late too. */
function takeInTime(queue: WaitingRequest[], now: number): WaitingRequest | undefined {
	if (!isLateAt(queue[0], now)) {
		return queue.shift();
	}
	return isLateAt(queue.at(-1), now) ? undefined : queue.pop();
}

function takeLate(queue: WaitingRequest[], now: number): WaitingRequest | undefined {
	return isLateAt(queue[0], now) ? queue.shift() : undefined;
}
