// Clients open channels and send the first request on each 0.9 s later. One machine of three freezes for 4 s in between.
// See claim.txt.
import { writeFileSync } from 'node:fs';
import net from 'node:net';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { Fleet, network, sleep } from '../common-2/fleet.mjs';
import { PlainServer } from '../common-2/server.mjs';
import { Store } from '../common-2/store.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'ficu95.example';
const KEY = 'asnmgkcuyj8pjbvk9m68';
const ZONES = ['oslo-a', 'oslo-b', 'drammen'];
const DEADLINE_MS = 15_000;
/** Time for which a new channel is idle before its first request; header_timeout_ms is 3,000. */
const IDLE_MS = 900;
const FREEZE_MS = 4_000;
/** Time from the start of a machine, and from the end of a freeze, to the next freeze. The router looks every 30 s for
 * channels without a request. */
const BETWEEN_MS = 28_000;
const FREEZES = 1;
const CHANNELS_PER_SECOND = 12;
/** A client closes a channel this long after its answer; it retries on a new one. */
const CLOSE_MS = 50;

const folder = dirname(fileURLToPath(import.meta.url));
const lines = [];
const startedAt = performance.now();
const secondsOf = (at) => ((at - startedAt) / 1_000).toFixed(3);
const record = (text) => lines.push(`${secondsOf(performance.now())} ${text}`);

const CONFIGURATION = {
	version: 3,
	routes: [
		{
			name: 'review',
			host: HOST,
			prefix: '/review/',
			type: 'streaming',
			service: 'modell',
			max_attempts: 1,
			timeout_ms: DEADLINE_MS,
			slo_ms: 1_000,
			tpot_slo_ms: 500,
			priority: 1,
			public: false,
			resumable: false,
		},
	],
	services: [
		{
			name: 'modell',
			health_path: '/healthz',
			max_conns: 370,
			backend: { slots: 64, kv_capacity: 662_249, stride: 5 },
		},
	],
	limits: {
		max_header_bytes: 16_384,
		max_body_bytes: 4_194_304,
		header_timeout_ms: 3_000,
		idle_timeout_ms: 15_000,
		tokens_per_s: 340_000,
	},
	tenants: [{ name: 'hule930', api_keys: [KEY] }],
};

const requests = [];

/** Opens a channel, sends one request on it after a while, and reads the answer. */
function call(router) {
	const id = `${process.pid.toString(16)}${requests.length.toString(16).padStart(8, '0')}`;
	const entry = { id, router: router.name, openedAt: performance.now(), text: '' };
	requests.push(entry);
	return new Promise((resolve) => {
		const socket = net.connect({ host: router.host, port: router.port, allowHalfOpen: true });
		const end = () => {
			void sleep(CLOSE_MS).then(() => socket.destroy());
			resolve();
		};
		void sleep(IDLE_MS).then(() => {
			if (entry.text !== '' || socket.destroyed || socket.readableEnded) {
				end(); // The channel was closed while it was idle; a sound client doesn't use it.
				return;
			}
			entry.sentAt = performance.now();
			const body = `history of ${id}`;
			socket.write(
				`POST /review/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: ${id}\r\nX-Model: m\r\nX-Token-Usage: 1460,15\r\n` +
					`X-Prefix-Hash: 5c1e07a2:800,${id}:660\r\nX-Deadline-Ms: ${DEADLINE_MS}\r\nAuthorization: Bearer ${KEY}\r\n` +
					`Content-Length: ${body.length}\r\n\r\n${body}`,
			);
			void sleep(DEADLINE_MS).then(end);
		});
		socket.on('data', (bytes) => {
			entry.answeredAt ??= performance.now();
			entry.text += bytes.toString('latin1');
			entry.status = Number(/^HTTP\/1\.1 (\d+)/.exec(entry.text)?.[1]);
			const headEnd = entry.text.indexOf('\r\n\r\n');
			const length = Number(/^content-length: (\d+)/im.exec(entry.text)?.[1] ?? NaN);
			if (headEnd >= 0 && entry.text.length >= headEnd + 4 + length) {
				end();
			}
		});
		socket.on('error', () => undefined);
		socket.on('close', resolve);
	});
}

async function run() {
	const store = await new Store().listen(`${network}.250`);
	const servers = [];
	let fleet;
	try {
		fleet = await Fleet.create(ZONES, () => `${network}.250:${store.port}`);
		for (const [index, zone] of ['oslo-a', 'oslo-b', 'drammen', 'hamar'].entries()) {
			const server = new PlainServer(`i-7f3a91c${index}`, 'modell', zone, 300);
			server.slots = 64;
			await server.listen(`${network}.${150 + index}`);
			servers.push(server);
			store.put(`servers/${server.id}`, server.registration());
		}
		store.put('op/config', CONFIGURATION);
		fleet.startAll();
		let from = performance.now();
		if (!(await fleet.waitUntilReady())) {
			record('the fleet did not become ready');
			return 2;
		}
		record('ready');
		const [frozen] = fleet.routers;
		const pending = [];
		for (let freeze = 1; freeze <= FREEZES; freeze++) {
			await sleep(Math.max(0, from + BETWEEN_MS - 2_000 - performance.now()));
			const freezeAt = from + BETWEEN_MS;
			let isFrozen = false;
			// Clients come for two seconds before the freeze and for four after its beginning, to all machines in turn.
			for (let index = 0; performance.now() < freezeAt + FREEZE_MS; index++) {
				if (TROUBLE && !isFrozen && performance.now() >= freezeAt) {
					isFrozen = true;
					record(`${frozen.name} freezes for ${FREEZE_MS / 1_000} s`);
					frozen.child.kill('SIGSTOP');
				}
				pending.push(call(fleet.routers[index % fleet.routers.length]));
				await sleep(1_000 / CHANNELS_PER_SECOND);
			}
			if (isFrozen) {
				frozen.child.kill('SIGCONT');
				record(`${frozen.name} wakes`);
			}
			from = performance.now();
		}
		await sleep(2_000);
		await Promise.race([Promise.all(pending), sleep(DEADLINE_MS)]);
		return judge(servers);
	} finally {
		await fleet?.close();
		servers.forEach((server) => server.close());
		store.close();
	}
}

function judge(servers) {
	const runs = new Map(servers.flatMap(({ runs: all }) => all.map((entry) => [entry.id, entry])));
	let broken = 0;
	for (const { id, router, openedAt, sentAt, answeredAt, status } of requests) {
		const ran = runs.get(id);
		const isBroken =
			sentAt !== undefined && answeredAt > sentAt && [408, 421, 429, 503].includes(status) && ran !== undefined;
		broken += isBroken ? 1 : 0;
		if (status !== 200) {
			const sent = sentAt === undefined ? 'not sent' : `sent ${secondsOf(sentAt)}`;
			const answer = status === undefined ? 'no answer' : `answer ${status} at ${secondsOf(answeredAt)}`;
			const work = ran === undefined ? 'not run' : `run from ${secondsOf(ran.at)}`;
			lines.push(
				`${router} ${id}: channel opened ${secondsOf(openedAt)}, ${sent}, ${answer}, ${work}${isBroken ? ' REFUSED' : ''}`,
			);
		}
	}
	const answers = requests.filter(({ status }) => status === 200).length;
	lines.push(
		`${requests.length} requests, ${answers} answered with 200; answered with a promise that they have not run, and run: ${broken}`,
	);
	return answers === 0 ? 2 : broken > 0 ? 1 : 0;
}

const code = await run().catch((error) => {
	record(String(error.stack));
	return 2;
});
lines.push(`exit ${code}`);
writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
process.stdout.write(`${lines.at(-2)}\nexit ${code}\n`);
process.exit(code);
