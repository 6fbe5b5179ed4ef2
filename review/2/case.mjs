// A faulty engine sends bytes that are not a response: a wrong byte in the name of a header, or a status line with 000.
import { Agent } from 'node:http';
import { dirname } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Engine } from '../common/engine.mjs';
import { call, ENGINE_HOST, HAS_TROUBLE, runCase } from '../common/fleet.mjs';

const ROUTERS = 3;
const ENGINES = 4;
const CLIENTS_PER_ROUTER = 12;
const PLAY_MS = 12_000;
const WORK_MS = 150;
/** Site file: garble share = 0.35, x = 0.02, for_s = 5.5. One of four engines spoils one in 50 of its answers for 5.5 s. */
const FAULTY = new Set(['desk-1']);
const SPOILED_ONE_IN = 50;
const SPOILED_FROM_MS = 3_000;
const SPOILED_FOR_MS = 5_500;
/** LOST: a machine may do it three times. */
const ALLOWED = 3;

await runCase(dirname(fileURLToPath(import.meta.url)), async (fleet) => {
	await fleet.start(
		ROUTERS,
		[
			{
				name: 'order',
				prefix: '/order/',
				service: 'orderdesk',
				type: 'unsafe',
				timeout_ms: 5_000,
				slo_ms: 500,
				max_attempts: 1,
			},
		],
		[{ name: 'orderdesk', health_path: '/healthz', max_conns: 96 }],
	);
	let startedAt = Infinity;
	let answers = 0;
	let spoiled = 0;
	const spoil = (request, response, head, text) => {
		const sinceMs = performance.now() - startedAt - SPOILED_FROM_MS;
		const isFaulty = HAS_TROUBLE && sinceMs >= 0 && sinceMs < SPOILED_FOR_MS;
		if (!isFaulty || ++answers % SPOILED_ONE_IN !== 0) {
			return false;
		}
		spoiled++;
		fleet.record('spoiled', { id: head['X-Request-Id'] });
		const lines = Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`);
		const sound = `HTTP/1.1 200 OK\r\n${lines.join('')}Content-Length: ${text.length}\r\n\r\n${text}`;
		response.socket.end(
			spoiled % 2 === 1 ? sound.replace('X-Signature', 'X Signature') : sound.replace('HTTP/1.1 200', 'HTTP/1.1 000'),
		);
		return true;
	};
	const ranAt = new Map();
	const record = (event, fields) => {
		fleet.record(event, fields);
		ranAt.set(fields.id, fields.engine);
	};
	for (let index = 1; index <= ENGINES; index++) {
		const engine = new Engine(`desk-${index}`, WORK_MS, record, FAULTY.has(`desk-${index}`) ? spoil : undefined);
		await engine.listen(ENGINE_HOST);
		fleet.register(engine, 'orderdesk', { slots: 64 });
	}
	await fleet.waitUntilReady();
	startedAt = performance.now();
	const until = startedAt + PLAY_MS;
	const lost = new Map();
	let requests = 0;
	const runClient = async (index) => {
		const agent = new Agent({ keepAlive: true, maxSockets: 1 });
		while (performance.now() < until) {
			const router = fleet.routers[index];
			if (!(await fleet.isReady(router))) {
				await sleep(200); // The balancer leaves the machine out.
				continue;
			}
			const result = await call(fleet, router, { path: '/order/a', agent });
			requests++;
			const engine = ranAt.get(result.id);
			// LOST: a kept channel was closed without an answer, and the request was passed on to a sound engine.
			if (result.isReused && result.status === 0 && engine !== undefined && !FAULTY.has(engine)) {
				lost.set(result.router, (lost.get(result.router) ?? 0) + 1);
			}
		}
		agent.destroy();
	};
	await Promise.all(Array.from({ length: ROUTERS * CLIENTS_PER_ROUTER }, (_, index) => runClient(index % ROUTERS)));
	const most = Math.max(0, ...lost.values());
	return { broken: most > ALLOWED, requests, spoiled, lostByRouter: Object.fromEntries(lost), allowed: ALLOWED };
});
