import * as http from 'node:http';

/** Longest body that is read. Snapshots of a thousand servers take half a megabyte, and one value up to 1.4. */
const LONGEST_BODY_BYTES = 33_554_432;

/** Answer of a small JSON call. */
export interface JsonResponse {
	readonly status: number;
	readonly body: unknown;
}

/** Says whether the request may have reached the server. */
export class HttpCallError extends Error {
	public constructor(
		message: string,
		public readonly sent: boolean,
	) {
		super(message);
	}
}

/**
 * Sends a small request and reads its JSON answer.
 *
 * @param url absolute URL
 * @param options method, JSON body, agent, time limit in milliseconds and signal that aborts the call
 * @returns status and decoded body
 * @throws HttpCallError when there is no whole answer in time
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
		const request = http.request(url, {
			method: options.method,
			agent: options.agent,
			signal: options.signal,
			headers: payload && { 'content-type': 'application/json', 'content-length': payload.length },
		});
		const timer = setTimeout(() => {
			request.destroy(new Error(`no answer within ${options.timeoutMs} ms`));
		}, options.timeoutMs);
		const fail = (error: Error): void => {
			clearTimeout(timer);
			reject(new HttpCallError(error.message, connected));
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
				if (bytes > LONGEST_BODY_BYTES) {
					request.destroy(new Error(`an answer of more than ${LONGEST_BODY_BYTES} bytes`));
					return;
				}
				chunks.push(chunk);
			});
			response.on('error', fail);
			response.on('end', () => {
				clearTimeout(timer);
				try {
					const text = Buffer.concat(chunks).toString('utf8');
					resolve({ status: response.statusCode ?? 0, body: text === '' ? undefined : (JSON.parse(text) as unknown) });
				} catch (error) {
					fail(error as Error);
				}
			});
		});
		request.end(payload);
	});
}
