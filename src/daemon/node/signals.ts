import { Deferred, Effect } from 'effect';
import { getLogger } from '../../base/node/log.js';

const log = getLogger('daemon');

/** Signals that request the shutdown of the process. */
export interface ShutdownSignals {
	/** Completes at the first SIGTERM or SIGINT. */
	readonly first: Effect.Effect<void>;
	/** Completes at the second signal. */
	readonly second: Effect.Effect<void>;
}

/** @returns the signals that this process receives from now on */
export function watchSignals(): ShutdownSignals {
	const first = Deferred.makeUnsafe<undefined>();
	const second = Deferred.makeUnsafe<undefined>();
	let count = 0;
	const handleSignal = (signal: NodeJS.Signals): void => {
		count++;
		log.info(`Received ${signal}${count === 2 ? ' again; ending the requests in progress' : ''}.`);
		Deferred.doneUnsafe(count === 1 ? first : second, Effect.undefined);
	};
	process.on('SIGTERM', handleSignal);
	process.on('SIGINT', handleSignal);
	return { first: Effect.asVoid(Deferred.await(first)), second: Effect.asVoid(Deferred.await(second)) };
}
