import { createHash } from 'node:crypto';
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, test } from '@jest/globals';
import { type EngineOptions, ModelEngine } from '../../../standins/engine/modelEngine.js';
import { createConfiguration, InMemoryNetwork, TestRouter } from './routerFixture.js';

const cleanups: (() => unknown)[] = [];

function startEngines(count: number, options: Partial<EngineOptions> = {}): ModelEngine[] {
	const engines = Array.from({ length: count }, () =>
		ModelEngine.create({ tokenMs: 1, metricsLagMs: 0, crashDownMs: 10, ...options }),
	);
	cleanups.push(...engines.map((engine) => () => engine.close()));
	return engines;
}

async function startRouter(
	urls: readonly string[],
	resumable: boolean,
	network = InMemoryNetwork.create(),
): Promise<TestRouter> {
	const configuration = createConfiguration(urls, { kind: 'model-engine', resumable });
	const name = `router-${cleanups.length}`;
	const router = await TestRouter.start({ configuration, name, network: network.join(name) });
	cleanups.push(() => router.stop());
	return router;
}

function listenAll(engines: readonly ModelEngine[]): Promise<string[]> {
	return Promise.all(engines.map((engine) => engine.listen()));
}

/** Starts a backend server that writes a scripted response. */
async function startScriptedServer(respond: (response: http.ServerResponse) => void): Promise<string> {
	const server = http.createServer((request, response) => {
		request.resume().on('end', () => respond(response));
	});
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
	cleanups.push(() => {
		server.closeAllConnections();
		server.close();
	});
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function digestOfTokens(stream: string): string {
	const texts = [...stream.matchAll(/"text":"([^"]*)"/g)].map((match) => match[1] ?? '');
	return createHash('sha256').update(texts.join('')).digest('hex');
}

afterEach(async () => {
	for (const cleanup of cleanups.splice(0).reverse()) {
		await cleanup();
	}
});

describe('a stream', () => {
	// Guards against a caller that accepts a truncated stream as the complete response.
	test.each([
		['ends without its marker', (response: http.ServerResponse) => response.end('id: 1\ndata: {}\n\n')],
		['has the marker inside a token', (response: http.ServerResponse) => response.end('data: "data: [DONE]" \n\n')],
		['breaks off', (response: http.ServerResponse) => response.write('id: 1\ndata: {}\n\n', () => response.destroy())],
	])('that %s closes the connection to the caller', async (_, respond) => {
		const url = await startScriptedServer((response) => {
			response.writeHead(200, { 'content-type': 'text/event-stream' });
			respond(response);
		});
		const router = await startRouter([url], false);
		const text = router.post('/v1/completions', {}).then((response) => response.text());
		await expect(text).rejects.toThrow();
	});

	// Guards against rejecting a whole stream because it has neither a length nor chunks and ends with its connection.
	test.each([
		['with its marker', 'id: 1\ndata: {}\n\ndata: [DONE]\n\n', true],
		['within an event', 'id: 1\ndata: {}\n\nid: 2\ndata: {', false],
	])('that ends %s, and with its connection, is taken for what it is', async (_, stream, isComplete) => {
		const url = await startScriptedServer(({ socket }) => {
			socket?.end(`HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n${stream}`);
		});
		const router = await startRouter([url], false);
		const text = router.post('/v1/completions', {}).then((response) => response.text());
		await (isComplete ? expect(text).resolves.toBe(stream) : expect(text).rejects.toThrow());
	});

	// Guards against missing, duplicate or wrong tokens when a stream of one engine is continued on another.
	test('is resumed on another engine with each token exactly once', async () => {
		const engines = startEngines(2);
		const router = await startRouter(await listenAll(engines), true);
		const response = await router.post('/v1/completions', { max_tokens: 60 }, { 'x-request-id': 'r1' });
		const reader = response.body?.pipeThrough(new TextDecoderStream()).getReader();
		let stream = (await reader?.read())?.value ?? '';
		const activeEngine = engines.find((engine) => engine.ledger.entries().length > 0);
		activeEngine?.crash();
		for (let part = await reader?.read(); part?.done === false; part = await reader?.read()) {
			stream += part.value;
		}
		expect(stream.match(/"text"/g)).toHaveLength(60);
		expect(stream).toContain(`"request_id":"r1","digest":"${digestOfTokens(stream)}"`);
		expect(engines.map((engine) => engine.ledger.entries().length)).toEqual([1, 1]);
	});

	// Guards against an engine that keeps generating after the caller has disconnected.
	test('is cancelled on the engine when its caller disconnects, and its slot is released', async () => {
		const engines = startEngines(1);
		const [engine] = engines as [ModelEngine];
		const router = await startRouter(await listenAll(engines), true);
		const response = await router.post('/v1/completions', { max_tokens: 1_000_000 });
		await response.body?.cancel();
		while (engine.ledger.entries()[0]?.cancelled !== 1) {
			await new Promise((resolve) => setTimeout(resolve, 1));
		}
		expect(router.freeSlots('b0')).toBe(4);
	});

	// Guards against unbounded buffering when the caller does not read.
	test('is paused while its caller does not read', async () => {
		let written = 0;
		const chunk = Buffer.alloc(65_536, 'x');
		const total = 4_000;
		const url = await startScriptedServer((response) => {
			response.writeHead(200, { 'content-type': 'text/event-stream' });
			const writeChunks = (): void => {
				while (written < total) {
					written++;
					if (!response.write(chunk)) {
						response.once('drain', writeChunks);
						return;
					}
				}
				response.end('\n\ndata: [DONE]\n\n');
			};
			writeChunks();
		});
		const router = await startRouter([url], false);
		const response = await router.post('/v1/completions', {});
		let previous = -1;
		while (written !== previous) {
			previous = written;
			await new Promise((resolve) => setTimeout(resolve, 50));
		}
		expect(written).toBeLessThan(total);
		const bytes = (await response.arrayBuffer()).byteLength;
		expect(bytes).toBe(total * chunk.length + Buffer.byteLength('\n\ndata: [DONE]\n\n'));
	});
});

describe('a request that crashes backend servers', () => {
	// Guards against losing all engines to one request whose caller retries it at every router.
	test.each([true, false])('crashes at most 2 engines, resumable %s', async (resumable) => {
		const engines = startEngines(5);
		const urls = await listenAll(engines);
		const network = InMemoryNetwork.create();
		const routers = [await startRouter(urls, resumable, network), await startRouter(urls, resumable, network)];
		const crashingBody = { prompt: '[crash]', max_tokens: 5 };
		const otherRequests = routers.map((router) => router.post('/v1/completions', { prompt: 'good', max_tokens: 30 }));
		let lastResponse: Response | undefined;
		for (let send = 0; send < 12; send++) {
			lastResponse = await routers[send % 2]?.post('/v1/completions', crashingBody);
			await lastResponse?.text().catch(() => undefined);
		}
		await Promise.allSettled(otherRequests);
		expect(engines.reduce((sum, engine) => sum + engine.crashes, 0)).toBe(2);
		expect([lastResponse?.status, lastResponse?.headers.get('masticloom-verdict')]).toEqual([503, 'not-run']);
		expect(Number(lastResponse?.headers.get('retry-after'))).toBeGreaterThan(0);
		for (const router of routers) {
			const goodResponse = await router.post('/v1/completions', { prompt: 'good', max_tokens: 3 });
			expect(await goodResponse.text()).toContain('[DONE]');
			expect(router.suspects.list().filter((suspect) => suspect.quarantineMs > 0)).toHaveLength(1);
		}
	});

	// Guards against routers that run copies of a crash suspect concurrently and lose one server each.
	test('crashes at most 2 engines when copies reach all routers at once after the first crash', async () => {
		const engines = startEngines(6);
		const urls = await listenAll(engines);
		const network = InMemoryNetwork.create();
		const routers: TestRouter[] = [];
		while (routers.length < 4) {
			routers.push(await startRouter(urls, false, network));
		}
		const send = (router: TestRouter): Promise<unknown> =>
			router
				.post('/v1/completions', { prompt: '[crash]' })
				.then((response) => response.text())
				.catch(() => undefined);
		const [first] = routers as [TestRouter];
		const copies = [send(first)];
		while (first.suspects.list().length === 0) {
			await new Promise((resolve) => setTimeout(resolve, 1));
		}
		copies.push(...routers.flatMap((router) => [send(router), send(router)]));
		await Promise.all(copies);
		expect(engines.reduce((sum, engine) => sum + engine.crashes, 0)).toBe(2);
	});
});
