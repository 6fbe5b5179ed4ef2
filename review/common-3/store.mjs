// Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"): keys with one revision counter, pages,
// watches, conditional writes and leases.
import { Buffer } from 'node:buffer';
import * as http from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const PAGE_ENTRIES = 500;

export class Store {
	items = new Map();
	events = [];
	revision = 1;
	leases = new Map();
	nextLease = 100;
	waiting = new Set();
	/** Called with the method and path of each call. */
	onCall = () => undefined;

	/** @param host loopback address */
	async listen(host) {
		this.server = http.createServer((request, response) => {
			const chunks = [];
			request.on('error', () => undefined);
			request.on('data', (chunk) => chunks.push(chunk));
			request.on('end', () => this.receive(request, Buffer.concat(chunks).toString(), response));
		});
		await new Promise((resolve) => this.server.listen(0, host, resolve));
		return `${host}:${this.server.address().port}`;
	}

	close() {
		this.server.close();
		this.server.closeAllConnections();
	}

	/** Writes a key as the operator or a server does; undefined removes it. Returns the revision. */
	put(key, value) {
		this.apply([[key, value === undefined ? undefined : Buffer.from(JSON.stringify(value)).toString('base64'), 0]]);
		return this.revision;
	}

	apply(changes) {
		this.revision++;
		for (const [key, value, lease] of changes) {
			const before = this.items.get(key);
			if (value === undefined) {
				if (before === undefined) {
					continue;
				}
				this.items.delete(key);
				this.events.push({ key, revision: this.revision, deleted: true });
			} else {
				const item = { key, value, revision: this.revision, created: before?.created ?? this.revision, lease };
				this.items.set(key, item);
				this.events.push(item);
			}
		}
		for (const watch of [...this.waiting]) {
			watch();
		}
	}

	receive(request, body, response) {
		const url = new URL(request.url, 'http://store');
		const [, call, id] = url.pathname.split('/');
		this.onCall(request.method, url.pathname);
		const send = (status, content) => {
			if (!response.destroyed) {
				response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(content));
			}
		};
		switch (`${request.method} ${call}`) {
			case 'GET kv-key': {
				const item = this.items.get(url.searchParams.get('key'));
				send(item ? 200 : 404, item ? { ...item, as_of: this.revision } : {});
				break;
			}
			case 'GET kv-range': {
				const prefix = url.searchParams.get('prefix') ?? '';
				const after = url.searchParams.get('after') ?? '';
				const found = [...this.items.values()]
					.filter(({ key }) => key.startsWith(prefix) && key > after)
					.sort((one, other) => (one.key < other.key ? -1 : 1));
				const more = found.length > PAGE_ENTRIES;
				send(200, { entries: found.slice(0, PAGE_ENTRIES), more_pages: more, as_of: this.revision });
				break;
			}
			case 'GET kv-watch':
				this.watch(url.searchParams, response, send);
				break;
			case 'POST kv-txn':
				this.transact(JSON.parse(body), send);
				break;
			case 'POST kv-lease': {
				const lease = this.nextLease++;
				const ttl = JSON.parse(body).ttl_ms;
				this.leases.set(lease, { ttl, timer: this.expireLater(lease, ttl) });
				send(200, { lease, ttl_ms: ttl });
				break;
			}
			case 'POST kv-keep': {
				const lease = this.leases.get(Number(id));
				if (lease === undefined) {
					send(404, {});
					break;
				}
				clearTimeout(lease.timer);
				lease.timer = this.expireLater(Number(id), lease.ttl);
				send(200, { ttl_ms: lease.ttl });
				break;
			}
			case 'DELETE kv-lease-end':
				send(this.leases.has(Number(id)) ? 200 : 404, {});
				this.expire(Number(id));
				break;
			default:
				send(404, {});
		}
	}

	expireLater(lease, ttl) {
		return setTimeout(() => this.expire(lease), ttl).unref();
	}

	expire(lease) {
		this.leases.delete(lease);
		const keys = [...this.items.values()].filter((item) => item.lease === lease).map(({ key }) => key);
		if (keys.length > 0) {
			this.apply(keys.map((key) => [key, undefined, 0]));
		}
	}

	watch(query, response, send) {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		const found = () => this.events.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
		const finish = () => {
			clearTimeout(timer);
			this.waiting.delete(check);
			send(200, { events: found(), as_of: this.revision });
		};
		const check = () => {
			if (found().length > 0) {
				finish();
			}
		};
		const timer = setTimeout(finish, Number(query.get('wait_ms') ?? 0));
		this.waiting.add(check);
		response.once('close', () => {
			clearTimeout(timer);
			this.waiting.delete(check);
		});
		check();
	}

	transact({ expect = [], puts = [], delete: removed = [] }, send) {
		if ([...puts.map(({ key }) => key), ...removed].some((key) => /^(op|servers)\//.test(key))) {
			send(403, {});
			return;
		}
		if (puts.some(({ lease }) => lease && !this.leases.has(lease))) {
			send(404, {});
			return;
		}
		if (expect.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
			send(412, { entries: expect.flatMap(({ key }) => this.items.get(key) ?? []) });
			return;
		}
		this.apply([
			...puts.map(({ key, value, lease }) => [key, value, lease ?? 0]),
			...removed.map((key) => [key, undefined, 0]),
		]);
		send(200, { revision: this.revision });
	}
}
