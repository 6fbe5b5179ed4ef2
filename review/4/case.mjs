// Engines are replaced one after the other; each ends its last streams, which have no length, and exits.
import { Agent } from 'node:http';
import { dirname } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { call, HAS_TROUBLE, runCase } from '../common/fleet.mjs';
import { DRAFT_ROUTE, ranWhole, SCRIBES, startEngine } from '../common/streamEngines.mjs';

const ROUTERS = 3;
const ENGINES = 8;
const EVENTS = 24;
const CLIENTS_PER_ROUTER = 16;
/** Site file: release share = 0.45, x = 1.0, gap_s = 1.0. Three of eight engines at a time, and the release comes again. */
const RELEASES = 4;
const REPLACED = 3;
const GAP_MS = 1_000;
const PAUSE_MS = 3_000;
/** LOST: a machine may do it three times. */
const ALLOWED = 3;

await runCase(dirname(fileURLToPath(import.meta.url)), async (fleet) => {
	await fleet.start(ROUTERS, [DRAFT_ROUTE], [SCRIBES]);
	const engines = [];
	let started = 0;
	const startNext = async () => {
		const engine = await startEngine(fleet, `i-${++started}`, EVENTS);
		engine.entry = fleet.register(engine, 'scribes', { slots: 64 });
		engines.push(engine);
	};
	for (let index = 1; index <= ENGINES; index++) {
		await startNext();
	}
	await fleet.waitUntilReady();
	const replace = async (engine) => {
		await startNext();
		const { entry, id } = engine;
		// The engine reports `draining`, serves on for drain_ms and a little longer, and exits.
		fleet.store.put(`servers/${id}`, { ...entry, state: 'draining', seq: entry.seq + 1 });
		fleet.record('draining', { engine: id });
		engine.child.kill('SIGTERM');
		void engine.exited.then(() => {
			fleet.record('left', { engine: id });
			fleet.store.put(`servers/${id}`, undefined);
		});
	};
	const playMs = RELEASES * (REPLACED * GAP_MS + PAUSE_MS) + 6_000;
	const until = performance.now() + playMs;
	const results = [];
	const runClient = async (router) => {
		const agent = new Agent({ keepAlive: true, maxSockets: 1 });
		while (performance.now() < until) {
			results.push(await call(fleet, router, { path: '/draft/a', deadlineMs: 15_000, agent }));
			await sleep(20 + Math.random() * 300);
		}
		agent.destroy();
	};
	const clients = fleet.routers.flatMap((router) =>
		Array.from({ length: CLIENTS_PER_ROUTER }, () => runClient(router)),
	);
	await sleep(2_000);
	for (let release = 0; HAS_TROUBLE && release < RELEASES; release++) {
		for (let replaced = 0; replaced < REPLACED; replaced++) {
			await replace(engines.shift());
			await sleep(GAP_MS);
		}
		await sleep(PAUSE_MS);
	}
	await Promise.all(clients);
	await sleep(200);
	const lost = new Map();
	for (const { id, router, whole } of results) {
		if (!whole && ranWhole.has(id)) {
			fleet.record('whole-answer-cut', { id, router });
			lost.set(router, (lost.get(router) ?? 0) + 1);
		}
	}
	const most = Math.max(0, ...lost.values());
	return {
		broken: most > ALLOWED,
		requests: results.length,
		whole: results.filter(({ whole }) => whole).length,
		lostByRouter: Object.fromEntries(lost),
		allowed: ALLOWED,
	};
});
