import * as net from 'node:net';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, test } from '@jest/globals';
import { Effect, type Result } from 'effect';
import type { BackendFailure, BackendProtocol, BackendRequest, ServerNotice } from '../common/backendClient.js';
import { HttpBackendClient } from '../node/httpBackendClient.js';

const protocol: BackendProtocol = {
	classifyRefusal: ({ headers }) => (headers['not-run'] === undefined ? undefined : 'refused'),
	isResponseTo: (request, { headers }) => headers.id === undefined || headers.id === request.headers.id,
	parseNotice: (_request, { headers }) =>
		headers.leaving === undefined ? undefined : { isLeaving: true, restMs: undefined, unreadableTime: undefined },
	allowsCloseDelimited: true,
};

interface Called {
	readonly result: Result.Result<void, BackendFailure>;
	readonly status: number | undefined;
	readonly body: string;
}

const cleanUps: (() => void)[] = [];

afterEach(() => cleanUps.splice(0).forEach((cleanUp) => cleanUp()));

/** Starts a server that hands each request, by its number, to a function that writes raw bytes. */
async function startRawServer(answer: (socket: net.Socket, count: number) => void): Promise<string> {
	let count = 0;
	const sockets = new Set<net.Socket>();
	const server = net.createServer((socket) => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', () => answer(socket, ++count));
	});
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
	cleanUps.push(() => {
		sockets.forEach((socket) => socket.destroy());
		server.close();
	});
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function clientWith(): HttpBackendClient {
	const client = HttpBackendClient.create(protocol);
	cleanUps.push(() => client.dispose());
	return client;
}

async function call(client: HttpBackendClient, url: string, id: string): Promise<Called> {
	const request: BackendRequest = { method: 'GET', path: '/', headers: { id }, body: Buffer.alloc(0) };
	let status: number | undefined;
	let body = '';
	const result = await Effect.runPromise(
		Effect.result(
			client.call({ id: 'server', url }, request, {
				sent: () => undefined,
				head: (head) => (status = head.status),
				write: (chunk) => {
					body += Buffer.from(chunk).toString();
					return true;
				},
			}),
		),
	);
	return { result, status, body };
}

function framed(id: string, body: string): string {
	return `HTTP/1.1 200 OK\r\nid: ${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

const pause = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds));

describe('HttpBackendClient with a protocol', () => {
	// A router without a free descriptor told callers that their requests may have run, although nothing was sent.
	test('a connection that fails at once has not run the request', async () => {
		const { result } = await call(clientWith(), 'http://255.255.255.255:80', 'request-1');
		expect(result).toMatchObject({ _tag: 'Failure', failure: { kind: 'unreachable', verdict: 'not-run' } });
	});

	test('uses a connection again', async () => {
		const url = await startRawServer((socket, count) => socket.write(framed(String(count), 'ok')));
		const client = clientWith();
		await call(client, url, '1');
		await pause(10);
		expect((await call(client, url, '2')).body).toBe('ok');
		expect(client.connectionsOpened).toBe(1);
	});

	// The bytes of an answer too many were taken for the answer to the next request on the connection.
	test('drops an idle connection on which further bytes arrive', async () => {
		const url = await startRawServer((socket, count) => {
			socket.write(framed(String(count), 'ok'));
			setTimeout(() => socket.write(framed(String(count), 'again')), 10);
		});
		const client = clientWith();
		await call(client, url, '1');
		await pause(50);
		expect((await call(client, url, '2')).body).toBe('ok');
		expect(client.connectionsOpened).toBe(2);
	});

	test('does not take the answer of an earlier request', async () => {
		const url = await startRawServer((socket) => socket.write(framed('0', 'for another request')));
		const called = await call(clientWith(), url, '1');
		expect(called).toMatchObject({ status: undefined, body: '' });
		expect(called.result).toMatchObject({ failure: { kind: 'broken', verdict: 'may-have-run' } });
	});

	test('an answer without a length is whole when its connection is closed', async () => {
		const url = await startRawServer((socket) => socket.end('HTTP/1.1 200 OK\r\nid: 1\r\n\r\nwhole'));
		const called = await call(clientWith(), url, '1');
		expect(called.body).toBe('whole');
		expect(called.result._tag).toBe('Success');
	});

	test('an answer without a length is not whole when its connection is reset', async () => {
		const url = await startRawServer((socket) => {
			socket.write('HTTP/1.1 200 OK\r\nid: 1\r\n\r\nhalf');
			setTimeout(() => socket.resetAndDestroy(), 20);
		});
		expect((await call(clientWith(), url, '1')).result._tag).toBe('Failure');
	});

	// The last bytes and the reset arrive together, which Node.js reports as the end of the connection.
	test('an answer without a length is not whole when the reset arrives with its last bytes', async () => {
		const url = await startRawServer((socket) => {
			socket.write('HTTP/1.1 200 OK\r\nid: 1\r\n\r\nhalf', () => socket.resetAndDestroy());
		});
		const client = clientWith();
		const results = await Promise.all(Array.from({ length: 20 }, () => call(client, url, '1')));
		expect(results.filter(({ result }) => result._tag === 'Success')).toEqual([]);
	});

	test('an answer shorter than its length is not whole', async () => {
		const url = await startRawServer((socket) =>
			socket.end('HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 10\r\n\r\nhalf'),
		);
		expect((await call(clientWith(), url, '1')).result._tag).toBe('Failure');
	});

	test('bytes that are no answer fail the request', async () => {
		const url = await startRawServer((socket) => socket.end('what is this'));
		expect((await call(clientWith(), url, '1')).result).toMatchObject({ failure: { kind: 'broken' } });
	});

	test('a server that says so did not run the request', async () => {
		const url = await startRawServer((socket) =>
			socket.write('HTTP/1.1 503 Busy\r\nid: 1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n'),
		);
		expect((await call(clientWith(), url, '1')).result).toMatchObject({
			failure: { kind: 'refused', verdict: 'not-run' },
		});
	});

	test('a server that does not listen did not run the request', async () => {
		const called = await call(clientWith(), 'http://127.0.0.1:9', '1');
		expect(called.result).toMatchObject({ failure: { kind: 'unreachable', verdict: 'not-run' } });
	});

	// A stream of minutes would tell only at its end that its server leaves.
	test('tells what a server says of itself as soon as the head of its answer is there', async () => {
		const url = await startRawServer((socket) => {
			socket.write('HTTP/1.1 200 OK\r\nid: 1\r\nleaving: 1\r\ncontent-length: 10\r\n\r\nhalf');
		});
		const request: BackendRequest = { method: 'GET', path: '/', headers: { id: '1' }, body: Buffer.alloc(0) };
		const isLeaving = await new Promise<boolean>((resolve) => {
			const sink = {
				sent: () => undefined,
				notice: (notice: ServerNotice) => resolve(notice.isLeaving),
				head: () => undefined,
				write: () => true,
			};
			Effect.runFork(Effect.result(clientWith().call({ id: 'server', url }, request, sink)));
		});
		expect(isLeaving).toBe(true);
	});

	test('the answer to another request tells nothing of the server', async () => {
		const url = await startRawServer((socket) => {
			socket.write('HTTP/1.1 200 OK\r\nid: 2\r\nleaving: 1\r\ncontent-length: 0\r\n\r\n');
		});
		const request: BackendRequest = { method: 'GET', path: '/', headers: { id: '1' }, body: Buffer.alloc(0) };
		const notices: ServerNotice[] = [];
		const sink = {
			sent: () => undefined,
			notice: (notice: ServerNotice) => void notices.push(notice),
			head: () => undefined,
			write: () => true,
		};
		await Effect.runPromise(Effect.result(clientWith().call({ id: 'server', url }, request, sink)));
		expect(notices).toEqual([]);
	});

	test('closes idle connections to a server, and those in use go on', async () => {
		const sockets: net.Socket[] = [];
		const url = await startRawServer((socket, count) => {
			sockets.push(socket);
			socket.write(count === 1 ? framed('1', 'whole') : 'HTTP/1.1 200 OK\r\nid: 2\r\ncontent-length: 5\r\n\r\nwh');
		});
		const client = clientWith();
		await call(client, url, '1');
		expect(client.hasIdleConnection(url)).toBe(true);
		client.closeIdleConnections(url);
		await pause(20);
		expect(client.hasIdleConnection(url)).toBe(false);
		const inUse = call(client, url, '2');
		while (sockets.length < 2) {
			await pause(5);
		}
		client.closeIdleConnections(url);
		sockets[1]?.write('ole');
		expect((await inUse).body).toBe('whole');
	});
});
