import type { ServerResponse } from 'node:http';
import { Effect } from 'effect';

/** Requests whose answer is not complete, so that a shutdown can wait for them. */
export class OpenRequests {
	private readonly open = new Map<ServerResponse, () => void>();
	private readonly waiting: (() => void)[] = [];

	private constructor() {}

	/** @returns no requests */
	public static create(): OpenRequests {
		return new OpenRequests();
	}

	/** Number of requests in progress. */
	public get size(): number {
		return this.open.size;
	}

	/**
	 * Counts a request until its connection has taken the whole answer or is closed.
	 *
	 * @param response answer to the request
	 */
	public add(response: ServerResponse): void {
		this.open.set(response, () => response.destroy());
		response.once('close', () => {
			this.open.delete(response);
			if (this.open.size === 0) {
				this.waiting.splice(0).forEach((resume) => resume());
			}
		});
	}

	/**
	 * Sets how a request is ended early. Without this, its connection is destroyed.
	 *
	 * @param response answer to the request
	 * @param end answers with a verdict, or destroys the connection when parts of the answer were sent
	 */
	public setAbort(response: ServerResponse, end: () => void): void {
		if (this.open.has(response)) {
			this.open.set(response, end);
		}
	}

	/** Completes when no request is in progress. */
	public readonly idle: Effect.Effect<void> = Effect.callback<undefined>((resume) => {
		if (this.open.size === 0) {
			resume(Effect.undefined);
			return;
		}
		this.waiting.push(() => resume(Effect.undefined));
	});

	/**
	 * Ends all requests early, except those whose answer only has to be written out.
	 *
	 * @returns the number of requests that were ended
	 */
	public abortAll(): number {
		const unanswered = [...this.open].filter(([response]) => !response.writableEnded);
		unanswered.forEach(([, end]) => end());
		return unanswered.length;
	}
}
