import * as http from 'node:http';
import { setTimeoutAfterPoll } from '../../base/node/eventLoop.js';
import { keepAllHeaders, MAXIMUM_RESPONSE_HEAD_BYTES } from '../../base/node/headerLimits.js';

/** Maximum size of a response body. A snapshot of a thousand servers takes 0.5 MB, and a single value up to 1.4 MB. */
const MAXIMUM_BODY_BYTES = 33_554_432;

/** Response to a JSON call. */
export interface JsonResponse {
	readonly status: number;
	readonly headers: http.IncomingHttpHeaders;
	readonly body: unknown;
}

/** A failed JSON call. `sent` is true when the request may have reached the server, `isTimeout` when no response came in time. */
export class HttpCallError extends Error {
	public constructor(
		message: string,
		public readonly sent: boolean,
		public readonly isTimeout = false,
	) {
		super(message);
	}
}

/**
 * Sends a request and reads the JSON response.
 *
 * @param url absolute URL
 * @param options method, JSON body, agent, time limit in milliseconds, and a signal that aborts the call
 * @returns status and decoded body
 * @throws HttpCallError when no complete response with valid JSON arrives within the time limit
 */
export function callJson(
	url: URL,
	options: {
		readonly method: string;
		readonly body?: unknown;
		readonly agent: http.Agent;
		readonly timeoutMs: number;
		readonly signal: AbortSignal;
	},
): Promise<JsonResponse> {
	return new Promise((resolve, reject) => {
		const payload = options.body === undefined ? undefined : Buffer.from(JSON.stringify(options.body));
		let connected = false;
		let isTimeout = false;
		const request = http.request(url, {
			method: options.method,
			agent: options.agent,
			signal: options.signal,
			maxHeaderSize: MAXIMUM_RESPONSE_HEAD_BYTES,
			headers: payload && { 'content-type': 'application/json', 'content-length': payload.length },
		});
		keepAllHeaders(request);
		const timeout = setTimeoutAfterPoll(() => {
			isTimeout = true;
			request.destroy(new Error(`no response within ${options.timeoutMs} ms`));
		}, options.timeoutMs);
		const fail = (error: Error): void => {
			timeout.dispose();
			reject(new HttpCallError(error.message, connected, isTimeout));
		};
		request.on('socket', (socket) => {
			if (!socket.connecting) {
				connected = true;
				return;
			}
			socket.once('connect', () => (connected = true));
		});
		request.on('error', fail);
		request.on('response', (response) => {
			const chunks: Buffer[] = [];
			let bytes = 0;
			response.on('data', (chunk: Buffer) => {
				bytes += chunk.length;
				if (bytes > MAXIMUM_BODY_BYTES) {
					request.destroy(new Error(`the response is larger than ${MAXIMUM_BODY_BYTES} bytes`));
					return;
				}
				chunks.push(chunk);
			});
			response.on('error', fail);
			response.on('end', () => {
				timeout.dispose();
				try {
					const text = Buffer.concat(chunks).toString('utf8');
					const { statusCode = 0, headers } = response;
					resolve({ status: statusCode, headers, body: text === '' ? undefined : (JSON.parse(text) as unknown) });
				} catch (error) {
					fail(error as Error);
				}
			});
		});
		request.end(payload);
	});
}
