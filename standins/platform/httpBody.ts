import type * as http from 'node:http';

/**
 * Reads the JSON body of a request.
 *
 * @returns the decoded body (undefined if it is empty or not valid JSON) and its size in bytes
 */
export async function readJson(
	request: http.IncomingMessage,
): Promise<{ readonly body: unknown; readonly bytes: number }> {
	const chunks: Buffer[] = [];
	try {
		for await (const chunk of request) {
			chunks.push(chunk as Buffer);
		}
		const text = Buffer.concat(chunks).toString('utf8');
		return { body: text === '' ? undefined : (JSON.parse(text) as unknown), bytes: Buffer.byteLength(text) };
	} catch {
		return { body: undefined, bytes: 0 };
	}
}

/**
 * Sends a JSON response.
 *
 * @returns size of the body in bytes
 */
export function sendJson(response: http.ServerResponse, status: number, body: unknown): number {
	const payload = Buffer.from(JSON.stringify(body));
	response.writeHead(status, { 'content-type': 'application/json', 'content-length': payload.length });
	response.end(payload);
	return payload.length;
}
