import { Effect, Option } from 'effect';
import { type IDisposable, toDisposable } from '../common/lifecycle.js';

/**
 * Calls a function after the event loop has polled its sockets once more.
 *
 * One iteration of the event loop reads the bytes of a connection, and only the next one detects that it has ended.
 *
 * @param callback function to call
 */
export function afterNextPoll(callback: () => void): void {
	setImmediate(() => setImmediate(callback));
}

/**
 * Calls a function when a time has passed and all that has arrived until then has been read. After a pause of the process, timers
 * run before the sockets are read, so an ordinary timer would find that nothing has arrived during the pause.
 *
 * @param callback function to call
 * @param milliseconds to wait
 * @returns a disposable that cancels the call
 */
export function setTimeoutAfterPoll(callback: () => void, milliseconds: number): IDisposable {
	let isCancelled = false;
	const timer = setTimeout(() => {
		afterNextPoll(() => {
			if (!isCancelled) {
				callback();
			}
		});
	}, milliseconds);
	return toDisposable(() => {
		isCancelled = true;
		clearTimeout(timer);
	});
}

/** Completes after the event loop has polled its sockets once more. */
export const nextPoll: Effect.Effect<void> = Effect.callback((resume) => afterNextPoll(() => resume(Effect.void)));

/**
 * Ends an effect that takes too long, after all that has arrived until then has been read.
 *
 * @param effect to run
 * @param milliseconds that it may take
 * @returns its result; none when it has been interrupted
 */
export function timeoutAfterPoll<A, E, R>(
	effect: Effect.Effect<A, E, R>,
	milliseconds: number,
): Effect.Effect<Option.Option<A>, E, R> {
	const timeout = Effect.sleep(milliseconds).pipe(Effect.andThen(nextPoll), Effect.as(Option.none<A>()));
	return Effect.raceFirst(Effect.asSome(effect), timeout);
}
