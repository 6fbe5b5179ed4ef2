// Starts router processes with the command and the kind of settings of a small deployment, and records what is seen.
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, get, request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Store } from './store.mjs';

export const ROOT = dirname(dirname(dirname(fileURLToPath(import.meta.url))));
export const HAS_TROUBLE = process.env.TROUBLE !== '0';
export const HOST_NAME = 'desk.example';
export const KEY = 'key-of-archive';

const HELD = 0;
const BROKEN = 1;
const CANNOT_RUN = 2;
const LIMIT_MS = 110_000;
const RESTART_DELAY_MS = 500;

// An own loopback network for each run: the metrics port of the program is fixed.
const network = `127.${10 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
export const ENGINE_HOST = `${network}.200`;

async function freePort(host) {
	const server = createServer();
	await new Promise((resolve) => server.listen(0, host, resolve));
	const { port } = server.address();
	await new Promise((resolve) => server.close(resolve));
	return port;
}

export class Fleet {
	routers = [];
	engines = [];
	isClosing = false;
	startedAt = performance.now();

	constructor(folder) {
		this.recordPath = process.env.RECORD ?? join(folder, 'record.txt');
		this.directory = mkdtempSync(join(tmpdir(), 'review-'));
		writeFileSync(this.recordPath, '');
		const commandLine = /^run = "(.+)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))?.[1];
		[this.command, ...this.arguments] = commandLine.split(' ');
	}

	record = (event, fields = {}) => {
		const atMs = Math.round(performance.now() - this.startedAt);
		appendFileSync(this.recordPath, `${JSON.stringify({ atMs, event, ...fields })}\n`);
	};

	async start(routerCount, routes, services, settings = {}) {
		this.store = new Store();
		await this.store.listen(`${network}.250`);
		this.ports = { frontend: await freePort(`${network}.1`), readiness: await freePort(`${network}.1`) };
		this.ports.control = await freePort(`${network}.1`);
		this.ports.peers = 20_000 + Math.floor(Math.random() * 10_000);
		this.settings = settings;
		this.configuration = {
			version: 10,
			routes: routes.map((route) => ({ host: HOST_NAME, priority: 1, ...route })),
			services,
			tenants: [{ name: 'archive', api_keys: [KEY], priority: 1 }],
			limits: {
				max_header_bytes: 32_768,
				max_body_bytes: 4_194_304,
				header_timeout_ms: 10_000,
				idle_timeout_ms: 30_000,
				tokens_per_s: 350_000,
			},
		};
		this.store.put('op/config', this.configuration);
		for (let index = 1; index <= routerCount; index++) {
			this.startRouter(index, routerCount);
		}
	}

	/** Registers an engine as it would itself, and goes on like its heartbeat. */
	register(engine, service, fields = {}) {
		const entry = { service, address: engine.address, zone: 'mid-a', version: '1', slots: 6, state: 'ready' };
		Object.assign(entry, { cold_left_ms: 0, seq: 1, born: Date.now() }, fields);
		this.store.put(`servers/${engine.id}`, entry);
		this.engines.push(engine);
		return entry;
	}

	startRouter(index, routerCount) {
		const host = `${network}.${index}`;
		const { frontend, readiness, control, peers } = this.ports;
		const seeds = Array.from({ length: Math.min(3, routerCount) }, (_, at) => `${network}.${at + 1}:${control}`);
		const values = {
			node_name: `edge-mid-a-${index}`,
			role: 'router',
			machine_class: 'edge',
			serves: 'edge,control',
			ip: host,
			zone: 'mid-a',
			region: 'midlands',
			'zones.mid-a': 'midlands',
			'listen.frontend': `${host}:${frontend}`,
			'listen.readiness': `${host}:${readiness}`,
			'listen.control_plane': `${host}:${control}`,
			port_range: `${peers},${peers + 15}`,
			seeds: seeds.join(','),
			bootstrap: 'true',
			'limits.memory_mb': '350',
			'limits.max_fds': '4100',
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
			'bounds.retry_slack': '52',
			'platform.address': this.store.address,
			'platform.form': 'kv',
			'platform.writes_per_s': '400',
			'platform.reads_per_s': '2000',
			...this.settings,
		};
		const path = join(this.directory, `${values.node_name}.conf`);
		writeFileSync(
			path,
			Object.entries(values)
				.map(([name, value]) => `${name}=${value}\n`)
				.join(''),
		);
		const child = spawn(this.command, this.arguments, {
			cwd: ROOT,
			env: { PATH: process.env.PATH, HOME: this.directory, MASTICLOOM_SETTINGS: path },
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		const router = { index, name: values.node_name, host, port: frontend, readiness, child, ended: false };
		this.routers[index - 1] = router;
		let log = '';
		const keep = (chunk) => {
			log += chunk;
			for (const line of log.split('\n').slice(0, -1)) {
				if (/"(crashed|stopping|stopped|request-failed-unexpectedly)"|masticloom:|Error/.test(line)) {
					this.record('router-log', { router: router.name, line: line.replaceAll(ROOT, '.').slice(0, 600) });
				}
			}
			log = log.slice(log.lastIndexOf('\n') + 1);
		};
		child.stdout.on('data', keep);
		child.stderr.on('data', keep);
		child.once('exit', (code, signal) => {
			router.ended = true;
			this.record('router-ended', { router: router.name, code, signal });
			if (!this.isClosing) {
				// The platform starts a process again that has ended.
				setTimeout(() => {
					if (!this.isClosing) {
						this.startRouter(index, routerCount);
					}
				}, RESTART_DELAY_MS);
			}
		});
		return router;
	}

	async isReady({ host, readiness, ended }) {
		if (ended) {
			return false;
		}
		return new Promise((resolve) => {
			const request = get({ host, port: readiness, path: '/readyz', agent: false, timeout: 500 }, (response) => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			request.on('timeout', () => request.destroy());
			request.on('error', () => resolve(false));
		});
	}

	async waitUntilReady() {
		for (let tries = 0; tries < 150; tries++) {
			const states = await Promise.all(this.routers.map((router) => this.isReady(router)));
			if (states.every(Boolean)) {
				await sleep(3_000); // The routers find each other.
				return;
			}
			await sleep(100);
		}
		throw new Error('the routers were not ready in time');
	}

	async close() {
		this.isClosing = true;
		const ends = this.routers
			.filter(({ ended }) => !ended)
			.map(
				({ child }) =>
					new Promise((resolve) => {
						child.once('exit', resolve);
						child.kill('SIGCONT');
						child.kill('SIGKILL');
					}),
			);
		await Promise.all(ends);
		this.engines.forEach((engine) => engine.close());
		this.store?.close();
		rmSync(this.directory, { recursive: true, force: true });
	}
}

let sentCount = 0;

/** Sends one request on a kept channel and resolves with what the client has seen; it never rejects. */
export function call(fleet, router, options) {
	const { path, method = 'POST', body = '', deadlineMs = 5_000, agent, headers = {} } = options;
	const id = options.id ?? `r${process.pid.toString(36)}x${++sentCount}`;
	fleet.record('sent', { id, router: router.name, path });
	const sentAt = performance.now();
	return new Promise((resolve) => {
		const result = { id, router: router.name, isReused: false, status: 0, headers: {}, text: '', whole: false };
		const finish = (end) => {
			if (result.end === undefined) {
				result.end = end;
				result.totalMs = Math.round(performance.now() - sentAt);
				const { status, whole, totalMs, text } = result;
				fleet.record('answered', { id, status, whole, end, totalMs, bytes: text.length });
				resolve(result);
			}
		};
		const request = httpRequest(
			{
				host: router.host,
				port: router.port,
				path,
				method,
				agent: agent ?? new Agent(),
				headers: {
					Host: HOST_NAME,
					'X-Request-Id': id,
					'X-Deadline-Ms': deadlineMs,
					Authorization: `Bearer ${KEY}`,
					'Content-Length': body.length,
					...headers,
				},
			},
			(response) => {
				result.status = response.statusCode;
				result.headers = response.headers;
				options.onResponse?.(response);
				response.on('data', (chunk) => (result.text += chunk.toString('latin1')));
				response.on('end', () => {
					result.whole = response.complete;
					finish(response.complete ? 'complete' : 'cut');
				});
				response.on('error', (error) => finish(`cut: ${error.message}`));
				response.on('close', () => finish('cut'));
			},
		);
		request.on('error', (error) => finish(`channel closed: ${error.message}`));
		request.on('socket', () => (result.isReused = request.reusedSocket));
		request.end(body);
	});
}

/** Runs a case within its time limit, ends all processes and exits with the code that the issue asks for. */
export async function runCase(folder, play) {
	const fleet = new Fleet(folder);
	const limit = new Promise((_, reject) => {
		setTimeout(() => reject(new Error('the case took too long')), LIMIT_MS).unref();
	});
	let code = CANNOT_RUN;
	try {
		const verdict = await Promise.race([play(fleet), limit]);
		fleet.record('verdict', { trouble: HAS_TROUBLE, ...verdict });
		process.stdout.write(`${JSON.stringify(verdict)}\n`);
		code = verdict.broken ? BROKEN : HELD;
	} catch (error) {
		fleet.record('cannot-run', { reason: String(error.message) });
		process.stderr.write(`the case cannot run: ${String(error.stack)}\n`);
	}
	await fleet.close();
	process.exit(code);
}
