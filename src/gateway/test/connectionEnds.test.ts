import { createConnection, type Socket } from 'node:net';
import { afterEach, describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import {
	type BackendBehaviour,
	configurationWith,
	type GatewayFixture,
	pause,
	respondWith,
	routeWith,
	serverOf,
	startGateway,
	waitUntil,
} from './gatewayFixture.js';
import { requestText } from './rawRequests.js';

const DELAY_MS = 60;
const BUDGET_BYTES = 400_000;

const fixtures: GatewayFixture[] = [];
const sockets: Socket[] = [];

afterEach(() => {
	sockets.splice(0).forEach((socket) => socket.destroy());
	fixtures.splice(0).forEach((fixture) => fixture.dispose());
});

async function startRouter(behaviour: BackendBehaviour, budgetBytes?: number): Promise<GatewayFixture> {
	const configuration = configurationWith([routeWith()]);
	const limits = { ...configuration.limits, maximumBodyBytes: 2 * BUDGET_BYTES };
	const servers = [serverOf('desk', 'desk-1')];
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

interface Connection {
	readonly socket: Socket;
	/** Status and `connection` header of each response. */
	readonly responses: () => readonly string[];
	/** How the connection has ended: regularly, or by an error. */
	readonly end: () => string | undefined;
}

function connect(port: number): Connection {
	const socket = createConnection({ port, host: '127.0.0.1' });
	let received = '';
	let end: string | undefined;
	socket.on('data', (bytes) => (received += bytes.toString()));
	socket.on('error', (error: NodeJS.ErrnoException) => (end = error.code));
	socket.on('end', () => (end = 'end'));
	sockets.push(socket);
	const responses = (): readonly string[] =>
		[...received.matchAll(/HTTP\/1\.1 (\d+)[^]*?connection: ([a-z-]+)/gi)].map(
			([, status, mode]) => `${status} ${mode}`,
		);
	return { socket, responses, end: () => end };
}

function later(behaviour: BackendBehaviour): BackendBehaviour {
	return (...parameters) => Effect.andThen(Effect.sleep(DELAY_MS), behaviour(...parameters));
}

/** Sends the head of a response at once, and its body later. */
const respondInParts: BackendBehaviour = (sink) =>
	Effect.gen(function* () {
		sink.sent();
		sink.head({ status: 200, headers: { 'content-length': '5' } });
		yield* Effect.sleep(DELAY_MS);
		sink.write(Buffer.from('filed'), () => undefined);
	});

describe('a connection that is closed after a response', () => {
	// Guards against running a request whose response cannot be sent any more.
	test('serves the requests that have been received, and announces the close in the last response', async () => {
		const { port, attempts, gateway } = await startRouter(later(respondWith(200, 'filed')));
		const { socket, responses, end } = connect(port);
		socket.write(requestText('first') + requestText('second') + requestText('third'));
		await waitUntil(() => attempts.length === 1);
		gateway.startDraining();
		await waitUntil(() => end() !== undefined);
		expect(responses()).toEqual(['200 keep-alive', '200 keep-alive', '200 close']);
		expect(attempts).toHaveLength(3);
		expect(end()).toBe('end');
	});

	test('does not run a request that arrives after the close was announced', async () => {
		const { port, attempts, gateway } = await startRouter(respondInParts);
		const { socket, responses, end } = connect(port);
		gateway.startDraining();
		socket.write(requestText('first'));
		await waitUntil(() => attempts.length === 1);
		await pause(DELAY_MS / 3);
		socket.write(requestText('second'));
		await waitUntil(() => end() !== undefined);
		await pause(2 * DELAY_MS);
		expect(responses()).toEqual(['200 close']);
		expect(attempts).toHaveLength(1);
		expect(gateway.requestsInProgress).toBe(0);
	});

	// Guards against a reset that takes the refusal away from a caller that is still sending its body.
	test('lets a caller read a refusal that arrives while it sends its body', async () => {
		const { port, attempts } = await startRouter(respondWith(200, 'filed'), BUDGET_BYTES);
		const { socket, responses, end } = connect(port);
		socket.pause();
		const total = 1.5 * BUDGET_BYTES;
		const part = Buffer.alloc(total / 30, 'x');
		socket.write(requestText('large', `Content-Length: ${total}\r\n`));
		for (let sent = 0; sent < total; sent += part.length) {
			socket.write(part);
			await pause(10);
		}
		socket.resume();
		await waitUntil(() => end() !== undefined);
		expect(responses()).toEqual(['503 close']);
		expect(end()).toBe('end');
		expect(attempts).toHaveLength(0);
	});
});

describe('a body that is refused', () => {
	// Guards against dropping requests that were accepted before it on the same connection.
	test('does not end the requests before it', async () => {
		const { port, attempts } = await startRouter(later(respondWith(200, 'filed')), BUDGET_BYTES);
		const { socket, responses, end } = connect(port);
		socket.write(requestText('first') + requestText('second'));
		socket.write(requestText('large', `Content-Length: ${1.5 * BUDGET_BYTES}\r\n`) + 'x'.repeat(1.2 * BUDGET_BYTES));
		await waitUntil(() => end() !== undefined);
		expect(responses()).toEqual(['200 keep-alive', '200 keep-alive', '503 close']);
		expect(attempts).toHaveLength(2);
	});
});

describe('what is not HTTP behind a request', () => {
	// Guards against taking the response from a request that is running, and that may not be repeated.
	test('does not end the request', async () => {
		const { port, attempts } = await startRouter(later(respondWith(200, 'filed')));
		const { socket, responses, end } = connect(port);
		socket.write(`${requestText('first')}${requestText('second')}no request\r\n\r\n`);
		await pause(DELAY_MS / 2);
		socket.write('more of it');
		await waitUntil(() => end() !== undefined);
		expect(responses()).toEqual(['200 keep-alive', '200 close']);
		expect(attempts).toHaveLength(2);
		expect(end()).toBe('end');
	});

	test('does not keep the request running after its caller has left', async () => {
		const { port, attempts, gateway } = await startRouter(later(later(respondWith(200, 'filed'))));
		const { socket } = connect(port);
		socket.write(`${requestText('first')}no request\r\n\r\n`);
		await waitUntil(() => attempts.length === 1);
		socket.end();
		await waitUntil(() => attempts[0]?.interrupted === true);
		expect(gateway.requestsInProgress).toBe(0);
	});
});
