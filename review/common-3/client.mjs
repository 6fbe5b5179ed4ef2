// A caller: one request on a new or given connection, and what its caller sees of the answer.
import * as http from 'node:http';
import { clearInterval, setInterval } from 'node:timers';
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

/**
 * Sends requests that must not be repeated at an interval, whether or not those before are answered.
 *
 * @param chooseRouter returns the router of the next request, if any
 * @param request path, headers and body of each
 * @returns a function that stops and returns the answers
 */
export function keepSending(chooseRouter, intervalMs, request) {
	const calls = [];
	const timer = setInterval(() => {
		const router = chooseRouter();
		if (router !== undefined) {
			calls.push(call(router, { id: `ordinary-${calls.length + 1}`, method: 'POST', ...request }));
		}
	}, intervalMs);
	return () => {
		clearInterval(timer);
		return Promise.all(calls);
	};
}

/** A stream that may not be resumed, of 40 events in 800 ms. */
export const DRAFT = { path: '/draft/1', headers: { 'x-model': 'm', 'x-token-usage': '10,200' } };

/**
 * @param answers of ordinary requests
 * @param servers on which they ran
 * @returns the requests that a server has run and whose callers got no complete answer of that server
 */
export function findLost(answers, servers) {
	const run = new Set(servers.flatMap(({ runs }) => runs).map(({ id }) => id));
	return answers.filter(({ id, status, whole }) => run.has(id) && !(status === 200 && whole));
}

/** Numbers of answers by status; 0 stands for none. */
export function countStatuses(answers) {
	const counts = new Map();
	answers.forEach(({ status }) => counts.set(status, (counts.get(status) ?? 0) + 1));
	return JSON.stringify([...counts]);
}
