import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Breaks off a response, so that it does not appear complete. A caller that does not know chunks (HTTP/1.0) takes a regular
 * end of its connection for the end of the response, so the connection is reset.
 *
 * @param response that cannot be completed
 */
export function breakOff(response: ServerResponse): void {
	if (response.headersSent && !response.useChunkedEncodingByDefault) {
		if (response.socket) {
			resetConnection(response.socket);
		}
	}
	response.destroy();
}

/**
 * Resets a connection, so that what was sent on it does not appear complete. Node.js cannot reset one whose end is being
 * sent: the reset fails and the connection is never closed.
 *
 * @param socket of the connection
 */
export function resetConnection(socket: Socket): void {
	if (socket.writableEnded && !socket.writableFinished) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
