import { afterEach, describe, expect, test } from '@jest/globals';
import { Deferred, Effect } from 'effect';
import { type Fault, PlainService } from '../../../standins/plainService/plainService.js';
import { IdempotencyService } from '../../idempotency/node/storedCalls.js';
import { FaultyStore } from '../../idempotency/test/faultyStore.js';
import { createConfiguration, type RouterOptions, TestRouter } from './routerFixture.js';

const KEY = { 'idempotency-key': 'order-7', 'x-request-id': 'order-7' };
const services: PlainService[] = [];
const routers: TestRouter[] = [];

async function startService(serviceMs = 2): Promise<{ service: PlainService; url: string }> {
	const service = PlainService.create({ serviceMs, crashDownMs: 20, slots: 100 });
	services.push(service);
	return { service, url: await service.listen() };
}

async function startRouters(count: number, options: RouterOptions): Promise<readonly TestRouter[]> {
	const started = await Promise.all(Array.from({ length: count }, () => TestRouter.start(options)));
	routers.push(...started);
	return started;
}

function startsOf(service: PlainService): number {
	return service.ledger.entries().reduce((sum, entry) => sum + entry.started, 0);
}

afterEach(async () => {
	routers.splice(0).forEach((router) => router.stop());
	await Promise.all(services.splice(0).map((service) => service.close()));
});

describe('a call with a key', () => {
	// Guards against a doubled print order when a caller resends through several routers at once.
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
			const fleet = Array.from({ length: 10 }, () => [left, right]).flat();
			const answers = await Promise.all(fleet.map((router) => router.post('/orders', { copies: 1 }, KEY)));
			expect(startsOf(service)).toBe(1);
			for (const answer of answers) {
				expect([200, 409]).toContain(answer.status);
				expect(['completed', 'may-have-run']).toContain(answer.headers.get('masticloom-verdict'));
			}
			const first = await answers.find((answer) => answer.status === 200)?.text();
			const replay = await right.post('/orders', { copies: 1 }, KEY);
			expect([replay.status, await replay.text()]).toEqual([200, first]);
			const reused = await left.post('/orders', { copies: 2 }, KEY);
			expect([reused.status, reused.headers.get('masticloom-verdict')]).toEqual([422, 'not-run']);
			expect(startsOf(service)).toBe(1);
		},
	);

	// Guards against a dispatch without a record.
	test('is refused as not run while the store is down', async () => {
		const { service, url } = await startService();
		const store = FaultyStore.create();
		store.down = true;
		const [router] = await startRouters(1, { configuration: createConfiguration([url]), store });
		const answer = await router?.post('/orders', {}, KEY);
		expect([answer?.status, answer?.headers.get('masticloom-verdict')]).toEqual([503, 'not-run']);
		expect(Number(answer?.headers.get('retry-after'))).toBeGreaterThan(0);
		expect(startsOf(service)).toBe(0);
	});

	// Guards against a holder that was frozen between its record and its dispatch and runs the call a second time.
	test('runs once when the holder of the record freezes and continues after resends', async () => {
		const { service, url } = await startService();
		const store = FaultyStore.create();
		const calls = IdempotencyService.create(store);
		const thaw = Deferred.makeUnsafe<void>();
		const claimed = Deferred.makeUnsafe<void>();
		const frozen = {
			lookup: calls.lookup.bind(calls),
			complete: calls.complete.bind(calls),
			release: calls.release.bind(calls),
			claim: (call: Parameters<IdempotencyService['claim']>[0]) =>
				Effect.tap(calls.claim(call), () => Effect.andThen(Deferred.succeed(claimed, undefined), Deferred.await(thaw))),
		};
		const configuration = createConfiguration([url]);
		const [holder] = await startRouters(1, { configuration, idempotency: frozen });
		const [other] = await startRouters(1, { configuration, store });
		const first = holder?.post('/orders', {}, KEY);
		await Effect.runPromise(Deferred.await(claimed));
		expect((await other?.post('/orders', {}, KEY))?.status).toBe(409);
		expect(startsOf(service)).toBe(0);
		Effect.runSync(Deferred.succeed(thaw, undefined));
		expect((await first)?.status).toBe(200);
		expect((await other?.post('/orders', {}, KEY))?.status).toBe(200);
		expect(startsOf(service)).toBe(1);
	});

	// Guards against a call whose outcome is lost, or that runs again, when its caller hangs up.
	test('goes on without its caller and answers the resend', async () => {
		const { service, url } = await startService(30);
		const [router] = await startRouters(1, { configuration: createConfiguration([url]) });
		const hangUp = new AbortController();
		const first = fetch(`${router?.url ?? ''}/services/s/orders`, {
			method: 'POST',
			body: '{}',
			headers: { authorization: 'Bearer secret', ...KEY },
			signal: hangUp.signal,
		});
		while (startsOf(service) === 0) {
			await new Promise((resolve) => setTimeout(resolve, 1));
		}
		hangUp.abort();
		await expect(first).rejects.toThrow();
		let resend = await router?.post('/orders', {}, KEY);
		while (resend?.status === 409) {
			resend = await router?.post('/orders', {}, KEY);
		}
		expect([resend?.status, startsOf(service)]).toEqual([200, 1]);
	});
});

describe('a backend server that fails', () => {
	// Guards against a verdict that is not true: "not run" although the ledger shows work, or a repeated order.
	test.each([
		['crash-before', KEY],
		['crash-during', KEY],
		['crash-after', KEY],
		['cut', KEY],
		['crash-before', {}],
		['crash-during', {}],
		['crash-after', {}],
		['cut', {}],
	] as const)(
		'leaves a non-idempotent call with %s and headers %j at one start and a true verdict',
		async (fault, key) => {
			const started = [await startService(), await startService()];
			const configuration = createConfiguration(started.map(({ url }) => url));
			const [router] = await startRouters(1, { configuration });
			started[0]?.service.failNext(fault);
			const answer = await router?.post('/orders', {}, key);
			const starts = started.reduce((sum, { service }) => sum + startsOf(service), 0);
			expect(starts).toBe(fault === 'crash-before' ? 0 : 1);
			expect([answer?.status, answer?.headers.get('masticloom-verdict')]).toEqual([502, 'may-have-run']);
			expect(answer?.headers.has('retry-after')).toBe('idempotency-key' in key);
		},
	);

	// Guards against an idempotent call that fails although another backend server could run it.
	test.each(['crash-before', 'crash-during', 'crash-after', 'cut'] as const satisfies readonly Fault[])(
		'has an idempotent call with %s run elsewhere',
		async (fault) => {
			const started = [await startService(), await startService()];
			const [router] = await startRouters(1, { configuration: createConfiguration(started.map(({ url }) => url)) });
			started[0]?.service.failNext(fault);
			const answer = await router?.post('/catalogue/find', {});
			expect(answer?.status).toBe(200);
			expect(await answer?.json()).toHaveProperty('filler');
		},
	);

	// Guards against a refusal that is reported as a possible run, and against its retry being lost.
	test('is passed by when it is draining', async () => {
		const started = [await startService(), await startService()];
		started[0]?.service.drain();
		const [router] = await startRouters(1, { configuration: createConfiguration(started.map(({ url }) => url)) });
		expect((await router?.post('/orders', {}))?.status).toBe(200);
		started[1]?.service.drain();
		const refused = await router?.post('/orders', {}, KEY);
		expect([refused?.status, refused?.headers.get('masticloom-verdict')]).toEqual([503, 'not-run']);
		started[1]?.service.drain(false);
		expect((await router?.post('/orders', {}, KEY))?.status).toBe(200);
	});
});
