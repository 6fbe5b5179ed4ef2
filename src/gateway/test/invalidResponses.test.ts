import * as net from 'node:net';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { HttpBackendClient } from '../../backends/node/httpBackendClient.js';
import {
	type BackendBehaviour,
	configurationWith,
	type GatewayFixture,
	pause,
	respondWith,
	routeWith,
	send,
	startGateway,
} from './gatewayFixture.js';

const cleanUps: (() => void)[] = [];

afterEach(() => cleanUps.splice(0).forEach((cleanUp) => cleanUp()));

/** Simulates a backend server that responds to each request with the same bytes and closes the connection. */
async function respondWithBytes(bytes: string): Promise<BackendBehaviour> {
	const server = net.createServer((socket) => {
		socket.on('error', () => undefined);
		socket.once('data', () => socket.end(bytes));
	});
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
	const client = HttpBackendClient.create();
	cleanUps.push(() => {
		client.dispose();
		server.close();
	});
	const { port } = server.address() as AddressInfo;
	return (sink, request, { id }) => client.call({ id, url: `http://127.0.0.1:${port}` }, request, sink);
}

async function startWith(behaviours: readonly BackendBehaviour[]): Promise<GatewayFixture> {
	const fixture = await startGateway(behaviours, configurationWith([routeWith()]));
	cleanUps.push(() => fixture.dispose());
	return fixture;
}

describe('a backend server that sends an invalid response', () => {
	// Guards against an invalid head ending the router, and with it the requests that other servers are running.
	test.each([
		['a space in the name of a header', 'HTTP/1.1 200 OK\r\nx signature: s\r\ncontent-length: 2\r\n\r\nok'],
		['the status 000', 'HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nok'],
	])('fails only its own request by a head with %s', async (_, bytes) => {
		const slowResponse = respondWith(200, 'sound');
		const { port, lines } = await startWith([
			(...call) => Effect.andThen(Effect.sleep(100), slowResponse(...call)),
			await respondWithBytes(bytes),
		]);
		const inProgress = send(port);
		await pause(20);
		expect(await send(port)).toMatchObject({ status: 502, whole: true });
		expect(await inProgress).toMatchObject({ status: 200, body: 'sound', whole: true });
		expect(lines.find(({ event }) => event === 'attempt-failed')?.fields).toMatchObject({ kind: 'broken' });
	});

	// Guards against closing the caller's connection without a response after an unexpected error.
	test('is answered for with 502 when its head cannot be passed on', async () => {
		const { port, lines } = await startWith([
			(sink) =>
				Effect.sync(() => {
					sink.sent();
					sink.head({ status: 0, headers: {} });
				}),
		]);
		expect(await send(port)).toMatchObject({ status: 502, whole: true });
		expect(lines.some(({ event }) => event === 'request-failed-unexpectedly')).toBe(true);
	});

	// Guards against taking noise for the crash of its server, and so refusing a sound request as one that crashes servers.
	test('does not quarantine its request while it runs on', async () => {
		const { port, lines } = await startWith([
			await respondWithBytes('HTTP/2.0 200 \r\n\r\nnoise'),
			await respondWithBytes('x'),
		]);
		for (let repetition = 0; repetition < 5; repetition++) {
			expect(await send(port)).toMatchObject({ status: 502 });
		}
		expect(lines.some(({ event }) => event === 'server-crashed')).toBe(false);
	});
});
