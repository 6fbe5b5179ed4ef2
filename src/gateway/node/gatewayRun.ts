import type { Effect } from 'effect';

/** Handles one request of a caller. */
export interface IRequestHandler {
	/** @returns completes when the response has ended; interruption cancels the request at the server that runs it */
	run(): Effect.Effect<void>;
	/** Ends the response early because the router is shutting down; {@link run} is interrupted afterwards. */
	abort(): void;
}
