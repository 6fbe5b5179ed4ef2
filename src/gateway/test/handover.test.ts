import * as http from 'node:http';
import { afterEach, describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { decodeHandoverHeader, encodeHandoverHeader } from '../common/handoverMark.js';
import type { Neighbour } from '../common/neighbourSelector.js';
import {
	respondWith,
	type BackendBehaviour,
	breakConnectionAfter,
	configurationWith,
	blockEventLoop,
	failWith,
	type GatewayFixture,
	HOST,
	KEY,
	routeWith,
	send,
	startGateway,
	neverRespond,
} from './gatewayFixture.js';

const fixtures: GatewayFixture[] = [];

afterEach(() => fixtures.splice(0).forEach((fixture) => fixture.dispose()));

const orders = configurationWith([routeWith()]);

async function startRouter(
	behaviour: BackendBehaviour,
	neighbours: readonly Neighbour[] = [],
	configuration = orders,
): Promise<GatewayFixture> {
	const fixture = await startGateway([behaviour], configuration, undefined, undefined, neighbours);
	fixtures.push(fixture);
	return fixture;
}

function neighbourAt(port: number): Neighbour {
	return { instance: `router-at-${port}`, isRelieved: false, address: { host: '127.0.0.1', port } };
}

/**
 * Starts a router and saturates its CPU, so that it hands over the requests that it receives.
 *
 * @param neighbours list to which the neighbours are added later
 * @returns the router
 */
async function startOverloaded(neighbours: readonly Neighbour[]): Promise<GatewayFixture> {
	const router = await startRouter(respondWith(200, 'from itself'), neighbours);
	await blockEventLoop();
	return router;
}

/** Starts an overloaded router and an idle neighbour. */
async function startPair(
	behaviour: BackendBehaviour,
	configuration = orders,
): Promise<{ readonly router: GatewayFixture; readonly neighbour: GatewayFixture }> {
	const neighbours: Neighbour[] = [];
	const router = await startOverloaded(neighbours);
	const neighbour = await startRouter(behaviour, [], configuration);
	neighbours.push(neighbourAt(neighbour.port));
	return { router, neighbour };
}

function reasonsOf({ lines }: GatewayFixture): readonly unknown[] {
	return lines.filter(({ event }) => event === 'handed-over').map(({ fields }) => fields.reason);
}

async function waitUntil(holds: () => boolean): Promise<void> {
	while (!holds()) {
		await new Promise((resolve) => setTimeout(resolve, 5));
	}
}

describe('an overloaded router', () => {
	// Guards against refusing requests while neighbours are idle.
	test('hands a request over to a neighbour, and passes the response on unchanged', async () => {
		const { router, neighbour } = await startPair(respondWith(200, 'from the neighbour'));
		const response = await send(router.port, { body: 'two almanacs' });
		expect(response).toMatchObject({ status: 200, body: 'from the neighbour', whole: true });
		expect(response.headers.signature).toBe('signed');
		expect(router.attempts).toHaveLength(0);
		expect(neighbour.attempts.map(({ request }) => Buffer.from(request.body).toString())).toEqual(['two almanacs']);
		expect(reasonsOf(router)).toEqual(['']);
	});

	test('passes on the refusal of a neighbour that has decided on the request', async () => {
		const { router } = await startPair(failWith({ kind: 'unreachable', verdict: 'not-run' }));
		const response = await send(router.port);
		expect(response.status).toBe(503);
		expect(response.headers['retry-after']).toBeDefined();
		expect(reasonsOf(router)).toEqual(['']);
	});

	// Guards against the use of an outdated route that a newer configuration version has changed.
	test('does not let a neighbour with an older configuration run a request', async () => {
		const { router, neighbour } = await startPair(
			respondWith(200, 'from the neighbour'),
			configurationWith([routeWith()], { version: 0 }),
		);
		const response = await send(router.port);
		expect(response.status).toBe(503);
		expect(response.body).toContain('"verdict":"not-run"');
		expect(neighbour.attempts).toHaveLength(0);
	});

	test('tries another router when one is unreachable', async () => {
		const neighbours: Neighbour[] = [];
		const router = await startOverloaded(neighbours);
		const stopped = await startRouter(respondWith(200, 'gone'));
		stopped.dispose();
		neighbours.push(neighbourAt(stopped.port));
		expect((await send(router.port)).status).toBe(503);
		const neighbour = await startRouter(respondWith(200, 'from the neighbour'));
		neighbours.push(neighbourAt(neighbour.port));
		expect(await send(router.port)).toMatchObject({ status: 200, body: 'from the neighbour' });
	});

	// Guards against two routers that hand the same request back and forth.
	test('runs or refuses a request that was handed over to it', async () => {
		const neighbours: Neighbour[] = [];
		const router = await startOverloaded(neighbours);
		const neighbour = await startRouter(respondWith(200, 'from the neighbour'));
		neighbours.push(neighbourAt(neighbour.port));
		const headers = { 'masticloom-handed-over': encodeHandoverHeader({ elapsedMs: 5, configurationVersion: 1 }) };
		const responses = await Promise.all(Array.from({ length: 10 }, () => send(router.port, { headers })));
		expect(new Set(responses.map(({ body }) => body.includes('from the neighbour')))).toEqual(new Set([false]));
		expect(responses.filter(({ status }) => status === 503).length).toBeGreaterThan(0);
		expect(responses.find(({ status }) => status === 503)?.headers['masticloom-not-started']).toBe('true');
	});

	test('does not report that a request has not run when the connection to the neighbour breaks', async () => {
		const neighbours: Neighbour[] = [];
		const router = await startOverloaded(neighbours);
		const neighbour = await startRouter(neverRespond());
		const other = await startRouter(respondWith(200, 'from the other'));
		neighbours.push(neighbourAt(neighbour.port));
		const response = send(router.port);
		await waitUntil(() => neighbour.attempts.length === 1);
		neighbours.push(neighbourAt(other.port));
		neighbour.dispose();
		expect((await response).status).toBe(502);
		expect((await response).body).toContain('"verdict":"may-have-run"');
		expect(other.attempts).toHaveLength(0);
	});

	test('breaks off the response when that of the neighbour breaks off', async () => {
		const { router } = await startPair(breakConnectionAfter('the first part', { 'content-length': '100' }));
		expect(await send(router.port)).toMatchObject({ status: 200, whole: false });
	});

	test('cancels a request at the neighbour when its caller disconnects', async () => {
		const { router, neighbour } = await startPair(neverRespond());
		const headers = { host: HOST, authorization: KEY, 'request-id': 'request-1' };
		const request = http.request({ port: router.port, host: '127.0.0.1', path: '/orders/1', method: 'POST', headers });
		request.on('error', () => undefined);
		request.end();
		await waitUntil(() => neighbour.attempts.length === 1);
		request.destroy();
		await waitUntil(() => neighbour.attempts.some(({ interrupted }) => interrupted));
		expect(neighbour.gateway.requestsInProgress).toBe(0);
	});

	// Guards against a shutdown without a response to requests that another router runs.
	test('answers requests that it has handed over when it shuts down', async () => {
		const { router, neighbour } = await startPair(neverRespond());
		const response = send(router.port);
		await waitUntil(() => neighbour.attempts.length === 1);
		expect(router.gateway.abortRequests()).toBe(1);
		expect((await response).status).toBe(502);
		expect((await response).body).toContain('"verdict":"may-have-run"');
	});

	// Guards against a missing response, for which the caller would wait until its own timeout.
	test('answers a request that an unexpected error ends', async () => {
		const address = { host: 'no address', port: 80 };
		const router = await startOverloaded([{ instance: 'router-2', isRelieved: false, address }]);
		expect((await send(router.port)).status).toBe(503);
		expect(router.lines.map(({ event }) => event)).toContain('request-failed-unexpectedly');
	});

	test('passes on the end of a request whose time limit has passed', async () => {
		const { router } = await startPair(neverRespond(), configurationWith([routeWith({ timeoutMs: 300 })]));
		expect(await send(router.port, { headers: { deadline: '250' } })).toMatchObject({ status: 504 });
	});
});

describe('HandoverMark', () => {
	test('is decoded as it was sent', () => {
		fc.assert(
			fc.property(fc.nat(999_999_999), fc.nat(2 ** 31 - 1), (elapsedMs, configurationVersion) => {
				const header = { elapsedMs, configurationVersion };
				expect(decodeHandoverHeader(encodeHandoverHeader(header))).toEqual(header);
			}),
		);
	});

	// Callers can send the header too, with any value.
	test('is undefined for a value that cannot be read', () => {
		for (const text of [undefined, '', '1', '1;', ';2', '1;2;3', '-1;2', '1.5;2', 'x;y', '1;99999999999999999999']) {
			expect(decodeHandoverHeader(text)).toBeUndefined();
		}
		expect(decodeHandoverHeader(['1;2', '1;2'])).toBeUndefined();
	});
});
