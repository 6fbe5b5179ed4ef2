import { readFileSync } from 'node:fs';
import { describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { formatAddress, type SocketAddress } from '../../settings/common/settings.js';
import type { AccountFacts } from '../common/explanation.js';
import { METRIC_FAMILIES } from '../common/metricFamilies.js';
import { type AdminSources, serveAdmin } from '../node/adminServer.js';
import { RouterMetrics } from '../node/routerMetrics.js';

function sampleSources(changes: Partial<AdminSources> = {}): AdminSources {
	return {
		readiness: [],
		dumps: {},
		accountFacts: () => undefined,
		metrics: { contentType: 'text/plain', render: () => Promise.resolve('') },
		...changes,
	};
}

function sampleFacts(): AccountFacts {
	const pool = {
		pool: 'drafting',
		scheduler: 'router-2',
		schedulerReachable: true,
		queued: 3,
		running: 1,
		queueLimit: 10,
		deliveredService: 900,
		virtualService: 450,
		floor: 100,
		reuseLimit: 150,
		slotsHeld: 1,
		slotsIdle: 0,
		contended: true,
		backendServers: [{ id: 'engine-1', status: 'live', configuredSlots: 4, slotLimit: 2 }],
	};
	return { account: 'small', share: 2, services: ['drafts'], pools: [pool] };
}

interface AdminResponse {
	readonly status: number;
	readonly body: unknown;
}

async function get(base: string, path: string, init?: RequestInit): Promise<AdminResponse> {
	const response = await fetch(`${base}${path}`, init);
	const text = await response.text();
	const isJson = response.headers.get('content-type')?.includes('json') ?? false;
	return { status: response.status, body: isJson ? JSON.parse(text) : text };
}

function withServer(sources: AdminSources, use: (base: string) => Promise<void>): Promise<void> {
	const serve = (address: SocketAddress): Effect.Effect<void> =>
		Effect.promise(() => use(`http://${formatAddress(address)}`));
	return Effect.runPromise(Effect.scoped(Effect.flatMap(serveAdmin({ host: '127.0.0.1', port: 0 }, sources), serve)));
}

describe('serveAdmin', () => {
	// Guards against a load balancer that sends traffic to a router which does not meet a condition.
	test('is ready only when all checks pass, and names what is missing', async () => {
		let missing: string | undefined = 'no configuration is in force';
		const readiness = [
			{ name: 'configuration', missing: () => missing },
			{ name: 'peers', missing: () => undefined },
		];
		await withServer(sampleSources({ readiness }), async (base) => {
			expect(await get(base, '/readyz')).toMatchObject({
				status: 503,
				body: {
					ready: false,
					checks: [
						{ name: 'configuration', missing },
						{ name: 'peers', ready: true },
					],
				},
			});
			missing = undefined;
			expect(await get(base, '/readyz')).toMatchObject({ status: 200, body: { ready: true } });
			expect(await get(base, '/healthz')).toEqual({ status: 200, body: 'ok\n' });
		});
	});

	// Guards against a failing component that hides the state of all others.
	test('dumps the other parts when one fails', async () => {
		const dumps = {
			queue: () => ({ waiting: 3 }),
			peers: () => {
				throw new Error('no peers');
			},
		};
		await withServer(sampleSources({ dumps }), async (base) => {
			expect((await get(base, '/state')).body).toEqual({ queue: { waiting: 3 }, peers: { error: 'Error: no peers' } });
		});
	});

	// Guards against an explanation that omits a cause of the wait, or that treats an unknown account as idle.
	test('explains why an account waits', async () => {
		const accountFacts = (account: string): AccountFacts | undefined =>
			account === 'small' ? sampleFacts() : undefined;
		await withServer(sampleSources({ accountFacts }), async (base) => {
			const response = await get(base, '/explain?account=small');
			const explanation = response.body as {
				readonly pools: readonly { readonly reasons: readonly { code: string }[] }[];
			};
			expect(explanation.pools[0]?.reasons.map((reason) => reason.code)).toEqual([
				'slot-limit-lowered',
				'no-free-slot',
				'above-reuse-limit',
			]);
			expect((await get(base, '/explain?account=other')).status).toBe(404);
			expect((await get(base, '/explain')).status).toBe(400);
		});
	});

	// Guards against state changes by a form or script through the admin address.
	test('refuses other methods and paths', async () => {
		await withServer(sampleSources(), async (base) => {
			expect((await get(base, '/state', { method: 'POST' })).status).toBe(405);
			expect((await get(base, '/secrets')).status).toBe(404);
		});
	});

	// Guards against a start without the admin address.
	test('fails when the port is in use', async () => {
		await withServer(sampleSources(), async (base) => {
			const address = { host: '127.0.0.1', port: Number(new URL(base).port) };
			const exit = await Effect.runPromise(Effect.flip(Effect.scoped(serveAdmin(address, sampleSources()))));
			expect(exit.message).toMatch(/cannot listen on the admin address 127.0.0.1:\d+: .*EADDRINUSE/);
		});
	});
});

describe('RouterMetrics', () => {
	// Guards against an undocumented metric, and against a documented one that was removed.
	test('match the page for operators', () => {
		const page = readFileSync('docs/operators.md', 'utf8');
		const documented = new Set(page.match(/\bmasticloom_\w+/g));
		const requestMetrics = ['masticloom_requests_total', 'masticloom_request_wait_seconds'];
		const families = Object.values(METRIC_FAMILIES).map(({ name }) => name);
		expect([...documented].sort()).toEqual([...families, ...requestMetrics].sort());
	});

	// Guards against totals that grow with each scrape, and against values of accounts that were removed.
	test('rebuilds totals on each scrape', async () => {
		let accounts = ['a', 'b'];
		const metrics = RouterMetrics.create({
			accountService: () => accounts.map((account) => ({ labels: { pool: 'p', account }, value: 7 })),
		});
		await metrics.render();
		accounts = ['b'];
		const lines = (await metrics.render()).split('\n').filter((line) => line.startsWith('masticloom_account'));
		expect(lines).toEqual(['masticloom_account_service_cost_units_total{pool="p",account="b"} 7']);
	});
});
