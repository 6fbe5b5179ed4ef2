// Starts routers with the command of the deploy file, each with its own loopback address and a settings file like that of a
// small deployment, and ends them.
import { spawn } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import * as http from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { fileURLToPath, URL } from 'node:url';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const CALLERS_PORT = 18_783;
const READINESS_PORT = 18_780;
const PEERS_PORT = 18_785;
const MEMORY_CHECK_INTERVAL_MS = 20;

/** The words of the `run` line in deploy/system.toml. */
function runLine() {
	const line = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'));
	return line[1].split(' ');
}

/** Whether a process has ended, by itself or by a signal. */
export function hasEnded(child) {
	return child.exitCode !== null || child.signalCode !== null;
}

export class Routers {
	folder = mkdtempSync(join(tmpdir(), 'review-'));
	/** Every process that was started, the last one of each router included. */
	processes = [];
	routers = new Map();

	/**
	 * @param count number of routers
	 * @param addressOf loopback address of a router, from its number
	 * @param storeOf address of the store for a router, from its number
	 * @param settings fields that differ from the defaults
	 */
	constructor({ count, addressOf, storeOf, settings = {} }) {
		this.count = count;
		this.addressOf = addressOf;
		this.storeOf = storeOf;
		this.settings = settings;
	}

	start(index) {
		const host = this.addressOf(index);
		const zones = ['mid-a', 'mid-b', 'mid-c', 'mid-d'];
		const fields = {
			node_name: `edge-${index}`,
			role: 'router',
			machine_class: 'edge',
			serves: 'edge,control',
			ip: host,
			zone: zones[index % zones.length],
			region: 'midlands',
			'listen.frontend': `${host}:${CALLERS_PORT}`,
			'listen.readiness': `${host}:${READINESS_PORT}`,
			'listen.control_plane': `${host}:${PEERS_PORT}`,
			port_range: '17400,17415',
			seeds: [1, 2, 3]
				.filter((seed) => seed <= this.count)
				.map((seed) => `${this.addressOf(seed)}:${PEERS_PORT}`)
				.join(','),
			bootstrap: 'true',
			'limits.cpu_quota': '0.675',
			'limits.cores': '1',
			'limits.memory_mb': '350',
			'limits.max_fds': '4100',
			'limits.link_mbps': '1000.0',
			'limits.disk_mb': '0',
			heartbeat_ms: '1200',
			'bounds.contact_ms': '3000',
			'bounds.drain_ms': '2000',
			'bounds.grace_s': '8',
			'bounds.config_apply_ms': '2000',
			'bounds.retry_ratio': '0.2',
			'bounds.retry_window_s': '10',
			'bounds.retry_slack': '52',
			'platform.address': this.storeOf(index),
			'platform.form': 'kv',
			'platform.writes_per_s': '400',
			'platform.reads_per_s': '2000',
			...this.settings,
		};
		const path = join(this.folder, `edge-${index}.conf`);
		writeFileSync(
			path,
			Object.entries(fields)
				.map(([name, value]) => `${name}=${value}\n`)
				.join(''),
		);
		const [program, ...words] = runLine();
		const { PATH, HOME, LANG } = process.env;
		const log = openSync(join(this.folder, `edge-${index}.log`), 'a');
		const child = spawn(program, words, {
			cwd: ROOT,
			env: { PATH, HOME, LANG, MASTICLOOM_SETTINGS: path },
			stdio: ['ignore', log, log],
		});
		closeSync(log);
		const router = { index, host, port: CALLERS_PORT, child, startedAt: Date.now() };
		child.once('exit', (code, signal) => Object.assign(router, { code, signal, endedAt: Date.now() }));
		this.processes.push(router);
		this.routers.set(index, router);
		return router;
	}

	/** Starts all routers and waits until each is ready and knows the others. */
	async startAll() {
		for (let index = 1; index <= this.count; index++) {
			this.start(index);
		}
		await this.waitReady([...this.routers.keys()]);
	}

	async waitReady(indexes, limitMs = 15_000) {
		const end = Date.now() + limitMs;
		for (const index of indexes) {
			for (;;) {
				const isReady = (await this.get(index, '/readyz')).status === 200;
				const peers = Number(
					/^masticloom_router_peers (.+)$/m.exec((await this.get(index, '/metrics')).text)?.[1] ?? NaN,
				);
				if (isReady && peers === this.count - 1) {
					break;
				}
				if (Date.now() > end) {
					throw new Error(`router ${index} is not ready: ${isReady}, ${peers} peers`);
				}
				await sleep(50);
			}
		}
	}

	get(index, path) {
		return new Promise((resolve) => {
			const { host } = this.routers.get(index);
			const request = http.get({ host, path, port: READINESS_PORT, agent: false, timeout: 2_000 }, (response) => {
				let text = '';
				response.on('data', (chunk) => (text += chunk));
				response.on('error', () => resolve({ status: 0, text: '' }));
				response.on('end', () => resolve({ status: response.statusCode, text }));
			});
			request.on('timeout', () => request.destroy());
			request.on('error', () => resolve({ status: 0, text: '' }));
		});
	}

	/** Memory of a router in megabytes without the pages of files, such as its program; 0 once it has ended. */
	residentMb(index) {
		try {
			const status = readFileSync(`/proc/${this.routers.get(index).child.pid}/status`, 'utf8');
			return Math.round(Number(/RssAnon:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024);
		} catch {
			return 0;
		}
	}

	/**
	 * Kills a router when it exceeds its memory, as the platform does.
	 *
	 * @param limitMb value of `limits.memory_mb`
	 * @returns the most memory that was seen, and whether the router was killed
	 */
	limitMemory(index, limitMb) {
		const seen = { mostMb: 0, isKilled: false };
		const { child } = this.routers.get(index);
		const timer = setInterval(() => {
			seen.mostMb = Math.max(seen.mostMb, hasEnded(child) ? 0 : this.residentMb(index));
			if (seen.mostMb > limitMb && !seen.isKilled) {
				seen.isKilled = true;
				child.kill('SIGKILL');
			}
		}, MEMORY_CHECK_INTERVAL_MS);
		child.once('exit', () => clearInterval(timer));
		return seen;
	}

	log(index) {
		return readFileSync(join(this.folder, `edge-${index}.log`), 'utf8');
	}

	/** Kills what still runs and removes the folder. */
	async end() {
		const running = this.processes.filter(({ child }) => !hasEnded(child));
		await Promise.all(
			running.map(({ child }) => {
				const ended = new Promise((resolve) => child.once('exit', resolve));
				child.kill('SIGCONT');
				child.kill('SIGKILL');
				return ended;
			}),
		);
		rmSync(this.folder, { recursive: true, force: true });
	}
}
