// Stand-in of the platform's metadata store, after PROTOCOL.md, "The platform's metadata store". It is always sound.
import { createServer } from 'node:http';
import { Buffer } from 'node:buffer';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const PAGE = 500;

export class Store {
	items = new Map();
	history = [];
	leases = new Map();
	waiting = new Set();
	revision = 1;
	nextLease = 1;

	async listen(host) {
		this.server = createServer((request, response) => {
			const chunks = [];
			request.on('data', (chunk) => chunks.push(chunk));
			request.on('end', () => this.receive(request, Buffer.concat(chunks).toString('utf8'), response));
			request.on('error', () => undefined);
		});
		await new Promise((resolve) => this.server.listen(0, host, resolve));
		this.address = `${host}:${this.server.address().port}`;
	}

	close() {
		for (const { timer } of this.leases.values()) {
			clearTimeout(timer);
		}
		this.server.close();
		this.server.closeAllConnections();
	}

	/** Writes a key as the operator or an engine does; an undefined value removes it. Returns the revision. */
	put(key, value) {
		const changes =
			value === undefined ? [{ key, deleted: true }] : [{ key, value: Buffer.from(JSON.stringify(value)), lease: 0 }];
		return this.commit(changes);
	}

	commit(changes) {
		const revision = ++this.revision;
		for (const { key, value, lease, deleted } of changes) {
			if (deleted === true) {
				this.items.delete(key);
				this.history.push({ key, revision, deleted: true });
			} else {
				const created = this.items.get(key)?.created ?? revision;
				const item = { key, value: value.toString('base64'), revision, created, lease };
				this.items.set(key, item);
				this.history.push(item);
			}
		}
		[...this.waiting].forEach((wake) => wake());
		return revision;
	}

	receive(request, body, response) {
		const url = new URL(request.url, 'http://store');
		const query = url.searchParams;
		const [, call, id] = url.pathname.split('/');
		const content = body === '' ? {} : JSON.parse(body);
		const send = (status, value) => {
			if (!response.destroyed) {
				response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value));
			}
		};
		switch (`${request.method} ${call}`) {
			case 'GET kv-key': {
				const item = this.items.get(query.get('key'));
				send(item === undefined ? 404 : 200, { ...item, as_of: this.revision });
				break;
			}
			case 'GET kv-range': {
				const after = query.get('after') ?? '';
				const found = [...this.items.values()]
					.filter(({ key }) => key.startsWith(query.get('prefix')) && key > after)
					.sort((one, other) => (one.key < other.key ? -1 : 1));
				send(200, { entries: found.slice(0, PAGE), more_pages: found.length > PAGE, as_of: this.revision });
				break;
			}
			case 'GET kv-watch':
				this.watch(query.get('prefix'), Number(query.get('after')), Number(query.get('wait_ms')), response, send);
				break;
			case 'POST kv-txn':
				this.transact(content, send);
				break;
			case 'POST kv-lease': {
				const lease = this.nextLease++;
				this.leases.set(lease, { ttl: content.ttl_ms });
				this.keep(lease);
				send(200, { lease, ttl_ms: content.ttl_ms });
				break;
			}
			case 'POST kv-keep':
				send(this.keep(Number(id)) ? 200 : 404, {});
				break;
			case 'DELETE kv-lease-end':
				send(this.end(Number(id)) ? 200 : 404, {});
				break;
			default:
				send(404, {});
		}
	}

	watch(prefix, after, waitMs, response, send) {
		const events = () => this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
		const finish = () => {
			clearTimeout(timer);
			this.waiting.delete(wake);
			send(200, { events: events(), as_of: this.revision });
		};
		const wake = () => {
			if (events().length > 0) {
				finish();
			}
		};
		const timer = setTimeout(finish, waitMs);
		this.waiting.add(wake);
		response.once('close', () => {
			clearTimeout(timer);
			this.waiting.delete(wake);
		});
		wake();
	}

	transact({ expect = [], puts = [], delete: removed = [] }, send) {
		if ([...puts.map(({ key }) => key), ...removed].some((key) => /^(op|servers)\//.test(key))) {
			send(403, {});
		} else if (puts.some(({ lease }) => (lease ?? 0) !== 0 && !this.leases.has(lease))) {
			send(404, {});
		} else if (expect.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
			send(412, { entries: expect.flatMap(({ key }) => this.items.get(key) ?? []) });
		} else {
			const changes = [
				...puts.map(({ key, value, lease }) => ({ key, value: Buffer.from(value, 'base64'), lease: lease ?? 0 })),
				...removed.map((key) => ({ key, deleted: true })),
			];
			send(200, { revision: this.commit(changes) });
		}
	}

	keep(lease) {
		const entry = this.leases.get(lease);
		if (entry === undefined) {
			return false;
		}
		clearTimeout(entry.timer);
		entry.timer = setTimeout(() => this.end(lease), entry.ttl);
		return true;
	}

	end(lease) {
		const entry = this.leases.get(lease);
		if (entry === undefined) {
			return false;
		}
		clearTimeout(entry.timer);
		this.leases.delete(lease);
		const keys = [...this.items.values()].filter((item) => item.lease === lease).map(({ key }) => key);
		if (keys.length > 0) {
			this.commit(keys.map((key) => ({ key, deleted: true })));
		}
		return true;
	}
}
