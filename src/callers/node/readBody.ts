import type { IncomingMessage } from 'node:http';

const EMPTY = Buffer.alloc(0);

/** Why the body was not read: it is larger than allowed, or the caller disconnected while sending it. */
export type BodyFailure = 'too-large' | 'incomplete';

/**
 * Reads the body of a request.
 *
 * @param request received request
 * @param maximumBytes largest body that is allowed
 * @param done called once with the complete body, or the reason why it was not read
 */
export function readBody(
	request: IncomingMessage,
	maximumBytes: number,
	done: (body: Buffer | BodyFailure) => void,
): void {
	const contentLength = request.headers['content-length'];
	if (contentLength === undefined && request.headers['transfer-encoding'] === undefined) {
		request.resume();
		done(EMPTY);
		return;
	}
	if (Number(contentLength ?? 0) > maximumBytes) {
		done('too-large');
		return;
	}
	const chunks: Buffer[] = [];
	let size = 0;
	let settled = false;
	const settle = (result: Buffer | BodyFailure): void => {
		if (!settled) {
			settled = true;
			done(result);
		}
	};
	request.on('data', (chunk: Buffer) => {
		size += chunk.length;
		if (size > maximumBytes) {
			chunks.length = 0;
			settle('too-large');
			return;
		}
		chunks.push(chunk);
	});
	request.on('end', () => settle(chunks.length === 1 ? (chunks[0] ?? EMPTY) : Buffer.concat(chunks)));
	request.on('error', () => settle('incomplete'));
	request.on('close', () => settle('incomplete'));
}
