import { createConnection, type Socket } from 'node:net';
import { afterEach, describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import {
	type BackendBehaviour,
	configurationWith,
	type GatewayFixture,
	HOST,
	pause,
	pauseProcess,
	respondWith,
	routeWith,
	serverOf,
	startGateway,
	waitUntil,
} from './gatewayFixture.js';
import { requestText, statusesOf } from './rawRequests.js';

const HEADER_TIMEOUT_MS = 400;
const IDLE_TIMEOUT_MS = 45_000;

/** Node.js, which used to enforce the header timeout, looks for overdue connections every 30 s. */
const OVERDUE_LIMIT_MS = 35_000;
const TEST_TIMEOUT_MS = 60_000;

const MAXIMUM_CONNECTIONS = 1_000;

/** Time after which a router closes an idle connection whose caller may not use it at all. */
const IDLE_CLOSE_MS = 3_000;

/** Longer than the header timeout, and long enough to be seen as a pause of the process. */
const PAUSE_MS = 1_100;

const SHORT_IDLE_MS = 300;

const fixtures: GatewayFixture[] = [];
const sockets: Socket[] = [];

afterEach(() => {
	sockets.splice(0).forEach((socket) => socket.destroy());
	fixtures.splice(0).forEach((fixture) => fixture.dispose());
});

async function startRouter(
	idleTimeoutMs = IDLE_TIMEOUT_MS,
	maximumConnections = MAXIMUM_CONNECTIONS,
	responseMs = 0,
): Promise<GatewayFixture> {
	const configuration = configurationWith([routeWith()]);
	const limits = { ...configuration.limits, idleTimeoutMs, headerTimeoutMs: HEADER_TIMEOUT_MS };
	const servers = [serverOf('desk', 'desk-1')];
	const behaviours: BackendBehaviour[] = [
		(...parameters) => Effect.andThen(Effect.sleep(responseMs), respondWith(200, 'filed')(...parameters)),
	];
	const fixture = await startGateway(behaviours, { ...configuration, limits }, servers, maximumConnections);
	fixture.gateway.setLimits(limits);
	fixtures.push(fixture);
	return fixture;
}

interface Connection {
	readonly socket: Socket;
	readonly statuses: () => readonly string[];
}

function connect(port: number): Connection {
	// The caller keeps its sending side open after the end of the responses, so that it can send behind them.
	const socket = createConnection({ port, host: '127.0.0.1', allowHalfOpen: true });
	let received = '';
	socket.on('data', (bytes) => (received += bytes.toString()));
	socket.on('error', () => undefined);
	sockets.push(socket);
	return { socket, statuses: () => statusesOf(received) };
}

function textWithBody(id: string): string {
	return requestText(id, 'Content-Length: 4\r\n', 'body');
}

/** Sends text and stops the process, so that the text is received and not read. */
async function sendAndPause(socket: Socket, text: string): Promise<void> {
	// The next phase of the event loop is the one of the timers.
	await new Promise((resolve) => setImmediate(resolve));
	socket.write(text);
	pauseProcess(PAUSE_MS);
}

const WHOLE = textWithBody('late');
const HALF = WHOLE.length / 2;

describe('the header timeout', () => {
	// Guards against a request that runs although its caller was told with a 408 that it never will.
	test.each([
		['begun', ''],
		['begun behind an answered one', textWithBody('answered')],
	])(
		'refuses a request %s for good',
		async (_, before) => {
			const { port, attempts } = await startRouter();
			const { socket, statuses } = connect(port);
			const answered = before === '' ? [] : ['200'];
			socket.write(before);
			await waitUntil(() => statuses().length === answered.length, OVERDUE_LIMIT_MS);
			socket.write(WHOLE.slice(0, HALF));
			await waitUntil(() => statuses().length > answered.length, OVERDUE_LIMIT_MS);
			socket.write(WHOLE.slice(HALF) + textWithBody('further'));
			await pause(200);
			expect(statuses()).toEqual([...answered, '408']);
			expect(attempts).toHaveLength(answered.length);
			socket.write(textWithBody('later'));
			await waitUntil(() => socket.readableEnded, OVERDUE_LIMIT_MS);
			expect(attempts).toHaveLength(answered.length);
		},
		TEST_TIMEOUT_MS,
	);

	// Guards against refusing a caller that has sent nothing yet, which only the idle timeout limits.
	test(
		'does not begin before the first byte of a request',
		async () => {
			const { port } = await startRouter();
			const silent = connect(port);
			const overdue = connect(port);
			overdue.socket.write(WHOLE.slice(0, HALF));
			await waitUntil(() => overdue.statuses().length > 0, OVERDUE_LIMIT_MS);
			silent.socket.write(textWithBody('first'));
			await waitUntil(() => silent.statuses().length > 0);
			expect(silent.statuses()).toEqual(['200']);
			silent.socket.write(textWithBody('second'));
			await waitUntil(() => silent.statuses().length === 2);
			expect(silent.statuses()).toEqual(['200', '200']);
		},
		TEST_TIMEOUT_MS,
	);

	// Guards against closing a connection whose caller sends a body slowly behind an early response.
	test('does not apply to the rest of a body whose request has been refused', async () => {
		const { port, gateway } = await startRouter();
		const { socket, statuses } = connect(port);
		socket.write(`POST /unknown/ HTTP/1.1\r\nHost: ${HOST}\r\nContent-Length: 8\r\n\r\n`);
		for (let sent = 0; sent < 8; sent++) {
			await pause(HEADER_TIMEOUT_MS);
			socket.write('x');
		}
		socket.write(textWithBody('next'));
		await waitUntil(() => statuses().length === 2);
		expect(statuses()).toEqual(['404', '200']);
		expect(gateway.connections).toBe(1);
	});
});

describe('a connection that is refused as a whole', () => {
	// Guards against callers that occupy connections by not closing them after a refusal.
	test.each([
		['noise', 'no request\r\n\r\n'],
		['half a request', WHOLE.slice(0, HALF)],
	])(
		'is closed soon after %s, even if its caller does not close it',
		async (_, text) => {
			const { port, gateway } = await startRouter();
			const { socket, statuses } = connect(port);
			socket.write(text);
			await waitUntil(() => statuses().length > 0, OVERDUE_LIMIT_MS);
			await waitUntil(() => gateway.connections === 0, 5_000);
		},
		TEST_TIMEOUT_MS,
	);
});

describe('the idle timeout', () => {
	// Guards against connections that are occupied for good by callers that never send a request.
	test('closes a connection on which nothing has arrived', async () => {
		const { port, gateway } = await startRouter(500);
		const { statuses, socket } = connect(port);
		await waitUntil(() => gateway.connections === 1);
		await waitUntil(() => gateway.connections === 0, 8_000);
		await waitUntil(() => socket.readableEnded, OVERDUE_LIMIT_MS);
		expect(statuses()).toEqual([]);
	});
});

describe('what arrives during a pause of the process', () => {
	// Guards against enforcing a timeout on what has arrived before it, since timers run before sockets are read.
	test.each([
		['the second half of the headers', WHOLE.slice(0, HALF), MAXIMUM_CONNECTIONS],
		['the first request of a connection, while connections are few', '', 1],
		['the second half of a body, while connections are few', WHOLE.slice(0, -2), 1],
	])('is served: %s', async (_, before, maximumConnections) => {
		const { port, gateway } = await startRouter(IDLE_TIMEOUT_MS, maximumConnections);
		const { socket, statuses } = connect(port);
		await waitUntil(() => gateway.connections === 1);
		socket.write(before);
		await pause(HEADER_TIMEOUT_MS / 2);
		await sendAndPause(socket, WHOLE.slice(before.length));
		await waitUntil(() => statuses().length > 0 || socket.readableEnded || socket.destroyed);
		expect(statuses()).toEqual(['200']);
	});

	test('is served: the next request on a connection that was idle', async () => {
		const { port, gateway } = await startRouter(0);
		const { socket, statuses } = connect(port);
		socket.write(textWithBody('first'));
		await waitUntil(() => statuses().length === 1);
		const idleSince = performance.now();
		// The idle timeout of the server, less the time in which the request arrives.
		await waitUntil(() => performance.now() - idleSince > IDLE_CLOSE_MS - PAUSE_MS / 2);
		expect(gateway.connections).toBe(1);
		await sendAndPause(socket, WHOLE);
		await waitUntil(() => statuses().length === 2 || socket.readableEnded || socket.destroyed);
		expect(statuses()).toEqual(['200', '200']);
	});
});

describe('the idle timeout of a body', () => {
	// Guards against refusing a caller for bytes that the router does not read, since it has enough requests of the connection.
	test('does not run while the router does not read the connection', async () => {
		const { port } = await startRouter(SHORT_IDLE_MS, MAXIMUM_CONNECTIONS, 1.4 * SHORT_IDLE_MS);
		const { socket, statuses } = connect(port);
		socket.write(['1', '2', '3'].map(textWithBody).join('') + WHOLE.slice(0, -2));
		await pause(SHORT_IDLE_MS / 4);
		socket.write(WHOLE.slice(-2));
		await waitUntil(() => statuses().length === 4 || socket.readableEnded || socket.destroyed);
		expect(statuses()).toEqual(['200', '200', '200', '200']);
	});
});
