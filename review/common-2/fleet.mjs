// Starts the project's routers as separate processes with the command of the deploy file.
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { setTimeout } from 'node:timers';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');

export const sleep = (milliseconds) => new Promise((done) => setTimeout(done, milliseconds));

/** A loopback network of this run: 127.X.Y.0. */
export const network = `127.${20 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 250)}`;

function isFree(host, port) {
	return new Promise((done) => {
		const server = net.createServer();
		server.once('error', () => done(false));
		server.listen(port, host, () => server.close(() => done(true)));
	});
}

async function freePorts(hosts, count) {
	const ports = [];
	for (let port = 20_000 + (process.pid % 5_000); ports.length < count; port++) {
		const free = await Promise.all(hosts.map((host) => isFree(host, port)));
		if (free.every(Boolean)) {
			ports.push(port);
		}
	}
	return ports;
}

/** Command of the deploy file, as a list of words. */
function command() {
	const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
	return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

export class Fleet {
	routers = [];

	/** @param zones zone of each router */
	static async create(zones, storeAddressOf, extraSettings = {}) {
		const fleet = new Fleet();
		fleet.folder = mkdtempSync(join(tmpdir(), 'review-'));
		const hosts = zones.map((_, index) => `${network}.${index + 1}`);
		const [frontend, readiness, control, first] = await freePorts(hosts, 4);
		Object.assign(fleet, { frontend, readiness });
		zones.forEach((zone, index) => {
			const host = hosts[index];
			const name = `edge-${zone}-${index + 1}`;
			const seeds = hosts.slice(0, 3).map((seed) => `${seed}:${control}`);
			const settings = {
				node_name: name,
				role: 'router',
				machine_class: 'edge',
				serves: 'edge,control',
				ip: host,
				zone,
				region: 'norge-ost',
				'listen.frontend': `${host}:${frontend}`,
				'listen.readiness': `${host}:${readiness}`,
				'listen.control_plane': `${host}:${control}`,
				port_range: `${first},${first + 15}`,
				seeds: seeds.join(','),
				bootstrap: 'true',
				'limits.cpu_quota': '0.675',
				'limits.cores': '1',
				'limits.memory_mb': '350',
				'limits.max_fds': '4100',
				'limits.link_mbps': '1000.0',
				discovery: 'platform',
				entry: 'vip',
				heartbeat_ms: '1200',
				'bounds.contact_ms': '3000',
				'bounds.drain_ms': '2000',
				'bounds.grace_s': '8',
				'bounds.loss_slack_ms': '200',
				'bounds.config_apply_ms': '2000',
				'bounds.retry_ratio': '0.2',
				'bounds.retry_window_s': '10',
				'bounds.retry_slack': '56',
				'platform.address': storeAddressOf(host),
				'platform.form': 'kv',
				'platform.writes_per_s': '400',
				'platform.reads_per_s': '2000',
				'platform.history_s': '20',
				'platform.value_bytes': '1048576',
				'platform.ttl_min_ms': '1000',
				...extraSettings,
			};
			const path = join(fleet.folder, `${name}.conf`);
			writeFileSync(
				path,
				Object.entries(settings)
					.map(([key, value]) => `${key}=${value}\n`)
					.join(''),
			);
			fleet.routers.push({ name, host, zone, path, port: frontend });
		});
		return fleet;
	}

	start(router) {
		const [program, ...words] = command();
		const log = createWriteStream(join(this.folder, `${router.name}.log`), { flags: 'a' });
		const child = spawn(program === 'node' ? process.execPath : program, words, {
			cwd: ROOT,
			env: { PATH: process.env.PATH, MALLOC_ARENA_MAX: '1', MASTICLOOM_SETTINGS: router.path },
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		child.stdout.pipe(log, { end: false });
		child.stderr.pipe(log, { end: false });
		router.child = child;
		router.exit = new Promise((done) => child.once('exit', (code, signal) => done({ code, signal })));
		return router;
	}

	startAll() {
		this.routers.forEach((router) => this.start(router));
	}

	async isReady(router) {
		return (await getStatus(router.host, this.readiness, '/readyz')) === 200;
	}

	/** Waits until all routers are ready; returns false after the limit. */
	async waitUntilReady(limitMs = 15_000) {
		const end = performance.now() + limitMs;
		while (performance.now() < end) {
			const ready = await Promise.all(this.routers.map((router) => this.isReady(router)));
			if (ready.every(Boolean)) {
				return true;
			}
			await sleep(100);
		}
		return false;
	}

	async close() {
		for (const { child } of this.routers) {
			if (child !== undefined && child.exitCode === null) {
				child.kill('SIGCONT');
				child.kill('SIGKILL');
			}
		}
		await Promise.all(this.routers.map(({ exit }) => exit));
		if (process.env.KEEP_LOGS === undefined) {
			rmSync(this.folder, { recursive: true, force: true });
		} else {
			process.stderr.write(`logs: ${this.folder}\n`);
		}
	}
}

function getStatus(host, port, path) {
	return new Promise((done) => {
		const request = http.get({ host, port, path, agent: false, timeout: 1_000 }, (response) => {
			response.resume();
			response.once('end', () => done(response.statusCode));
			response.once('error', () => done(0));
		});
		request.once('timeout', () => request.destroy());
		request.once('error', () => done(0));
	});
}
