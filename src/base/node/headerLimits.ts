import type { ClientRequest, Server } from 'node:http';

/**
 * Keeps all header fields of the messages that a server or a request receives, as far as their size allows. By default,
 * Node.js drops the fields beyond the first 1,000 without notice, although its parser acts on them.
 *
 * @param receiver server that receives requests, or request that receives a response
 */
export function keepAllHeaders(receiver: Server | ClientRequest): void {
	receiver.maxHeadersCount = 0;
}
