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

function starts(): number {
	return service.ledger.entries().reduce((sum, entry) => sum + entry.started, 0);
}

async function problemOf(answer: Response): Promise<Record<string, unknown>> {
	expect(answer.headers.get('content-type')).toBe('application/problem+json');
	const problem = (await answer.json()) as Record<string, unknown>;
	expect(problem).toMatchObject({
		status: answer.status,
		verdict: answer.headers.get('masticloom-verdict'),
		requestId: answer.headers.get('masticloom-request-id'),
	});
	return problem;
}

// Sends bytes that an HTTP library would refuse to send, and returns all that comes back.
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
	// Guards against a refusal with a wrong status or without a verdict, and against work for a refused request.
	test.each([
		['another token', 401, 'unknown-token', '/orders', '{}', { authorization: 'Bearer wrong' }],
		['a body over the limit', 413, 'body-too-large', '/orders', 'x'.repeat(5_000), {}],
		['a malformed deadline', 400, 'bad-request', '/orders', '{}', { 'masticloom-deadline-ms': 'soon' }],
		['a negative cost', 400, 'bad-request', '/orders', '{}', { 'masticloom-cost-hint': '-1' }],
		['a key that is too long', 400, 'bad-request', '/orders', '{}', { 'idempotency-key': 'k'.repeat(256) }],
		['a deadline of 0', 503, 'deadline', '/orders', '{}', { 'masticloom-deadline-ms': '0' }],
	])('refuses %s with %i', async (_, status, code, path, body, headers) => {
		const answer = await fetch(`${router.url}/services/s${path}`, {
			method: 'POST',
			body,
			headers: { authorization: `Bearer ${TOKEN}`, ...headers },
		});
		expect(answer.status).toBe(status);
		const problem = await problemOf(answer);
		expect([problem.type, problem.verdict]).toEqual([`urn:problem-type:masticloom:${code}`, 'not-run']);
		expect(starts()).toBe(0);
	});

	// Guards against an order that is taken for a lookup, since the backend server resolves the path after the router.
	test.each(['/catalogue/../orders', '/catalogue/%2e%2E/orders', '/.%2e'])('refuses the path %s', async (path) => {
		const head = `POST /services/s${path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${TOKEN}\r\n`;
		expect(await sendRaw(`${head}content-length: 2\r\n\r\n{}`)).toMatch(/^HTTP\/1.1 404/);
		expect(starts()).toBe(0);
	});

	// Guards against callers that read each other's headers, or a backend server that sees callers' tokens.
	test('keeps the token from the backend server and marks the answer', async () => {
		const answer = await router.post('/catalogue/x?y=1', {}, { 'x-request-id': 'mine' });
		expect([answer.status, answer.headers.get('stand-in-request-id')]).toEqual([200, 'mine']);
		expect(answer.headers.get('masticloom-verdict')).toBe('completed');
		expect(answer.headers.get('masticloom-request-id')).toMatch(/^[0-9a-f-]{36}$/);
	});

	// Guards against a request that crashes the router, hangs, or gets an answer without a verdict.
	test('answers whatever arrives with a verdict that the ledger confirms', async () => {
		const line = fc.oneof(
			fc.constantFrom('POST /services/s/orders HTTP/1.1', 'GET /services/s/a HTTP/1.1', 'DELETE /services/s HTTP/1.1'),
			fc
				.tuple(fc.constantFrom('POST', 'PUT', 'HEAD'), fc.webUrl({ withQueryParameters: true }))
				.map(([method, url]) => `${method} /services/s${new URL(url).pathname} HTTP/1.1`),
			fc.string({ maxLength: 40 }).map((text) => `POST /services/${text} HTTP/1.1`),
			fc.string({ maxLength: 40 }),
		);
		const header = fc.oneof(
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
				line,
				fc.array(header, { maxLength: 5 }),
				fc.boolean(),
				body,
				async (first, headers, known, rest) => {
					const id = `fuzz-${sent++}`;
					const token = known ? [`authorization: Bearer ${TOKEN}`] : [];
					const answer = await sendRaw(
						[first, 'host: x', `x-request-id: ${id}`, ...token, ...headers, '', rest].join('\r\n'),
					);
					const head = /^HTTP\/1\.1 (?!100)(\d{3})/m.exec(answer);
					const verdict = /^masticloom-verdict: (\S+)/im.exec(answer)?.[1];
					if (verdict === undefined && head !== null) {
						expect(['400', '408', '417', '431']).toContain(head[1]); // The HTTP parser refused it.
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
	// Guards against a queue without limit, and a refusal that does not say when to retry.
	test('beyond the queue limit is answered with 429 at once, and the queue runs to its end', async () => {
		const slow = { service_ms: 5 };
		const sends = Array.from({ length: 120 }, () => router.post('/orders', slow));
		const answers = await Promise.all(sends);
		const refused = answers.filter((answer) => answer.status === 429);
		expect(answers.filter((answer) => answer.status === 200)).toHaveLength(120 - refused.length);
		expect(refused.length).toBeGreaterThan(0);
		expect(starts()).toBe(120 - refused.length);
		for (const answer of refused) {
			expect((await problemOf(answer)).verdict).toBe('not-run');
			expect(Number(answer.headers.get('retry-after'))).toBeGreaterThanOrEqual(1);
		}
	});

	// Guards against a request that is held until its deadline although it is lost, and against work after the deadline.
	test('ends a queued request at its deadline as not run', async () => {
		const first = router.post('/orders', { service_ms: 300 });
		while (starts() === 0) {
			await new Promise((resolve) => setTimeout(resolve, 1));
		}
		const answer = await router.post('/orders', {}, { 'masticloom-deadline-ms': '20' });
		expect((await problemOf(answer)).type).toBe('urn:problem-type:masticloom:deadline');
		expect([answer.status, answer.headers.get('masticloom-verdict')]).toEqual([503, 'not-run']);
		expect((await first).status).toBe(200);
		expect(starts()).toBe(1);
	});
});
