import type { Effect } from 'effect';

/** Answers one request of a caller. */
export interface IRequestHandler {
	/** @returns ends when the answer has; interruption cancels the request where it runs */
	run(): Effect.Effect<void>;
	/** Ends the request early because the router shuts down. */
	abort(): void;
}
