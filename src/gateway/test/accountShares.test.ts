import * as http from 'node:http';
import { connect } from 'node:net';
import { afterEach, describe, expect, test } from '@jest/globals';
import { HANDED_OVER_HEADER } from '../../base/common/headerFields.js';
import { encodeHandoverHeader } from '../common/handoverHeader.js';
import {
	respondWith,
	configurationWith,
	type GatewayFixture,
	HOST,
	KEY,
	routeWith,
	send,
	startGateway,
} from './gatewayFixture.js';

const fixtures: GatewayFixture[] = [];

afterEach(() => fixtures.splice(0).forEach((fixture) => fixture.dispose()));

const TOKENS_PER_SECOND = 1_000;

/** The level is computed again after 50 ms. */
const LEVEL_MS = 80;

const DRAFT = { path: '/drafts/1', headers: { 'prompt-tokens': '4000' } };

const pause = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds));

/** A router at which the only account has asked for four times what all engines give in a second. */
async function startFlooded(): Promise<GatewayFixture> {
	const base = configurationWith([routeWith({ prefix: '/drafts/', targets: [{ service: 'scribes', weight: 1 }] })]);
	const configuration = { ...base, limits: { ...base.limits, tokensPerSecond: TOKENS_PER_SECOND } };
	const fixture = await startGateway([respondWith(200, 'draft')], configuration);
	fixtures.push(fixture);
	expect((await send(fixture.port, DRAFT)).status).toBe(200);
	await pause(LEVEL_MS);
	return fixture;
}

describe('a request of an account beyond its share', () => {
	test('is refused as not run, with a time at which it is admitted', async () => {
		const { port, attempts, lines } = await startFlooded();
		const answer = await send(port, DRAFT);
		expect(answer.status).toBe(429);
		expect(JSON.parse(answer.body)).toMatchObject({ code: 'over-share', verdict: 'not-run' });
		expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
		expect(attempts).toHaveLength(1);
		const refused = lines.find(({ event }) => event === 'refused');
		expect(refused?.fields).toMatchObject({ account: 'harbour', service: 'scribes', cost: 4_100 });
	});

	// Bodies of refused requests took most of the processor of a router that a flood went through.
	test('is refused before its body has arrived', async () => {
		const { port } = await startFlooded();
		const socket = connect(port, '127.0.0.1');
		const status = new Promise<string>((resolve) => socket.once('data', (bytes) => resolve(bytes.toString())));
		socket.write(
			`POST /drafts/1 HTTP/1.1\r\nHost: ${HOST}\r\nAuthorization: ${KEY}\r\nPrompt-Tokens: 4000\r\nContent-Length: 10\r\n\r\n`,
		);
		expect(await status).toContain('HTTP/1.1 429');
		socket.destroy();
	});

	// Closed connections came back as new ones, which cost the router as much as the request.
	test('leaves its connection open for further requests', async () => {
		const { port } = await startFlooded();
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
				sent.end('a body that nobody reads');
			});
		}
		agent.destroy();
		expect(statuses).toEqual([429, 429, 429]);
		expect(ports.size).toBe(1);
	});

	// Its share was decided on at two routers, and the second one knew less of the account.
	test('is not decided on again when another router has admitted it', async () => {
		const { port } = await startFlooded();
		const mark = encodeHandoverHeader({ elapsedMs: 1, configurationVersion: 1 });
		const headers = { ...DRAFT.headers, [HANDED_OVER_HEADER]: mark };
		expect((await send(port, { ...DRAFT, headers })).status).toBe(200);
	});

	test('does not keep requests to plain services from being served', async () => {
		const base = configurationWith([
			routeWith(),
			routeWith({ name: 'drafts', prefix: '/drafts/', targets: [{ service: 'scribes', weight: 1 }] }),
		]);
		const configuration = { ...base, limits: { ...base.limits, tokensPerSecond: TOKENS_PER_SECOND } };
		const fixture = await startGateway([respondWith(200, 'done')], configuration);
		fixtures.push(fixture);
		await send(fixture.port, DRAFT);
		await pause(LEVEL_MS);
		expect((await send(fixture.port, DRAFT)).status).toBe(429);
		expect((await send(fixture.port)).status).toBe(200);
	});
});
