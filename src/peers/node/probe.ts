import * as net from 'node:net';
import { Effect } from 'effect';

/** A live listener keeps an accepted connection open for at least this long; a forwarder without a target closes it. */
const PROBE_TIMEOUT_MS = 500;

/**
 * Determines whether a process listens at an address. A process that is suspended or behind a partition cannot be
 * distinguished from a slow one, so only an error shows that no process listens.
 *
 * @param address `host:port`
 * @returns whether the connection was refused or reset at once
 */
export function isConnectionRefused(address: string): Effect.Effect<boolean> {
	return Effect.callback<boolean>((resume) => {
		const separator = address.lastIndexOf(':');
		const socket = net.connect(Number(address.slice(separator + 1)), address.slice(0, separator));
		const finish = (refused: boolean): void => {
			socket.destroy();
			resume(Effect.succeed(refused));
		};
		socket.setTimeout(PROBE_TIMEOUT_MS, () => finish(false));
		socket.on('error', () => finish(true));
		socket.on('end', () => finish(true));
		return Effect.sync(() => socket.destroy());
	});
}
