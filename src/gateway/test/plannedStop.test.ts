import * as http from 'node:http';
import { createConnection } from 'node:net';
import { afterEach, describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import {
	type BackendBehaviour,
	breakConnectionAfter,
	configurationWith,
	failWith,
	type FixtureResponse,
	type GatewayFixture,
	HOST,
	KEY,
	pause,
	receive,
	respondWith,
	routeWith,
	send,
	serverOf,
	startGateway,
} from './gatewayFixture.js';

const fixtures: GatewayFixture[] = [];

afterEach(() => fixtures.splice(0).forEach((fixture) => fixture.dispose()));

const DELAY_MS = 60;

async function startRouter(
	behaviours: readonly BackendBehaviour[],
	repeatPolicy: 'once' | 'repeatable' = 'once',
): Promise<GatewayFixture> {
	const route = routeWith({ repeatPolicy, maximumAttempts: 2 });
	const servers = [serverOf('desk', 'desk-1'), serverOf('desk', 'desk-2')];
	const fixture = await startGateway(behaviours, configurationWith([route]), servers);
	fixtures.push(fixture);
	return fixture;
}

function later(behaviour: BackendBehaviour): BackendBehaviour {
	return (...parameters) => Effect.andThen(Effect.sleep(DELAY_MS), behaviour(...parameters));
}

/** Sends a request whose body is complete only when the result is called. */
function sendSlowly(port: number): { readonly finish: () => void; readonly response: Promise<FixtureResponse> } {
	const headers = { host: HOST, authorization: KEY, 'request-id': 'slow', 'content-length': '10' };
	const request = http.request({ port, host: '127.0.0.1', method: 'POST', path: '/orders/1', agent: false, headers });
	const response = receive(request);
	request.write('half.');
	return { finish: () => request.end('whole'), response };
}

describe('a planned stop', () => {
	// Guards against passing on a request that cannot end in the rest of the grace period, and is then cut off: one that must
	// not be repeated may have run, and its caller has no answer.
	test('refuses a request as not run whose body ends after the router has ceased to accept', async () => {
		const { port, gateway, attempts } = await startRouter([respondWith(200, 'filed')]);
		const { finish, response } = sendSlowly(port);
		await pause(DELAY_MS);
		gateway.startDraining();
		gateway.stopAccepting();
		finish();
		expect(await response).toMatchObject({ status: 503, whole: true });
		expect((await response).body).toContain('"verdict":"not-run"');
		expect(attempts).toHaveLength(0);
	});

	test('refuses a request as not run that would be sent to another server after that', async () => {
		const unreachable = failWith({ kind: 'unreachable', verdict: 'not-run' });
		const { port, gateway, attempts } = await startRouter([later(unreachable), respondWith(200, 'filed')]);
		const response = send(port);
		await pause(DELAY_MS / 2);
		gateway.startDraining();
		gateway.stopAccepting();
		expect(await response).toMatchObject({ status: 503, whole: true });
		expect(attempts).toHaveLength(1);
	});

	// Guards against giving up on what has begun: its caller cannot tell whether it has run.
	test('completes a request that may have run and may be repeated', async () => {
		const broken = failWith({ kind: 'broken', verdict: 'may-have-run' });
		const { port, gateway, attempts } = await startRouter([later(broken), respondWith(200, 'read')], 'repeatable');
		const response = send(port);
		await pause(DELAY_MS / 2);
		gateway.startDraining();
		gateway.stopAccepting();
		expect(await response).toMatchObject({ status: 200, body: 'read' });
		expect(attempts).toHaveLength(2);
	});

	test('lets a request that has been sent end', async () => {
		const { port, gateway } = await startRouter([later(respondWith(200, 'filed'))]);
		const response = send(port);
		await pause(DELAY_MS / 2);
		gateway.startDraining();
		gateway.stopAccepting();
		expect(await response).toMatchObject({ status: 200, body: 'filed' });
	});

	test('answers each request that is left at its end', async () => {
		const { port, gateway } = await startRouter([later(later(breakConnectionAfter('late')))]);
		const response = send(port);
		const { response: incomplete } = sendSlowly(port);
		await pause(DELAY_MS / 2);
		gateway.startDraining();
		gateway.stopAccepting();
		gateway.abortRequests();
		expect((await response).status).toBeGreaterThanOrEqual(502);
		expect((await incomplete).body).toContain('"verdict":"not-run"');
	});

	// Guards against a reset of a request that had arrived when idle connections were closed.
	test('refuses a request as not run that has arrived and was not read', async () => {
		const { port, gateway, attempts } = await startRouter([respondWith(200, 'filed')]);
		const socket = createConnection({ port, host: '127.0.0.1' });
		let received = '';
		socket.on('data', (bytes) => (received += bytes.toString()));
		socket.on('error', (error) => (received += error.message));
		const request = `POST /orders/1 HTTP/1.1\r\nHost: ${HOST}\r\nAuthorization: ${KEY}\r\nContent-Length: 0\r\n\r\n`;
		socket.write(request);
		await pause(DELAY_MS);
		expect(received).toContain('HTTP/1.1 200');
		received = '';
		socket.write(request);
		gateway.startDraining();
		gateway.stopAccepting();
		await Effect.runPromise(gateway.idle);
		await pause(DELAY_MS);
		expect(received).toContain('HTTP/1.1 503');
		expect(received).toContain('"verdict":"not-run"');
		expect(attempts).toHaveLength(1);
	});
});
