import { afterEach, describe, expect, test } from '@jest/globals';
import { Deferred, Effect } from 'effect';
import { type Fault, PlainService } from '../../../standins/plainService/plainService.js';
import { IdempotencyService } from '../../idempotency/node/idempotencyService.js';
import { FaultyStore } from '../../idempotency/test/faultyStore.js';
import { createConfiguration, type RouterOptions, TestRouter } from './routerFixture.js';

const KEY_HEADERS = { 'idempotency-key': 'order-7', 'x-request-id': 'order-7' };
const services: PlainService[] = [];
const routers: TestRouter[] = [];

async function startService(serviceMs = 2): Promise<{ service: PlainService; url: string }> {
	const service = PlainService.create({ serviceMs, crashDownMs: 20, slots: 100 });
	services.push(service);
	return { service, url: await service.listen() };
}

async function startRouters(count: number, options: RouterOptions): Promise<readonly TestRouter[]> {
	const startedRouters = await Promise.all(Array.from({ length: count }, () => TestRouter.start(options)));
	routers.push(...startedRouters);
	return startedRouters;
}

function countStarts(service: PlainService): number {
	return service.ledger.entries().reduce((sum, entry) => sum + entry.started, 0);
}

afterEach(async () => {
	routers.splice(0).forEach((router) => router.stop());
	await Promise.all(services.splice(0).map((service) => service.close()));
});

describe('a request with an idempotency key', () => {
	// Guards against a duplicate print order when a caller resends through several routers at once.
	test.each([[[]], [['answer-lost', 'answer-lost']], [['refused', 'answer-lost']]] as const)(
		'runs once over concurrent resends through two routers, with store faults %j',
		async (faults) => {
			const { service, url } = await startService();
			const store = FaultyStore.create();
			store.failNext(...faults);
			const [left, right] = (await startRouters(2, { configuration: createConfiguration([url], {}, 50), store })) as [
				TestRouter,
				TestRouter,
			];
			const targets = Array.from({ length: 10 }, () => [left, right]).flat();
			const responses = await Promise.all(targets.map((router) => router.post('/orders', { copies: 1 }, KEY_HEADERS)));
			expect(countStarts(service)).toBe(1);
			for (const response of responses) {
				expect([200, 409]).toContain(response.status);
				expect(['completed', 'may-have-run']).toContain(response.headers.get('masticloom-verdict'));
			}
			const first = await responses.find((response) => response.status === 200)?.text();
			const replay = await right.post('/orders', { copies: 1 }, KEY_HEADERS);
			expect([replay.status, await replay.text()]).toEqual([200, first]);
			const reused = await left.post('/orders', { copies: 2 }, KEY_HEADERS);
			expect([reused.status, reused.headers.get('masticloom-verdict')]).toEqual([422, 'not-run']);
			expect(countStarts(service)).toBe(1);
		},
	);

	// Guards against dispatching a request without an at-most-once record.
	test('is refused as not run while the store is down', async () => {
		const { service, url } = await startService();
		const store = FaultyStore.create();
		store.down = true;
		const [router] = await startRouters(1, { configuration: createConfiguration([url]), store });
		const response = await router?.post('/orders', {}, KEY_HEADERS);
		expect([response?.status, response?.headers.get('masticloom-verdict')]).toEqual([503, 'not-run']);
		expect(Number(response?.headers.get('retry-after'))).toBeGreaterThan(0);
		expect(countStarts(service)).toBe(0);
	});

	// Guards against a second run by a router that was suspended between its claim of the record and its dispatch.
	test('runs once when the holder of the record is suspended and continues after resends', async () => {
		const { service, url } = await startService();
		const store = FaultyStore.create();
		const calls = IdempotencyService.create(store);
		const resumed = Deferred.makeUnsafe<void>();
		const claimed = Deferred.makeUnsafe<void>();
		const suspendable = {
			lookup: calls.lookup.bind(calls),
			complete: calls.complete.bind(calls),
			release: calls.release.bind(calls),
			claim: (call: Parameters<IdempotencyService['claim']>[0]) =>
				Effect.tap(calls.claim(call), () =>
					Effect.andThen(Deferred.succeed(claimed, undefined), Deferred.await(resumed)),
				),
		};
		const configuration = createConfiguration([url]);
		const [holder] = await startRouters(1, { configuration, idempotency: suspendable });
		const [other] = await startRouters(1, { configuration, store });
		const first = holder?.post('/orders', {}, KEY_HEADERS);
		await Effect.runPromise(Deferred.await(claimed));
		expect((await other?.post('/orders', {}, KEY_HEADERS))?.status).toBe(409);
		expect(countStarts(service)).toBe(0);
		Effect.runSync(Deferred.succeed(resumed, undefined));
		expect((await first)?.status).toBe(200);
		expect((await other?.post('/orders', {}, KEY_HEADERS))?.status).toBe(200);
		expect(countStarts(service)).toBe(1);
	});

	// Guards against losing the outcome of a request, or running it again, when its caller disconnects.
	test('continues after its caller has disconnected, and answers the resend', async () => {
		const { service, url } = await startService(30);
		const [router] = await startRouters(1, { configuration: createConfiguration([url]) });
		const controller = new AbortController();
		const first = fetch(`${router?.url ?? ''}/services/s/orders`, {
			method: 'POST',
			body: '{}',
			headers: { authorization: 'Bearer secret', ...KEY_HEADERS },
			signal: controller.signal,
		});
		while (countStarts(service) === 0) {
			await new Promise((resolve) => setTimeout(resolve, 1));
		}
		controller.abort();
		await expect(first).rejects.toThrow();
		let resend = await router?.post('/orders', {}, KEY_HEADERS);
		while (resend?.status === 409) {
			resend = await router?.post('/orders', {}, KEY_HEADERS);
		}
		expect([resend?.status, countStarts(service)]).toEqual([200, 1]);
	});
});

describe('a backend server that fails', () => {
	// Guards against a false "not-run" verdict for work that the ledger shows, and against running an order twice.
	test.each([
		['crash-before', KEY_HEADERS],
		['crash-during', KEY_HEADERS],
		['crash-after', KEY_HEADERS],
		['cut', KEY_HEADERS],
		['crash-before', {}],
		['crash-during', {}],
		['crash-after', {}],
		['cut', {}],
	] as const)(
		'starts a non-idempotent request at most once and sends the true verdict, with %s and headers %j',
		async (fault, key) => {
			const backends = [await startService(), await startService()];
			const configuration = createConfiguration(backends.map(({ url }) => url));
			const [router] = await startRouters(1, { configuration });
			backends[0]?.service.failNext(fault);
			const response = await router?.post('/orders', {}, key);
			const starts = backends.reduce((sum, { service }) => sum + countStarts(service), 0);
			expect(starts).toBe(fault === 'crash-before' ? 0 : 1);
			expect([response?.status, response?.headers.get('masticloom-verdict')]).toEqual([502, 'may-have-run']);
			expect(response?.headers.has('retry-after')).toBe('idempotency-key' in key);
		},
	);

	// Guards against an idempotent request that fails although another backend server can run it.
	test.each(['crash-before', 'crash-during', 'crash-after', 'cut'] as const satisfies readonly Fault[])(
		'leaves an idempotent request to another server after %s',
		async (fault) => {
			const backends = [await startService(), await startService()];
			const [router] = await startRouters(1, { configuration: createConfiguration(backends.map(({ url }) => url)) });
			backends[0]?.service.failNext(fault);
			const response = await router?.post('/catalogue/find', {});
			expect(response?.status).toBe(200);
			expect(await response?.json()).toHaveProperty('filler');
		},
	);

	// Guards against reporting a refusal as a possible run, and against a lost retry.
	test('is skipped while it is draining', async () => {
		const backends = [await startService(), await startService()];
		backends[0]?.service.drain();
		const [router] = await startRouters(1, { configuration: createConfiguration(backends.map(({ url }) => url)) });
		expect((await router?.post('/orders', {}))?.status).toBe(200);
		backends[1]?.service.drain();
		const refused = await router?.post('/orders', {}, KEY_HEADERS);
		expect([refused?.status, refused?.headers.get('masticloom-verdict')]).toEqual([503, 'not-run']);
		backends[1]?.service.drain(false);
		expect((await router?.post('/orders', {}, KEY_HEADERS))?.status).toBe(200);
	});
});
