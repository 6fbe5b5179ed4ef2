import { Deferred, Effect } from 'effect';
import { getLogger } from '../../base/node/log.js';

const log = getLogger('daemon');

/** The signals that ask the process to end. */
export interface ShutdownSignals {
	/** Completes at the first SIGTERM or SIGINT. */
	readonly first: Effect.Effect<void>;
	/** Completes at the second one. */
	readonly second: Effect.Effect<void>;
}

/** @returns the signals of this process, from now on */
export function watchSignals(): ShutdownSignals {
	const first = Deferred.makeUnsafe<undefined>();
	const second = Deferred.makeUnsafe<undefined>();
	let count = 0;
	const note = (signal: NodeJS.Signals): void => {
		count++;
		log.info(`Received ${signal}${count === 2 ? ' again, so requests in progress are ended now' : ''}.`);
		Deferred.doneUnsafe(count === 1 ? first : second, Effect.undefined);
	};
	process.on('SIGTERM', note);
	process.on('SIGINT', note);
	return { first: Effect.asVoid(Deferred.await(first)), second: Effect.asVoid(Deferred.await(second)) };
}
