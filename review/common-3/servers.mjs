// Stand-in of the servers (PROTOCOL.md, "Engines"): plain services and model engines that stream, each registered in the store
// by a heartbeat. What each request did is recorded in `runs`.
import { Buffer } from 'node:buffer';
import { createHash } from 'node:crypto';
import * as http from 'node:http';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';

export const ENGINE_SERVICE = 'loom-scribes';
export const PLAIN_SERVICE = 'orderdesk';
export const HOST = 'almanac.example';
export const KEY = 'asnmgkcuyj8pjbvk9m68';
export const OTHER_KEY = 'k7b2ex5wa5xwyhks8nbk';

const HEARTBEAT_MS = 1_200;

export function signatureOf(id, path) {
	return createHash('sha256').update(`${id} ${path}`).digest('hex').slice(0, 16);
}

/** The operator's configuration of a small deployment. */
export function configuration({ version = 7, limits = {}, routes = [], tenants } = {}) {
	const streaming = {
		host: HOST,
		type: 'streaming',
		service: ENGINE_SERVICE,
		priority: 1,
		public: false,
		sticky: true,
	};
	const plain = { host: HOST, service: PLAIN_SERVICE, priority: 2, public: false, resumable: false };
	return {
		version,
		routes: [
			{
				...streaming,
				name: 'draft',
				prefix: '/draft/',
				timeout_ms: 15_000,
				slo_ms: 800,
				max_attempts: 1,
				resumable: false,
				tpot_slo_ms: 500,
			},
			{
				...streaming,
				name: 'note',
				prefix: '/note/',
				timeout_ms: 15_000,
				slo_ms: 500,
				max_attempts: 2,
				resumable: true,
				tpot_slo_ms: 500,
			},
			{ ...plain, name: 'order', prefix: '/order/', type: 'unsafe', timeout_ms: 5_000, slo_ms: 121, max_attempts: 1 },
			{ ...plain, name: 'lookup', prefix: '/lookup/', type: 'safe', timeout_ms: 5_000, slo_ms: 121, max_attempts: 2 },
			...routes,
		],
		services: [
			{
				name: ENGINE_SERVICE,
				health_path: '/healthz',
				max_conns: 360,
				protocol: 'h1',
				tls: false,
				backend: { slots: 64, kv_capacity: 707_682, kv_bytes: 163_840, stride: 5, models: [{ name: 'm' }] },
			},
			{ name: PLAIN_SERVICE, health_path: '/healthz', max_conns: 96, protocol: 'h1', tls: false },
		],
		limits: {
			max_header_bytes: 16_384,
			max_body_bytes: 4_194_304,
			header_timeout_ms: 3_000,
			idle_timeout_ms: 15_000,
			tokens_per_s: 244_999,
			...limits,
		},
		tenants: tenants ?? [
			{ name: 'hule930', api_keys: [KEY], priority: 1 },
			{ name: 'wuno96b', api_keys: [OTHER_KEY], priority: 1 },
		],
	};
}

export class Server {
	runs = [];
	arrivals = [];
	state = 'ready';
	seq = 0;
	born = Date.now();
	/** Decides what becomes of a request; a script replaces it. Returns true if it has answered. */
	intercept = () => false;

	constructor({
		id,
		service,
		zone,
		store,
		host,
		slots = service === ENGINE_SERVICE ? 64 : 6,
		workMs = 20,
		stepMs = 20,
	}) {
		Object.assign(this, { id, service, zone, store, host, slots, workMs, stepMs });
	}

	async listen(port = 0) {
		this.server = http.createServer((request, response) => this.receive(request, response));
		this.server.keepAliveTimeout = 15_000;
		// No limit on the number of header fields, so that the server sees all that a router sends.
		this.server.maxHeadersCount = 0;
		await new Promise((resolve) => this.server.listen(port, this.host, resolve));
		this.address = `${this.host}:${this.server.address().port}`;
		this.startHeartbeat();
	}

	startHeartbeat() {
		this.register();
		this.timer = setInterval(() => this.register(), HEARTBEAT_MS);
	}

	stopHeartbeat() {
		clearInterval(this.timer);
	}

	register() {
		this.seq++;
		this.store.put(`servers/${this.id}`, {
			service: this.service,
			address: this.address,
			zone: this.zone,
			version: 'v1',
			slots: this.slots,
			state: this.state,
			cold_left_ms: 0,
			seq: this.seq,
			born: this.born,
		});
	}

	/** Ends like a process that crashes, and starts again under the same id. */
	async crash(downMs) {
		this.stopHeartbeat();
		const port = this.server.address().port;
		this.server.close();
		this.server.closeAllConnections();
		await sleep(downMs);
		this.born = Date.now();
		this.seq = 0;
		await this.listen(port);
	}

	close() {
		this.stopHeartbeat();
		this.server.close();
		this.server.closeAllConnections();
	}

	receive(request, response) {
		const at = Date.now();
		request.on('error', () => undefined);
		response.on('error', () => undefined);
		if (request.url === '/healthz') {
			response.writeHead(200, { 'x-instance-id': this.id, 'content-length': 0 }).end();
			return;
		}
		const id = request.headers['x-request-id'];
		if ((request.headers['x-target-instance'] ?? this.id) !== this.id) {
			response.writeHead(421, { 'x-request-id': id ?? '', 'content-length': 0 }).end();
			return;
		}
		if (id === undefined) {
			response.writeHead(400, { 'x-not-executed': '1', 'content-length': 0 }).end();
			return;
		}
		this.arrivals.push({ id, at, path: request.url });
		if (this.intercept(request, response)) {
			return;
		}
		this.run(request, response, at);
	}

	run(request, response, at) {
		const id = request.headers['x-request-id'];
		const run = { id, at, server: this.id, path: request.url, headers: request.headers, end: 'running', events: 0 };
		this.runs.push(run);
		response.once('close', () => {
			run.end = response.writableFinished ? 'whole' : 'cut';
			run.endedAt = Date.now();
		});
		const headers = { 'x-request-id': id, 'x-signature': signatureOf(id, request.url) };
		const chunks = [];
		request.on('data', (chunk) => chunks.push(chunk));
		request.on('end', () => (run.body = Buffer.concat(chunks).toString('latin1')));
		if (this.service === PLAIN_SERVICE) {
			const body = `answer to ${id}`;
			setTimeout(() => response.writeHead(200, { ...headers, 'content-length': body.length }).end(body), this.workMs);
			return;
		}
		const [, output = 20] = (request.headers['x-token-usage'] ?? '0,20').split(',').map(Number);
		const last = Math.max(1, Math.ceil(output / 5));
		let event = Number(request.headers['last-event-id'] ?? 0) + 1;
		const emit = () => {
			if (response.destroyed) {
				return;
			}
			if (!response.headersSent) {
				response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
			}
			response.write(`id: ${event}\ndata: ${event} of ${last}\n\n`);
			run.events++;
			if (event++ >= last) {
				response.end();
			} else {
				setTimeout(emit, this.stepMs);
			}
		};
		setTimeout(emit, this.workMs);
	}
}
