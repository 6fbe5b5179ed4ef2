// A caller: one request on a new or given connection, and what its caller sees of the answer.
import * as http from 'node:http';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { HOST, KEY } from './servers.mjs';

const STAGGER_MS = 30;

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
		request.on('socket', () => (answer.isKept = request.reusedSocket));
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

/**
 * Sends orders on kept channels, one after the other on each.
 *
 * @param router to which they are sent
 * @param channels number of channels
 * @returns a function that stops and returns the answers
 */
export function keepOrdering(router, channels) {
	const answers = [];
	let isOver = false;
	const order = async (channel) => {
		await sleep(channel * STAGGER_MS); // The channels are not in step with each other.
		const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
		for (let number = 1; !isOver && router.endedAt === undefined; number++) {
			const id = `order-${channel}-${number}`;
			answers.push(await call(router, { id, path: '/order/7', method: 'POST', body: 'order', agent }));
		}
		agent.destroy();
	};
	const all = Promise.all(Array.from({ length: channels }, (_, index) => order(index + 1)));
	return async () => {
		isOver = true;
		await all;
		return answers;
	};
}

/**
 * @param answers of ordinary requests
 * @param servers on which they ran
 * @returns the requests that a server has run and whose callers got no complete answer of that server
 */
export function findLost(answers, servers) {
	const run = new Set(servers.flatMap(({ runs }) => runs).map(({ id }) => id));
	return answers.filter(({ id, status, whole }) => run.has(id) && !(status === 200 && whole));
}

/** Those of the lost requests that came on a kept channel which was closed without any answer. */
export function findLostOnKeptChannels(answers, servers) {
	return findLost(answers, servers).filter(({ isKept, status }) => isKept === true && status === 0);
}

/** Numbers of answers by status; 0 stands for none. */
export function countStatuses(answers) {
	const counts = new Map();
	answers.forEach(({ status }) => counts.set(status, (counts.get(status) ?? 0) + 1));
	return JSON.stringify([...counts]);
}
