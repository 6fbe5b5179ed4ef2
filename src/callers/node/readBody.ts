import type { IncomingMessage } from 'node:http';
import { GrowingBuffer } from '../../base/node/growingBuffer.js';

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
	// Small chunks take far more memory than their bytes, so they are copied.
	const collected = GrowingBuffer.create();
	let settled = false;
	const settle = (result: Buffer | BodyFailure): void => {
		if (!settled) {
			settled = true;
			done(result);
		}
	};
	request.on('data', (chunk: Buffer) => {
		if (settled) {
			return;
		}
		if (collected.length + chunk.length > maximumBytes) {
			collected.clear();
			settle('too-large');
			return;
		}
		collected.append(chunk);
	});
	request.on('end', () => settle(collected.take()));
	request.on('error', () => settle('incomplete'));
	request.on('close', () => settle('incomplete'));
}
