import { createServer, type AddressInfo, type Server } from 'node:net';
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { probeByConnection } from '../node/connectionProbe.js';
import { HttpBackendClient } from '../node/httpBackendClient.js';

/** Longer than the time in which a server has to accept a connection. */
const PAUSE_MS = 1_100;

const START_TICKS = 50;

const RESPONSE = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

let server: Server;
let target: { readonly id: string; readonly url: string; readonly startedAt: undefined };

beforeEach(async () => {
	server = createServer((socket) => {
		socket.on('error', () => undefined);
		socket.on('data', () => socket.end(RESPONSE));
	});
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
	target = { id: 'server', url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, startedAt: undefined };
});

afterEach(() => void server.close());

/** Starts an effect and stops the process, while the operating system accepts the connection that it opens. */
async function runWithPause<A>(effect: Effect.Effect<A>): Promise<A> {
	// The next phase of the event loop is the one of the timers.
	await new Promise((resolve) => setImmediate(resolve));
	const result = Effect.runPromise(effect);
	// Everything up to the opening of the connection happens before the event loop goes on.
	for (let tick = 0; tick < START_TICKS; tick++) {
		await new Promise((resolve) => process.nextTick(resolve));
	}
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, PAUSE_MS);
	return result;
}

// Guards against taking a server for unreachable because the router itself was paused while it accepted a connection.
describe('after a pause of the process, a server that has accepted a connection', () => {
	test('receives the request', async () => {
		const client = HttpBackendClient.create();
		const request = { method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0) };
		const sink = { sent: () => undefined, head: () => undefined, write: () => true };
		const result = await runWithPause(Effect.result(client.call(target, request, sink)));
		expect(result).toMatchObject({ _tag: 'Success' });
		client.dispose();
	});

	test('passes its probe', async () => {
		expect(await runWithPause(probeByConnection(target))).toBe('accepting');
	});
});
