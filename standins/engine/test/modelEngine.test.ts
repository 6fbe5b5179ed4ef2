import { afterEach, describe, expect, test } from '@jest/globals';
import { createHash } from 'node:crypto';
import { type EngineOptions, ModelEngine } from '../modelEngine.js';

const engines: ModelEngine[] = [];

async function startEngine(options: Partial<EngineOptions>): Promise<{ engine: ModelEngine; url: string }> {
	const engine = ModelEngine.create({ tokenMs: 1, ...options });
	engines.push(engine);
	return { engine, url: await engine.listen() };
}

function requestCompletion(url: string, body: object, headers: Record<string, string> = {}): Promise<Response> {
	return fetch(`${url}/v1/completions`, { method: 'POST', body: JSON.stringify({ stream: true, ...body }), headers });
}

function textsOf(stream: string): readonly string[] {
	return [...stream.matchAll(/"text":"([^"]*)"/g)].map((match) => match[1] ?? '');
}

afterEach(async () => {
	await Promise.all(engines.splice(0).map((engine) => engine.close()));
});

describe('ModelEngine', () => {
	// Guards against a resumed stream whose tokens or digest differ from the uninterrupted one.
	test('resumes with the same tokens and digest', async () => {
		const { url } = await startEngine({});
		const complete = await (
			await requestCompletion(url, { prompt: 'p', max_tokens: 6 }, { 'x-request-id': 'r1' })
		).text();
		const { url: other } = await startEngine({});
		const headers = { 'x-request-id': 'r1', 'last-event-id': '4' };
		const rest = await (await requestCompletion(other, { prompt: 'p', max_tokens: 6 }, headers)).text();
		const digest = createHash('sha256').update(textsOf(complete).join('')).digest('hex');
		expect(textsOf(complete)).toHaveLength(6);
		expect(textsOf(rest)).toEqual(textsOf(complete).slice(4));
		for (const stream of [complete, rest]) {
			expect(stream).toContain(`"request_id":"r1","digest":"${digest}"`);
			expect(stream.endsWith('data: [DONE]\n\n')).toBe(true);
		}
	});

	// Guards against an engine that runs more requests than its limit, or a refusal that the router can't recognise.
	test('refuses beyond its slots as not started, and frees the slot of a cancelled stream', async () => {
		const { engine, url } = await startEngine({ slots: 1, metricsLagMs: 0 });
		const abort = new AbortController();
		const first = await fetch(`${url}/v1/completions`, {
			method: 'POST',
			body: JSON.stringify({ max_tokens: 100_000 }),
			signal: abort.signal,
		});
		const refused = await requestCompletion(url, { max_tokens: 1 });
		expect([refused.status, refused.headers.get('masticloom-not-started')]).toEqual([503, 'true']);
		abort.abort();
		await first.text().catch(() => undefined);
		while (!(await (await fetch(`${url}/metrics`)).text()).includes('engine_requests_running 0')) {
			await new Promise((resolve) => setImmediate(resolve));
		}
		expect((await requestCompletion(url, { max_tokens: 1 })).status).toBe(200);
		expect(engine.ledger.entries().map((entry) => entry.cancelled)).toContain(1);
		expect(engine.ledger.refused).toBe(1);
	});

	// Guards against other streams of the engine that look complete after a request with the crash marker.
	test('resets all streams on a request with the crash marker', async () => {
		const { engine, url } = await startEngine({ crashDownMs: 10 });
		const other = await requestCompletion(url, { max_tokens: 100_000 });
		await expect(requestCompletion(url, { prompt: '[crash]' }).then((response) => response.text())).rejects.toThrow();
		await expect(other.text()).rejects.toThrow();
		expect(engine.crashes).toBe(1);
	});
});
