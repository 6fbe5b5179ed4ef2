// Stand-in of the platform's metadata store, as the page PROTOCOL describes it. It keeps the whole history.
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import { URL } from 'node:url';
import { clearTimeout, setTimeout } from 'node:timers';

export class Store {
	revision = 1;
	items = new Map();
	history = [];
	leases = new Map();
	leaseNumber = 0;
	watches = new Set();
	/** Watch calls in progress by the router's address and prefix: when the last one began. */
	calls = [];

	async listen(host) {
		this.server = http.createServer((request, response) => void this.receive(request, response));
		this.server.keepAliveTimeout = 600_000;
		this.server.requestTimeout = 0;
		await new Promise((resolve) => this.server.listen(0, host, resolve));
		this.port = this.server.address().port;
		return this;
	}

	/** Writes as the operator or a server does. Returns the revision. */
	put(key, value) {
		return this.change(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
	}

	change(key, value, lease) {
		this.revision++;
		this.apply(key, value, lease);
		return this.revision;
	}

	apply(key, value, lease) {
		const before = this.items.get(key);
		let event = { key, revision: this.revision, deleted: true };
		if (value === undefined) {
			this.items.delete(key);
		} else {
			event = { key, value, revision: this.revision, created: before?.created ?? this.revision, lease };
			this.items.set(key, event);
		}
		this.history.push(event);
		for (const watch of [...this.watches]) {
			if (key.startsWith(watch.prefix)) {
				watch.finish([event]);
			}
		}
	}

	endLease(id) {
		this.leases.delete(id);
		for (const item of [...this.items.values()].filter(({ lease }) => lease === id)) {
			this.change(item.key, undefined, 0);
		}
	}

	extendLease(id, ttl) {
		clearTimeout(this.leases.get(id)?.timer);
		this.leases.set(id, { ttl, timer: setTimeout(() => this.endLease(id), ttl).unref() });
	}

	async receive(request, response) {
		const chunks = [];
		for await (const chunk of request) {
			chunks.push(chunk);
		}
		const text = Buffer.concat(chunks).toString();
		const body = text === '' ? {} : JSON.parse(text);
		const { pathname, searchParams: query } = new URL(request.url, 'http://store');
		const send = (status, content) => {
			const bytes = Buffer.from(JSON.stringify(content));
			// Without a Date or Keep-Alive header; HTTP/1.1 channels stay open without one.
			response.sendDate = false;
			response.shouldKeepAlive = true;
			response.writeHead(status, {
				'content-type': 'application/json',
				'content-length': bytes.length,
				connection: 'keep-alive',
			});
			response.end(bytes);
		};
		const [, call, id] = pathname.split('/');
		switch (`${request.method} ${call}`) {
			case 'GET kv-key': {
				const item = this.items.get(query.get('key'));
				return item === undefined ? send(404, {}) : send(200, { ...item, as_of: this.revision });
			}
			case 'GET kv-range': {
				const after = query.get('after') ?? '';
				const found = [...this.items.values()]
					.filter(({ key }) => key.startsWith(query.get('prefix')) && key > after)
					.sort((one, other) => (one.key < other.key ? -1 : 1));
				return send(200, { entries: found.slice(0, 500), more_pages: found.length > 500, as_of: this.revision });
			}
			case 'GET kv-watch':
				return this.watch(request, response, query, send);
			case 'POST kv-txn':
				return this.transact(body, send);
			case 'POST kv-lease': {
				const lease = ++this.leaseNumber;
				this.extendLease(lease, body.ttl_ms);
				return send(200, { lease, ttl_ms: body.ttl_ms });
			}
			case 'POST kv-keep': {
				const lease = this.leases.get(Number(id));
				if (lease === undefined) {
					return send(404, {});
				}
				this.extendLease(Number(id), lease.ttl);
				return send(200, { ttl_ms: lease.ttl });
			}
			case 'DELETE kv-lease-end':
				this.endLease(Number(id));
				return send(200, {});
			default:
				return send(404, {});
		}
	}

	watch(request, response, query, send) {
		const prefix = query.get('prefix');
		const after = Number(query.get('after'));
		this.calls.push({
			at: performance.now(),
			prefix,
			from: request.socket.remoteAddress,
			port: request.socket.remotePort,
		});
		const events = this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
		if (events.length > 0) {
			send(200, { events, as_of: this.revision });
			return;
		}
		const watch = {
			prefix,
			finish: (found) => {
				this.watches.delete(watch);
				clearTimeout(timer);
				send(200, { events: found, as_of: this.revision });
			},
		};
		const timer = setTimeout(() => watch.finish([]), Math.min(30_000, Number(query.get('wait_ms'))));
		this.watches.add(watch);
		response.once('close', () => {
			this.watches.delete(watch);
			clearTimeout(timer);
		});
	}

	transact({ expect = [], puts = [], delete: removed = [] }, send) {
		const keys = [...puts.map(({ key }) => key), ...removed];
		if (keys.some((key) => key.startsWith('op/') || key.startsWith('servers/'))) {
			return send(403, {});
		}
		if (puts.some(({ lease }) => lease !== 0 && lease !== undefined && !this.leases.has(lease))) {
			return send(404, {});
		}
		if (expect.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
			return send(412, { entries: expect.flatMap(({ key }) => this.items.get(key) ?? []) });
		}
		this.revision++;
		puts.forEach(({ key, value, lease }) => this.apply(key, value, lease ?? 0));
		removed.forEach((key) => this.apply(key, undefined, 0));
		return send(200, { revision: this.revision });
	}

	close() {
		this.server.close();
		this.server.closeAllConnections();
	}
}
