import { createConnection, type Socket } from 'node:net';
import { afterEach, describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { chooseEviction } from '../common/bodyEviction.js';
import {
	type BackendBehaviour,
	configurationWith,
	type GatewayFixture,
	pause,
	respondWith,
	routeWith,
	send,
	serverOf,
	startGateway,
	waitUntil,
} from './gatewayFixture.js';
import { requestText, statusesOf } from './rawRequests.js';

const DELAY_MS = 60;
const BUDGET_BYTES = 400_000;

const fixtures: GatewayFixture[] = [];
const sockets: Socket[] = [];

afterEach(() => {
	sockets.splice(0).forEach((socket) => socket.destroy());
	fixtures.splice(0).forEach((fixture) => fixture.dispose());
});

async function startRouter(behaviour: BackendBehaviour, budgetBytes?: number): Promise<GatewayFixture> {
	const route = routeWith({ repeatPolicy: 'once', maximumAttempts: 1 });
	const servers = [serverOf('desk', 'desk-1')];
	const configuration = configurationWith([route]);
	const limits = { ...configuration.limits, maximumBodyBytes: BUDGET_BYTES };
	const fixture = await startGateway(
		[behaviour],
		{ ...configuration, limits },
		servers,
		1_000,
		[],
		() => true,
		budgetBytes,
	);
	fixtures.push(fixture);
	return fixture;
}

function later(behaviour: BackendBehaviour): BackendBehaviour {
	return (...parameters) => Effect.andThen(Effect.sleep(DELAY_MS), behaviour(...parameters));
}

/** Opens a connection that sends text and collects what is received. */
function connect(port: number, text: string): { readonly socket: Socket; readonly received: () => string } {
	const socket = createConnection({ port, host: '127.0.0.1' });
	let received = '';
	socket.on('data', (bytes) => (received += bytes.toString()));
	socket.on('error', () => undefined);
	socket.write(text);
	sockets.push(socket);
	return { socket, received: () => received };
}

/** Short fields, whose text is far smaller than the memory that they take. */
function shortFields(count: number): string {
	return Array.from({ length: count }, (_, index) => `${index.toString(36)}:\r\n`).join('');
}

describe('requests pipelined on one connection', () => {
	// Guards against one connection that occupies a connection to a server for each request that it has sent.
	test('run one after the other and are all answered', async () => {
		const { port, attempts } = await startRouter(later(respondWith(200, 'filed')));
		const { received } = connect(port, [1, 2, 3, 4, 5, 6].map((index) => requestText(`request-${index}`)).join(''));
		await waitUntil(() => attempts.length === 1);
		await pause(DELAY_MS / 2);
		expect(attempts).toHaveLength(1);
		await waitUntil(() => statusesOf(received()).length === 6);
		expect(statusesOf(received())).toEqual(['200', '200', '200', '200', '200', '200']);
		expect(attempts).toHaveLength(6);
	});

	// Guards against running what has been refused, and against requests that are held after their connection is closed.
	test('end with the response in progress when they are too many, and the others do not run', async () => {
		const { port, attempts, gateway } = await startRouter(later(respondWith(200, 'filed')));
		const first = connect(port, requestText('first'));
		await waitUntil(() => attempts.length === 1);
		first.socket.write(requestText('further').repeat(1_000));
		await waitUntil(() => first.socket.destroyed || first.socket.readableEnded);
		expect(statusesOf(first.received())).toEqual(['200']);
		await waitUntil(() => gateway.requestsInProgress === 0);
		expect(attempts).toHaveLength(1);
		expect(gateway.limitCount('pipelined')).toBe(1);
	});

	// Guards against responses behind an unanswered one, to which Node does not report that their connection is closed.
	test('are no longer in progress when their caller disconnects', async () => {
		const { port, attempts, gateway } = await startRouter(later(respondWith(200, 'filed')));
		const { socket } = connect(port, requestText('request').repeat(3));
		await waitUntil(() => attempts.length === 1);
		socket.destroy();
		await waitUntil(() => gateway.requestsInProgress === 0);
		expect(attempts).toHaveLength(1);
	});
});

describe('the memory for bodies', () => {
	// Guards against callers that are refused because others hold the memory with bodies that do not arrive.
	test('is taken from the body that has stopped for the longest time, which does not run', async () => {
		const { port, attempts, gateway } = await startRouter(respondWith(200, 'filed'), BUDGET_BYTES);
		const stalled = connect(port, requestText('stalled', 'Content-Length: 120000\r\n', 'x'.repeat(100_000)));
		await waitUntil(() => gateway.bodiesInProgress === 1);
		await pause(DELAY_MS);
		const { status } = await send(port, { body: 'y'.repeat(150_000) });
		expect(status).toBe(200);
		await waitUntil(() => statusesOf(stalled.received()).length === 1);
		expect(statusesOf(stalled.received())).toEqual(['503']);
		expect(stalled.received()).toContain('"verdict":"not-run"');
		expect(attempts).toHaveLength(1);
	});

	// Guards against a budget that shrinks with each request, until all are refused.
	test('is returned when responses end', async () => {
		const { port } = await startRouter(respondWith(200, 'filed'), BUDGET_BYTES);
		for (let index = 0; index < 10; index++) {
			expect((await send(port, { body: 'x'.repeat(120_000) })).status).toBe(200);
		}
	});

	// Guards against dropping a body that arrives in place of a large one that does not.
	test('is taken from a large body without progress before smaller or active ones', () => {
		const bodies = [
			{ clientAddress: 'a', heldBytes: 1_000, progressedAt: 0 },
			{ clientAddress: 'a', heldBytes: 100_000, progressedAt: 5_000 },
			{ clientAddress: 'b', heldBytes: 200_000, progressedAt: 9_950 },
		];
		expect(chooseEviction(bodies, 10_000)).toBe(bodies[1]);
		expect(chooseEviction([{ clientAddress: 'a', heldBytes: 0, progressedAt: 0 }], 10_000)).toBeUndefined();
	});
});

describe('requests without the usual headers', () => {
	// Guards against responses of Node itself, which are held without bound and do not name the reason.
	test('are refused by the router', async () => {
		const { port, attempts, gateway } = await startRouter(respondWith(200, 'filed'));
		const { received } = connect(port, 'GET /orders/1 HTTP/1.1\r\n\r\n');
		const expecting = connect(port, requestText('expecting', 'Expect: answers\r\nContent-Length: 0\r\n'));
		await waitUntil(() => gateway.requestsInProgress === 0 && received() !== '' && expecting.received() !== '');
		expect([...statusesOf(received()), ...statusesOf(expecting.received())]).toEqual(['400', '417']);
		expect(attempts).toHaveLength(0);
	});
});

describe('requests with many header fields', () => {
	// Guards against a heap that is exhausted by short fields, which are charged by their text only.
	test('are charged for each field until they are answered', async () => {
		const { port } = await startRouter(later(later(respondWith(200, 'filed'))), BUDGET_BYTES);
		const text = requestText('request-1', `${shortFields(400)}Content-Length: 0\r\n`);
		const connections = Array.from({ length: 8 }, () => connect(port, text));
		await waitUntil(() => connections.every(({ received }) => statusesOf(received()).length === 1));
		const statuses = connections.flatMap(({ received }) => statusesOf(received()));
		expect(statuses.filter((status) => status === '200').length).toBeGreaterThan(0);
		expect(statuses.filter((status) => status === '503').length).toBeGreaterThan(0);
		const next = connect(port, text);
		await waitUntil(() => statusesOf(next.received()).length === 1);
		expect(statusesOf(next.received())).toEqual(['200']);
	});
});
