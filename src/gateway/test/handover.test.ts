import * as http from 'node:http';
import { afterEach, describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { decodeHandoverHeader, encodeHandoverHeader } from '../common/handoverHeader.js';
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
 * Starts a router whose processor is exhausted, so that it hands over what arrives.
 *
 * @param neighbours that are started afterwards
 * @returns the router
 */
async function startExhausted(neighbours: readonly Neighbour[]): Promise<GatewayFixture> {
	const router = await startRouter(respondWith(200, 'from itself'), neighbours);
	await blockEventLoop();
	return router;
}

/** A router whose processor is exhausted, and an idle one beside it. */
async function startPair(
	behaviour: BackendBehaviour,
	configuration = orders,
): Promise<{ readonly router: GatewayFixture; readonly neighbour: GatewayFixture }> {
	const neighbours: Neighbour[] = [];
	const router = await startExhausted(neighbours);
	const neighbour = await startRouter(behaviour, [], configuration);
	neighbours.push(neighbourAt(neighbour.port));
	return { router, neighbour };
}

function reasonsOf({ lines }: GatewayFixture): readonly unknown[] {
	return lines.filter(({ event }) => event === 'handed-over').map(({ fields }) => fields.reason);
}

async function until(holds: () => boolean): Promise<void> {
	while (!holds()) {
		await new Promise((resolve) => setTimeout(resolve, 5));
	}
}

describe('an exhausted router', () => {
	// It refused what its processor could not do, while the routers beside it were idle.
	test('lets a neighbour run a request, and passes the answer on unchanged', async () => {
		const { router, neighbour } = await startPair(respondWith(200, 'from the neighbour'));
		const answer = await send(router.port, { body: 'two almanacs' });
		expect(answer).toMatchObject({ status: 200, body: 'from the neighbour', whole: true });
		expect(answer.headers.signature).toBe('signed');
		expect(router.attempts).toHaveLength(0);
		expect(neighbour.attempts.map(({ request }) => Buffer.from(request.body).toString())).toEqual(['two almanacs']);
		expect(reasonsOf(router)).toEqual(['']);
	});

	test('passes on the refusal of a neighbour that has decided on the request', async () => {
		const { router } = await startPair(failWith({ kind: 'unreachable', verdict: 'not-run' }));
		const answer = await send(router.port);
		expect(answer.status).toBe(503);
		expect(answer.headers['retry-after']).toBeDefined();
		expect(reasonsOf(router)).toEqual(['']);
	});

	// A route that moved with a new version would have been served by the old one.
	test('does not let a neighbour with an older configuration run a request', async () => {
		const { router, neighbour } = await startPair(
			respondWith(200, 'from the neighbour'),
			configurationWith([routeWith()], { version: 0 }),
		);
		const answer = await send(router.port);
		expect(answer.status).toBe(503);
		expect(answer.body).toContain('"verdict":"not-run"');
		expect(neighbour.attempts).toHaveLength(0);
	});

	test('asks another router when one cannot be reached', async () => {
		const neighbours: Neighbour[] = [];
		const router = await startExhausted(neighbours);
		const gone = await startRouter(respondWith(200, 'gone'));
		gone.dispose();
		neighbours.push(neighbourAt(gone.port));
		expect((await send(router.port)).status).toBe(503);
		const neighbour = await startRouter(respondWith(200, 'from the neighbour'));
		neighbours.push(neighbourAt(neighbour.port));
		expect(await send(router.port)).toMatchObject({ status: 200, body: 'from the neighbour' });
	});

	// Both would have passed it to and fro.
	test('runs or refuses what was handed over to it', async () => {
		const neighbours: Neighbour[] = [];
		const router = await startExhausted(neighbours);
		const neighbour = await startRouter(respondWith(200, 'from the neighbour'));
		neighbours.push(neighbourAt(neighbour.port));
		const headers = { 'masticloom-handed-over': encodeHandoverHeader({ elapsedMs: 5, configurationVersion: 1 }) };
		const answers = await Promise.all(Array.from({ length: 10 }, () => send(router.port, { headers })));
		expect(new Set(answers.map(({ body }) => body.includes('from the neighbour')))).toEqual(new Set([false]));
		expect(answers.filter(({ status }) => status === 503).length).toBeGreaterThan(0);
		expect(answers.find(({ status }) => status === 503)?.headers['masticloom-not-started']).toBe('true');
	});

	test('does not say that a request has not run when the connection to the neighbour breaks', async () => {
		const neighbours: Neighbour[] = [];
		const router = await startExhausted(neighbours);
		const neighbour = await startRouter(neverRespond());
		const other = await startRouter(respondWith(200, 'from the other'));
		neighbours.push(neighbourAt(neighbour.port));
		const answer = send(router.port);
		await until(() => neighbour.attempts.length === 1);
		neighbours.push(neighbourAt(other.port));
		neighbour.dispose();
		expect((await answer).status).toBe(502);
		expect((await answer).body).toContain('"verdict":"may-have-run"');
		expect(other.attempts).toHaveLength(0);
	});

	test('breaks the answer of a neighbour that breaks off', async () => {
		const { router } = await startPair(breakConnectionAfter('the first part', { 'content-length': '100' }));
		expect(await send(router.port)).toMatchObject({ status: 200, whole: false });
	});

	test('cancels a request at the neighbour when its caller leaves', async () => {
		const { router, neighbour } = await startPair(neverRespond());
		const headers = { host: HOST, authorization: KEY, 'request-id': 'request-1' };
		const request = http.request({ port: router.port, host: '127.0.0.1', path: '/orders/1', method: 'POST', headers });
		request.on('error', () => undefined);
		request.end();
		await until(() => neighbour.attempts.length === 1);
		request.destroy();
		await until(() => neighbour.attempts.some(({ interrupted }) => interrupted));
		expect(neighbour.gateway.requestsInProgress).toBe(0);
	});

	// A router that stops must answer what it has read, also when another one runs it.
	test('answers what it has handed over when it shuts down', async () => {
		const { router, neighbour } = await startPair(neverRespond());
		const answer = send(router.port);
		await until(() => neighbour.attempts.length === 1);
		expect(router.gateway.endRequests()).toBe(1);
		expect((await answer).status).toBe(502);
		expect((await answer).body).toContain('"verdict":"may-have-run"');
	});

	// The caller would have waited until it gave up.
	test('answers a request that an unexpected error ends', async () => {
		const address = { host: 'no address', port: 80 };
		const router = await startExhausted([{ instance: 'router-2', isRelieved: false, address }]);
		expect((await send(router.port)).status).toBe(503);
		expect(router.lines.map(({ event }) => event)).toContain('request-failed-unexpectedly');
	});

	test('passes on the end of a request whose time is over', async () => {
		const { router } = await startPair(neverRespond(), configurationWith([routeWith({ timeoutMs: 300 })]));
		expect(await send(router.port, { headers: { deadline: '250' } })).toMatchObject({ status: 504 });
	});
});

describe('HandoverMark', () => {
	test('arrives as it was sent', () => {
		fc.assert(
			fc.property(fc.nat(999_999_999), fc.nat(2 ** 31 - 1), (elapsedMs, configurationVersion) => {
				const mark = { elapsedMs, configurationVersion };
				expect(decodeHandoverHeader(encodeHandoverHeader(mark))).toEqual(mark);
			}),
		);
	});

	// Callers can send the header too.
	test('what cannot be read is no mark', () => {
		for (const text of [undefined, '', '1', '1;', ';2', '1;2;3', '-1;2', '1.5;2', 'x;y', '1;99999999999999999999']) {
			expect(decodeHandoverHeader(text)).toBeUndefined();
		}
		expect(decodeHandoverHeader(['1;2', '1;2'])).toBeUndefined();
	});
});
