// A caller: one request on a new or given connection, and what its caller sees of the answer.
import * as http from 'node:http';
import { HOST, KEY } from './servers.mjs';

/**
 * @param router to which the request is sent
 * @param request id, path and, where they differ from the defaults, method, headers, body and agent
 * @returns status, headers and body of the answer; `whole` is false and `error` set when there is no complete one
 */
export function call(
	{ host, port },
	{ id, path, method = 'GET', headers = {}, body = '', agent = false, limitMs = 6_000 },
) {
	return new Promise((resolve) => {
		const sentAt = Date.now();
		const request = http.request({
			host,
			port,
			path,
			method,
			agent,
			timeout: limitMs,
			headers: {
				host: HOST,
				'x-request-id': id,
				'x-deadline-ms': '5000',
				authorization: `Bearer ${KEY}`,
				...(method === 'GET' ? {} : { 'content-length': body.length }),
				...headers,
			},
		});
		const answer = { id, path, sentAt, status: 0, headers: {}, body: '', whole: false, error: undefined };
		const end = (error) => {
			answer.error ??= error;
			answer.endedAt ??= Date.now();
			resolve(answer);
		};
		request.on('timeout', () => request.destroy(new Error('no answer in time')));
		request.on('error', (error) => end(error.message));
		request.on('response', (response) => {
			answer.status = response.statusCode;
			answer.headers = response.headers;
			response.on('data', (chunk) => (answer.body += chunk));
			response.on('error', (error) => end(error.message));
			response.on('end', () => {
				answer.whole = response.complete;
				end(undefined);
			});
		});
		request.end(body);
	});
}
