import type { Effect } from 'effect';
import type { BackendTarget } from './backendClient.js';

/** Whether a server accepts connections; `unknown` when it did not respond in time. */
export type ProbeResult = 'accepting' | 'refusing' | 'unknown';

/**
 * Opens a connection to a server and closes it, to distinguish a server that has ended from a lost response.
 *
 * @param server to probe
 * @returns whether it accepts connections
 */
export type ServerProbe = (server: BackendTarget) => Effect.Effect<ProbeResult>;
