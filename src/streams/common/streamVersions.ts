import type { Effect } from 'effect';

/** A stream of events, named by the attempt that brought its first event. */
export interface StreamIdentity {
	/** Name of the client account; empty when requests need no key. */
	readonly account: string;
	/** Identifier of the attempt; undefined when the caller names none. */
	readonly attempt: string | undefined;
}

/**
 * From where the version of a stream is known.
 *
 * - `own`: this router passed on the first event.
 * - `record`: the router that did so has written it to the store.
 * - `single-version`: no other version can have begun it.
 */
export type VersionSource = 'own' | 'record' | 'single-version';

/** Which software version began a stream. */
export type StreamOrigin =
	| { readonly kind: 'known'; readonly version: string; readonly source: VersionSource }
	| {
			readonly kind: 'unknown';
			/** Whether the version may become known, because the records could not be read now. */
			readonly isTemporary: boolean;
	  };

/** Remembers which software version began each stream, also beyond the loss of all routers. */
export interface IStreamVersions {
	/**
	 * Records that a server has sent the first event of a stream.
	 *
	 * @param stream the stream
	 * @param version software version of the server; undefined when it is not known
	 * @param lifetimeMs milliseconds for which the caller may take the stream up again
	 */
	recordBegin(stream: StreamIdentity, version: string | undefined, lifetimeMs: number): void;
	/**
	 * @param service to which the stream belongs
	 * @param stream the stream
	 * @returns the version that began it; never a guess
	 */
	findOrigin(service: string, stream: StreamIdentity): Effect.Effect<StreamOrigin>;
}
