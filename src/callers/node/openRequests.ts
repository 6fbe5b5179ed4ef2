import type { ServerResponse } from 'node:http';
import { Effect } from 'effect';
import { breakOff } from '../../base/node/brokenResponse.js';

/** Tracks requests whose response is not complete, so that a shutdown can wait for them. */
export class OpenRequests {
	private readonly open = new Map<ServerResponse, () => void>();
	private readonly waiting: (() => void)[] = [];

	private constructor() {}

	/** @returns an instance without requests */
	public static create(): OpenRequests {
		return new OpenRequests();
	}

	/** Number of requests in progress. */
	public get size(): number {
		return this.open.size;
	}

	/**
	 * Tracks a request until its complete response is written to the connection or the connection is closed.
	 *
	 * @param response response to the request
	 */
	public add(response: ServerResponse): void {
		this.open.set(response, () => breakOff(response));
		response.once('close', () => {
			this.open.delete(response);
			if (this.open.size === 0) {
				this.waiting.splice(0).forEach((resume) => resume());
			}
		});
	}

	/**
	 * Sets how a request is aborted. By default its connection is destroyed.
	 *
	 * @param response response to the request
	 * @param abort sends a response with a verdict, or destroys the connection if part of the response was sent
	 */
	public setAbort(response: ServerResponse, abort: () => void): void {
		if (this.open.has(response)) {
			this.open.set(response, abort);
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
	 * Aborts all requests, except those whose response has ended and only has to be flushed.
	 *
	 * @returns number of aborted requests
	 */
	public abortAll(): number {
		const unfinished = [...this.open].filter(([response]) => !response.writableEnded);
		unfinished.forEach(([, abort]) => abort());
		return unfinished.length;
	}
}
