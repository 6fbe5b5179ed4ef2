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

// A server that sends a piece of an answer and then ends it or breaks the connection.
async function startScript(answer: (response: http.ServerResponse) => void): Promise<string> {
	const server = http.createServer((request, response) => {
		request.resume().on('end', () => answer(response));
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
	// Guards against a cut stream that its caller takes for the whole answer.
	test.each([
		['ends without its marker', (response: http.ServerResponse) => response.end('id: 1\ndata: {}\n\n')],
		['has the marker inside of a token', (response: http.ServerResponse) => response.end('data: "data: [DONE]" \n\n')],
		['breaks off', (response: http.ServerResponse) => response.write('id: 1\ndata: {}\n\n', () => response.destroy())],
	])('that %s breaks the caller’s connection', async (_, answer) => {
		const url = await startScript((response) => {
			response.writeHead(200, { 'content-type': 'text/event-stream' });
			answer(response);
		});
		const router = await startRouter([url], false);
		const whole = router.post('/v1/completions', {}).then((response) => response.text());
		await expect(whole).rejects.toThrow();
	});

	// Guards against lost, doubled or foreign tokens where one engine's stream is continued on another.
	test('is resumed on another engine with every token once', async () => {
		const engines = startEngines(2);
		const router = await startRouter(await listenAll(engines), true);
		const answer = await router.post('/v1/completions', { max_tokens: 60 }, { 'x-request-id': 'r1' });
		const reader = answer.body?.pipeThrough(new TextDecoderStream()).getReader();
		let stream = (await reader?.read())?.value ?? '';
		const busy = engines.find((engine) => engine.ledger.entries().length > 0);
		busy?.crash();
		for (let part = await reader?.read(); part?.done === false; part = await reader?.read()) {
			stream += part.value;
		}
		expect(stream.match(/"text"/g)).toHaveLength(60);
		expect(stream).toContain(`"request_id":"r1","digest":"${digestOfTokens(stream)}"`);
		expect(engines.map((engine) => engine.ledger.entries().length)).toEqual([1, 1]);
	});

	// Guards against an engine that generates for a caller that has gone.
	test('is cancelled on the engine when its caller hangs up, and its slot is free again', async () => {
		const engines = startEngines(1);
		const [engine] = engines as [ModelEngine];
		const router = await startRouter(await listenAll(engines), true);
		const answer = await router.post('/v1/completions', { max_tokens: 1_000_000 });
		await answer.body?.cancel();
		while (engine.ledger.entries()[0]?.cancelled !== 1) {
			await new Promise((resolve) => setTimeout(resolve, 1));
		}
		expect(router.freeSlots('b0')).toBe(4);
	});

	// Guards against a router that buffers without limit when its caller does not read.
	test('stops flowing when its caller does not read', async () => {
		let written = 0;
		const chunk = Buffer.alloc(65_536, 'x');
		const total = 4_000;
		const url = await startScript((response) => {
			response.writeHead(200, { 'content-type': 'text/event-stream' });
			const fill = (): void => {
				while (written < total) {
					written++;
					if (!response.write(chunk)) {
						response.once('drain', fill);
						return;
					}
				}
				response.end('\n\ndata: [DONE]\n\n');
			};
			fill();
		});
		const router = await startRouter([url], false);
		const answer = await router.post('/v1/completions', {});
		let before = -1;
		while (written !== before) {
			before = written;
			await new Promise((resolve) => setTimeout(resolve, 50));
		}
		expect(written).toBeLessThan(total);
		const bytes = (await answer.arrayBuffer()).byteLength;
		expect(bytes).toBe(total * chunk.length + Buffer.byteLength('\n\ndata: [DONE]\n\n'));
	});
});

describe('a request that crashes backend servers', () => {
	// Guards against a fleet that is lost to one request whose caller sends it again at every router.
	test.each([true, false])('takes at most 2 engines with it, resumable %s', async (resumable) => {
		const engines = startEngines(5);
		const urls = await listenAll(engines);
		const network = InMemoryNetwork.create();
		const fleet = [await startRouter(urls, resumable, network), await startRouter(urls, resumable, network)];
		const poison = { prompt: '[crash]', max_tokens: 5 };
		const bystanders = fleet.map((router) => router.post('/v1/completions', { prompt: 'good', max_tokens: 30 }));
		let last: Response | undefined;
		for (let send = 0; send < 12; send++) {
			last = await fleet[send % 2]?.post('/v1/completions', poison);
			await last?.text().catch(() => undefined);
		}
		await Promise.allSettled(bystanders);
		expect(engines.reduce((sum, engine) => sum + engine.crashes, 0)).toBe(2);
		expect([last?.status, last?.headers.get('masticloom-verdict')]).toEqual([503, 'not-run']);
		expect(Number(last?.headers.get('retry-after'))).toBeGreaterThan(0);
		for (const router of fleet) {
			const good = await router.post('/v1/completions', { prompt: 'good', max_tokens: 3 });
			expect(await good.text()).toContain('[DONE]');
			expect(router.suspects.list().filter((suspect) => suspect.quarantineMs > 0)).toHaveLength(1);
		}
	});

	// Guards against routers that run copies of a suspect at the same time, and lose one server each.
	test('takes at most 2 engines when its copies reach all routers at once after the first death', async () => {
		const engines = startEngines(6);
		const urls = await listenAll(engines);
		const network = InMemoryNetwork.create();
		const fleet: TestRouter[] = [];
		while (fleet.length < 4) {
			fleet.push(await startRouter(urls, false, network));
		}
		const send = (router: TestRouter): Promise<unknown> =>
			router
				.post('/v1/completions', { prompt: '[crash]' })
				.then((answer) => answer.text())
				.catch(() => undefined);
		const [first] = fleet as [TestRouter];
		const copies = [send(first)];
		while (first.suspects.list().length === 0) {
			await new Promise((resolve) => setTimeout(resolve, 1));
		}
		copies.push(...fleet.flatMap((router) => [send(router), send(router)]));
		await Promise.all(copies);
		expect(engines.reduce((sum, engine) => sum + engine.crashes, 0)).toBe(2);
	});
});
