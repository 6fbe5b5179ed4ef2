import { connect } from 'node:net';
import { Effect } from 'effect';
import { setTimeoutAfterPoll } from '../../base/node/eventLoop.js';
import type { ProbeResult, ServerProbe } from '../common/serverProbe.js';

/** Time in which a server that runs accepts a connection, in milliseconds. */
const PROBE_TIMEOUT_MS = 500;

/** Probes a server by a TCP connection on which nothing is sent. */
export const probeByConnection: ServerProbe = ({ url }) => {
	const { hostname, port } = new URL(url);
	return Effect.callback<ProbeResult>((resume) => {
		const socket = connect({ host: hostname, port: Number(port) });
		const end = (result: ProbeResult): void => {
			timeout.dispose();
			socket.destroy();
			resume(Effect.succeed(result));
		};
		const timeout = setTimeoutAfterPoll(() => end('unknown'), PROBE_TIMEOUT_MS);
		socket.once('connect', () => end('accepting'));
		socket.once('error', (error: NodeJS.ErrnoException) => end(error.code === 'ECONNREFUSED' ? 'refusing' : 'unknown'));
		return Effect.sync(() => {
			timeout.dispose();
			socket.destroy();
		});
	});
};
