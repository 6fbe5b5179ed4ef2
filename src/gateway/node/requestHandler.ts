import type { Effect } from 'effect';

/** Handles one request of a caller. */
export interface IRequestHandler {
	/**
	 * @returns an effect that completes when the response has ended; interrupting it cancels the request at the server or
	 * router to which it was sent
	 */
	run(): Effect.Effect<void>;
	/** Ends the response early because the router is shutting down; {@link run} is interrupted afterwards. */
	abort(): void;
}
