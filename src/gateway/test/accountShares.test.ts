import * as http from 'node:http';
import { connect } from 'node:net';
import { afterEach, describe, expect, test } from '@jest/globals';
import { systemClock } from '../../base/common/clock.js';
import { HANDOVER_HEADER } from '../../base/common/headerFields.js';
import { encodeHandoverHeader } from '../common/handoverMark.js';
import type { Neighbour } from '../common/neighbourSelector.js';
import {
	type BackendBehaviour,
	blockEventLoop,
	respondWith,
	configurationWith,
	failWith,
	type GatewayFixture,
	HOST,
	KEY,
	pause,
	routeWith,
	send,
	serverOf,
	startGateway,
} from './gatewayFixture.js';

const fixtures: GatewayFixture[] = [];

afterEach(() => fixtures.splice(0).forEach((fixture) => fixture.dispose()));

const TOKENS_PER_SECOND = 1_000;

/** Time after which the fair level has been recomputed; it is valid for 50 ms. */
const FAIR_LEVEL_REFRESH_MS = 80;

const DRAFT = { path: '/drafts/1', headers: { 'prompt-tokens': '4000' } };

/** Starts a router whose engines have a small capacity. */
async function startRouter(
	behaviours: readonly BackendBehaviour[],
	neighbours: readonly Neighbour[] = [],
): Promise<GatewayFixture> {
	const base = configurationWith([routeWith({ prefix: '/drafts/', targets: [{ service: 'scribes', weight: 1 }] })]);
	const configuration = { ...base, limits: { ...base.limits, tokensPerSecond: TOKENS_PER_SECOND } };
	const fixture = await startGateway(behaviours, configuration, undefined, undefined, neighbours);
	fixtures.push(fixture);
	return fixture;
}

/** Starts a router whose only account has used four times the capacity of all engines per second. */
async function startOverShare(): Promise<GatewayFixture> {
	const fixture = await startRouter([respondWith(200, 'draft')]);
	expect((await send(fixture.port, DRAFT)).status).toBe(200);
	await pause(FAIR_LEVEL_REFRESH_MS);
	return fixture;
}

describe('a request of an account beyond its share', () => {
	test('is refused as not run, with the time at which it is admitted', async () => {
		const { port, attempts, lines } = await startOverShare();
		const response = await send(port, DRAFT);
		expect(response.status).toBe(429);
		expect(JSON.parse(response.body)).toMatchObject({ code: 'over-share', verdict: 'not-run' });
		expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
		expect(attempts).toHaveLength(1);
		const refused = lines.find(({ event }) => event === 'refused');
		expect(refused?.fields).toMatchObject({ account: 'harbour', service: 'scribes', cost: 4_100 });
	});

	// Guards against reading the bodies of refused requests, which took most of the CPU time of a router during a burst.
	test('is refused before its body has arrived', async () => {
		const { port } = await startOverShare();
		const socket = connect(port, '127.0.0.1');
		const status = new Promise<string>((resolve) => socket.once('data', (bytes) => resolve(bytes.toString())));
		socket.write(
			`POST /drafts/1 HTTP/1.1\r\nHost: ${HOST}\r\nAuthorization: ${KEY}\r\nPrompt-Tokens: 4000\r\nContent-Length: 10\r\n\r\n`,
		);
		expect(await status).toContain('HTTP/1.1 429');
		socket.destroy();
	});

	// Guards against closing the connection: callers then open a new one, which costs the router as much as the request.
	test('leaves its connection open for further requests', async () => {
		const { port } = await startOverShare();
		const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
		const statuses: (number | undefined)[] = [];
		const ports = new Set<number | undefined>();
		for (let request = 0; request < 3; request++) {
			await new Promise<void>((resolve, reject) => {
				const headers = { host: HOST, authorization: KEY, 'prompt-tokens': '4000' };
				const sent = http.request({ port, host: '127.0.0.1', method: 'POST', path: '/drafts/1', agent, headers });
				sent.on('response', (response) => {
					statuses.push(response.statusCode);
					ports.add(response.socket.localPort);
					response.resume().on('end', resolve);
				});
				sent.on('error', reject);
				sent.end('a body that is not read');
			});
		}
		agent.destroy();
		expect(statuses).toEqual([429, 429, 429]);
		expect(ports.size).toBe(1);
	});

	// Guards against a second decision at the router that receives the handover, which has less information about the
	// account.
	test('is not decided on again when another router has admitted it', async () => {
		const { port } = await startOverShare();
		const handoverHeader = encodeHandoverHeader({ elapsedMs: 1, configurationVersion: 1 });
		const headers = { ...DRAFT.headers, [HANDOVER_HEADER]: handoverHeader };
		expect((await send(port, { ...DRAFT, headers })).status).toBe(200);
	});

	test('does not affect requests to plain services', async () => {
		const base = configurationWith([
			routeWith(),
			routeWith({ name: 'drafts', prefix: '/drafts/', targets: [{ service: 'scribes', weight: 1 }] }),
		]);
		const configuration = { ...base, limits: { ...base.limits, tokensPerSecond: TOKENS_PER_SECOND } };
		const fixture = await startGateway([respondWith(200, 'done')], configuration);
		fixtures.push(fixture);
		await send(fixture.port, DRAFT);
		await pause(FAIR_LEVEL_REFRESH_MS);
		expect((await send(fixture.port, DRAFT)).status).toBe(429);
		expect((await send(fixture.port)).status).toBe(200);
	});
});

describe('the credit of a request that did not run', () => {
	const notRun = failWith({ kind: 'unreachable', verdict: 'not-run' });

	// Guards against a saturated router that spends the credit of its accounts on requests which its neighbours refuse, so
	// that an account behind it gets a fraction of its share.
	test('is returned at the router of arrival when a neighbour has refused the request', async () => {
		const neighbours: Neighbour[] = [];
		const router = await startRouter([respondWith(200, 'draft')], neighbours);
		await blockEventLoop();
		const neighbour = await startRouter([notRun]);
		const address = { host: '127.0.0.1', port: neighbour.port };
		neighbours.push({ instance: 'router-2', isRelieved: false, address });
		expect((await send(router.port, DRAFT)).status).toBe(503);
		await pause(FAIR_LEVEL_REFRESH_MS);
		expect((await send(router.port, DRAFT)).status).toBe(503);
		expect(neighbour.attempts.length).toBeGreaterThan(0);
	});

	test('is returned when the request is refused before it has been started', async () => {
		const { port } = await startRouter([respondWith(200, 'draft')]);
		expect((await send(port, { ...DRAFT, body: 'x'.repeat(20_000) })).status).toBe(413);
		await pause(FAIR_LEVEL_REFRESH_MS);
		expect((await send(port, DRAFT)).status).toBe(200);
	});

	// Guards against credit that an account gains at a router by requests which were handed over to it.
	test('is not returned at the neighbour that refused it, which did not spend it', async () => {
		const { port, fleet } = await startOverShare();
		fleet.setServers([], systemClock.now());
		const handoverHeader = encodeHandoverHeader({ elapsedMs: 1, configurationVersion: 1 });
		const headers = { ...DRAFT.headers, [HANDOVER_HEADER]: handoverHeader };
		expect((await send(port, { ...DRAFT, headers })).status).toBe(503);
		fleet.setServers([serverOf('scribes', 'scribe-1')], systemClock.now());
		expect((await send(port, DRAFT)).status).toBe(429);
	});
});
