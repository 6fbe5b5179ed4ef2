// A faulty engine sends bytes that are not a response: a line of another protocol version, noise, and the end of its channel.
import { Agent } from 'node:http';
import { randomBytes } from 'node:crypto';
import { dirname } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Engine } from '../common/engine.mjs';
import { call, ENGINE_HOST, HAS_TROUBLE, runCase } from '../common/fleet.mjs';

const ROUTERS = 3;
const ENGINES = 3;
const CLIENTS_PER_ROUTER = 40;
const PLAY_MS = 12_000;
const WORK_MS = 60;
/** Site file: garble share = 0.35, x = 0.02, for_s = 5.5. One of three engines spoils one in 50 of its answers for 5.5 s. */
const FAULTY_ENGINES = 1;
const SPOILED_ONE_IN = 50;
const SPOILED_FROM_MS = 3_000;
const SPOILED_FOR_MS = 5_500;
const NOISE_BYTES = 60;
/** The engines close idle channels after a second, as their `Keep-Alive` says, and the callers come in waves. */
const IDLE_TIMEOUT_MS = 1_000;
const WAVE_MS = 1_500;

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
	const spoiled = new Set();
	const spoil = (request, response, head) => {
		const sinceMs = performance.now() - startedAt - SPOILED_FROM_MS;
		const isFaulty = HAS_TROUBLE && sinceMs >= 0 && sinceMs < SPOILED_FOR_MS;
		if (!isFaulty || ++answers % SPOILED_ONE_IN !== 0) {
			return false;
		}
		spoiled.add(head['X-Request-Id']);
		fleet.record('spoiled', { id: head['X-Request-Id'] });
		response.socket.write('HTTP/2.0 200 \r\n\r\n', 'latin1');
		response.socket.end(randomBytes(NOISE_BYTES));
		return true;
	};
	for (let index = 1; index <= ENGINES; index++) {
		const answer = index <= FAULTY_ENGINES ? spoil : undefined;
		const engine = new Engine(`desk-${index}`, WORK_MS, fleet.record, answer, IDLE_TIMEOUT_MS);
		await engine.listen(ENGINE_HOST);
		fleet.register(engine, 'orderdesk', { slots: 64 });
	}
	await fleet.waitUntilReady();
	startedAt = performance.now();
	const wrong = [];
	let requests = 0;
	const runClient = async (router) => {
		while (performance.now() < startedAt + PLAY_MS) {
			const agent = new Agent({ keepAlive: true, maxSockets: 1 });
			const { id, status, whole, headers, text } = await call(fleet, router, { path: '/order/a', agent });
			requests++;
			if (status >= 200 && status < 300 && whole && headers['x-signature'] === undefined) {
				wrong.push(id);
				fleet.record('success-without-signature', { id, status, bytes: text.length });
			}
			agent.destroy();
			await sleep(WAVE_MS - ((performance.now() - startedAt) % WAVE_MS));
		}
	};
	await Promise.all(
		fleet.routers.flatMap((router) => Array.from({ length: CLIENTS_PER_ROUTER }, () => runClient(router))),
	);
	return { broken: wrong.length > 0, requests, spoiled: spoiled.size, successesWithoutSignature: wrong.length };
});
