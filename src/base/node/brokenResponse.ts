import type { ServerResponse } from 'node:http';

/**
 * Breaks off a response, so that it does not appear complete. A caller that does not know chunks (HTTP/1.0) takes a regular
 * end of its connection for the end of the response, so the connection is reset.
 *
 * @param response that cannot be completed
 */
export function breakOff(response: ServerResponse): void {
	if (response.headersSent && !response.useChunkedEncodingByDefault) {
		response.socket?.resetAndDestroy();
	}
	response.destroy();
}
