import * as net from 'node:net';
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { PlainService } from '../../../standins/plainService/plainService.js';
import { createConfiguration, TestRouter, TOKEN } from './routerFixture.js';

let service: PlainService;
let router: TestRouter;

beforeEach(async () => {
	service = PlainService.create({ serviceMs: 0, slots: 1_000 });
	router = await TestRouter.start({ configuration: createConfiguration([await service.listen()], {}, 1) });
});

afterEach(async () => {
	router.stop();
	await service.close();
});

function countStarts(): number {
	return service.ledger.entries().reduce((sum, entry) => sum + entry.started, 0);
}

async function readProblem(response: Response): Promise<Record<string, unknown>> {
	expect(response.headers.get('content-type')).toBe('application/problem+json');
	const problem = (await response.json()) as Record<string, unknown>;
	expect(problem).toMatchObject({
		status: response.status,
		verdict: response.headers.get('masticloom-verdict'),
		requestId: response.headers.get('masticloom-request-id'),
	});
	return problem;
}

/** Sends bytes that an HTTP library would refuse to send, and returns all received bytes. */
function sendRaw(text: string): Promise<string> {
	return new Promise((resolve) => {
		const socket = net.connect(Number(new URL(router.url).port), '127.0.0.1', () => socket.end(text, 'latin1'));
		let received = '';
		socket.on('data', (chunk) => (received += chunk.toString('latin1')));
		socket.on('error', () => undefined);
		socket.on('close', () => resolve(received));
	});
}

describe("the callers' interface", () => {
	// Guards against a refusal with a wrong status or without a verdict, and against running a refused request.
	test.each([
		['another token', 401, 'unknown-token', '/orders', '{}', { authorization: 'Bearer wrong' }],
		['a body over the limit', 413, 'body-too-large', '/orders', 'x'.repeat(5_000), {}],
		['a malformed deadline', 400, 'bad-request', '/orders', '{}', { 'masticloom-deadline-ms': 'soon' }],
		['a negative cost', 400, 'bad-request', '/orders', '{}', { 'masticloom-cost-hint': '-1' }],
		['a key that is too long', 400, 'bad-request', '/orders', '{}', { 'idempotency-key': 'k'.repeat(256) }],
		['a deadline of 0', 503, 'deadline', '/orders', '{}', { 'masticloom-deadline-ms': '0' }],
	])('refuses %s with %i', async (_, status, code, path, body, headers) => {
		const response = await fetch(`${router.url}/services/s${path}`, {
			method: 'POST',
			body,
			headers: { authorization: `Bearer ${TOKEN}`, ...headers },
		});
		expect(response.status).toBe(status);
		const problem = await readProblem(response);
		expect([problem.type, problem.verdict]).toEqual([`urn:problem-type:masticloom:${code}`, 'not-run']);
		expect(countStarts()).toBe(0);
	});

	// Guards against an order that the router classifies as a lookup, since the backend server resolves dot segments.
	test.each(['/catalogue/../orders', '/catalogue/%2e%2E/orders', '/.%2e'])('refuses the path %s', async (path) => {
		const head = `POST /services/s${path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${TOKEN}\r\n`;
		expect(await sendRaw(`${head}content-length: 2\r\n\r\n{}`)).toMatch(/^HTTP\/1.1 404/);
		expect(countStarts()).toBe(0);
	});

	// Guards against mixing up headers of different callers, and against disclosing callers' tokens to a backend
	// server.
	test('does not forward the token to the backend server, and adds headers to the response', async () => {
		const response = await router.post('/catalogue/x?y=1', {}, { 'x-request-id': 'mine' });
		expect([response.status, response.headers.get('stand-in-request-id')]).toEqual([200, 'mine']);
		expect(response.headers.get('masticloom-verdict')).toBe('completed');
		expect(response.headers.get('masticloom-request-id')).toMatch(/^[0-9a-f-]{36}$/);
	});

	// Guards against input that crashes or hangs the router, or gets a response without a verdict.
	test('answers arbitrary input with a verdict that the ledger confirms', async () => {
		const requestLine = fc.oneof(
			fc.constantFrom('POST /services/s/orders HTTP/1.1', 'GET /services/s/a HTTP/1.1', 'DELETE /services/s HTTP/1.1'),
			fc
				.tuple(fc.constantFrom('POST', 'PUT', 'HEAD'), fc.webUrl({ withQueryParameters: true }))
				.map(([method, url]) => `${method} /services/s${new URL(url).pathname} HTTP/1.1`),
			fc.string({ maxLength: 40 }).map((text) => `POST /services/${text} HTTP/1.1`),
			fc.string({ maxLength: 40 }),
		);
		const headerLine = fc.oneof(
			fc.constantFrom(
				`authorization: Bearer ${TOKEN}`,
				'authorization: Bearer',
				'idempotency-key:',
				'connection: x-a, close',
				'transfer-encoding: chunked',
				'content-length: 7',
				'expect: 100-continue',
				'upgrade: h2c',
			),
			fc
				.tuple(fc.constantFrom('idempotency-key', 'masticloom-deadline-ms', 'masticloom-cost-hint'), fc.string())
				.map(([name, value]) => `${name}: ${value}`),
			fc.string(),
		);
		const body = fc.oneof(fc.constantFrom('', '{}', '2\r\n{}\r\n0\r\n\r\n', '{"a":1}'), fc.string());
		const notRun: string[] = [];
		let sent = 0;
		await fc.assert(
			fc.asyncProperty(
				requestLine,
				fc.array(headerLine, { maxLength: 5 }),
				fc.boolean(),
				body,
				async (first, headers, hasToken, content) => {
					const id = `fuzz-${sent++}`;
					const token = hasToken ? [`authorization: Bearer ${TOKEN}`] : [];
					const response = await sendRaw(
						[first, 'host: x', `x-request-id: ${id}`, ...token, ...headers, '', content].join('\r\n'),
					);
					const head = /^HTTP\/1\.1 (?!100)(\d{3})/m.exec(response);
					const verdict = /^masticloom-verdict: (\S+)/im.exec(response)?.[1];
					if (verdict === undefined && head !== null) {
						expect(['400', '408', '417', '431']).toContain(head[1]); // Refused by the HTTP parser.
					}
					if (verdict === 'not-run') {
						notRun.push(id);
					}
				},
			),
			{ numRuns: 300, seed: 7 },
		);
		expect(notRun.length).toBeGreaterThan(0);
		const ran = new Set(service.ledger.entries().map((entry) => entry.requestId));
		expect(ran.size).toBeGreaterThan(0);
		expect(notRun.filter((id) => ran.has(id))).toEqual([]);
		expect((await router.post('/orders', {})).status).toBe(200);
	});
});

describe('overload', () => {
	// Guards against an unbounded queue, and against a refusal without `Retry-After`.
	test('beyond the queue limit is answered with 429 at once, and the queue runs to its end', async () => {
		const slowRequest = { service_ms: 5 };
		const requests = Array.from({ length: 120 }, () => router.post('/orders', slowRequest));
		const responses = await Promise.all(requests);
		const refused = responses.filter((response) => response.status === 429);
		expect(responses.filter((response) => response.status === 200)).toHaveLength(120 - refused.length);
		expect(refused.length).toBeGreaterThan(0);
		expect(countStarts()).toBe(120 - refused.length);
		for (const response of refused) {
			expect((await readProblem(response)).verdict).toBe('not-run');
			expect(Number(response.headers.get('retry-after'))).toBeGreaterThanOrEqual(1);
		}
	});

	// Guards against a request that stays queued past its deadline, and against running it after the deadline.
	test('ends a queued request at its deadline as not run', async () => {
		const first = router.post('/orders', { service_ms: 300 });
		while (countStarts() === 0) {
			await new Promise((resolve) => setTimeout(resolve, 1));
		}
		const response = await router.post('/orders', {}, { 'masticloom-deadline-ms': '20' });
		expect((await readProblem(response)).type).toBe('urn:problem-type:masticloom:deadline');
		expect([response.status, response.headers.get('masticloom-verdict')]).toEqual([503, 'not-run']);
		expect((await first).status).toBe(200);
		expect(countStarts()).toBe(1);
	});
});
