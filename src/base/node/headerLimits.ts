import type { ClientRequest, Server } from 'node:http';

/** Maximum size in bytes of the head of a response, and of its trailers. The default of Node.js is 16 KiB. */
export const MAXIMUM_RESPONSE_HEAD_BYTES = 64 * 1_024;

/**
 * Keeps all header fields of the messages that a server or a request receives, as far as their size allows. By default,
 * Node.js drops the fields beyond the first 1,000 without notice, although its parser acts on them.
 *
 * @param receiver server that receives requests, or request that receives a response
 */
export function keepAllHeaders(receiver: Server | ClientRequest): void {
	receiver.maxHeadersCount = 0;
}

/**
 * Sets the maximum size of the head of a request, and of its trailers, for connections that are opened afterwards.
 *
 * @param server that receives requests
 * @param bytes maximum size
 */
export function setMaximumHeadBytes(server: Server, bytes: number): void {
	// Node.js reads this undocumented property of the server when it creates the parser of a connection.
	(server as Server & { maxHeaderSize?: number }).maxHeaderSize = bytes;
}
