import { connect } from 'node:net';
import { Effect } from 'effect';
import type { ProbeResult, ServerProbe } from '../common/serverProbe.js';

/** Time in which a server that runs accepts a connection, in milliseconds. */
const PROBE_TIMEOUT_MS = 500;

/** Probes a server by a TCP connection on which nothing is sent. */
export const probeByConnection: ServerProbe = ({ url }) => {
	const { hostname, port } = new URL(url);
	return Effect.callback<ProbeResult>((resume) => {
		const socket = connect({ host: hostname, port: Number(port) });
		const end = (result: ProbeResult): void => {
			socket.destroy();
			resume(Effect.succeed(result));
		};
		socket.setTimeout(PROBE_TIMEOUT_MS, () => end('unknown'));
		socket.once('connect', () => end('accepting'));
		socket.once('error', (error: NodeJS.ErrnoException) => end(error.code === 'ECONNREFUSED' ? 'refusing' : 'unknown'));
		return Effect.sync(() => socket.destroy());
	});
};
