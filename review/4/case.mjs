// A machine freezes; meanwhile an engine crashes in the middle of streams without a length, and starts again.
import { dirname } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { call, HAS_TROUBLE, runCase } from '../common/fleet.mjs';
import { DRAFT_ROUTE, SCRIBES, startEngine } from '../common/streamEngines.mjs';

const ROUTERS = 3;
const ENGINES = 4;
const EVENTS = 40;
const STREAMS_PER_ROUTER = 12;
/** Site file: node_freeze count = 1, for_s = 4.0; srv_crash share = 0.25, for_s = 2.0 to 4.5. */
const FREEZE_MS = 3_400;
const DOWN_MS = 2_200;
const UNTIL_CRASH_MS = 200;
const HEARTBEAT_MS = 1_200;

await runCase(dirname(fileURLToPath(import.meta.url)), async (fleet) => {
	await fleet.start(ROUTERS, [DRAFT_ROUTE], [SCRIBES]);
	const engines = [];
	for (let index = 1; index <= ENGINES; index++) {
		engines.push(await startEngine(fleet, `i-${index}`, EVENTS));
		fleet.register(engines[index - 1], 'scribes', { slots: 64 });
	}
	await fleet.waitUntilReady();
	const calls = fleet.routers.flatMap((router) =>
		Array.from({ length: STREAMS_PER_ROUTER }, () => call(fleet, router, { path: '/draft/a', deadlineMs: 15_000 })),
	);
	await sleep(1_000);
	if (HAS_TROUBLE) {
		const [router] = fleet.routers;
		const [crashed] = engines;
		router.child.kill('SIGSTOP');
		fleet.record('frozen', { router: router.name });
		await sleep(UNTIL_CRASH_MS);
		crashed.child.kill('SIGKILL');
		fleet.record('crashed', { engine: crashed.id });
		await sleep(DOWN_MS);
		// Each start is a new boot with a new id; the old entry lapses after three heartbeat intervals of silence.
		const reborn = await startEngine(fleet, `i-${ENGINES + 1}`, EVENTS, crashed.port);
		fleet.register(reborn, 'scribes', { slots: 64 });
		fleet.record('started-again', { engine: reborn.id });
		void sleep(3 * HEARTBEAT_MS - DOWN_MS).then(() => fleet.store.put(`servers/${crashed.id}`, undefined));
		await sleep(FREEZE_MS - DOWN_MS - UNTIL_CRASH_MS);
		router.child.kill('SIGCONT');
		fleet.record('woken', { router: router.name });
	}
	const results = await Promise.all(calls);
	const pieces = (text) => text.match(/^data: /gm)?.length ?? 0;
	const short = results.filter(({ status, whole, text }) => status === 200 && whole && pieces(text) < EVENTS);
	for (const { id, router, text } of short) {
		fleet.record('short-but-complete', { id, router, pieces: pieces(text), of: EVENTS });
	}
	const cutVisibly = results.filter(({ whole }) => !whole).length;
	return { broken: short.length > 0, streams: results.length, shortButComplete: short.length, cutVisibly };
});
