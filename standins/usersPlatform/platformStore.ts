import type * as http from 'node:http';
import { BackendListener, parseObject, sendJson } from '../common/backendListener.js';
import { type KeyEvent, type KeyValueCopy, KeyValueState, type StoredValue } from '../platform/keyValueState.js';
import { StoreFaults, type StoreFaultSettings } from '../platform/storeFaults.js';

const MILLISECONDS_PER_SECOND = 1_000;
const MAXIMUM_PAGE_ENTRIES = 500;
const OK = 200;
const FORBIDDEN = 403;
const NOT_FOUND = 404;
const GONE = 410;
const CONDITION_FAILED = 412;
const TOO_MANY_REQUESTS = 429;

/** Prefixes that clients of the store must not write. The operator and the servers write them by {@link PlatformStore.put}. */
const RESERVED_PREFIXES = ['op/', 'servers/'];

interface ExpectedRevision {
	readonly key: string;
	readonly revision: number;
}

interface PutOperation {
	readonly key: string;
	readonly value: string;
	readonly lease?: number;
}

/** Stand-in for the key-value store of the users' platform that can simulate faults. */
export class PlatformStore {
	private readonly state = new KeyValueState();
	private readonly faults = new StoreFaults();
	private readonly listener = BackendListener.create((request, body, response) =>
		this.receive(request, body, response),
	);
	private compactedRevision = 0;
	private era = 1;
	private calls = 0;

	private constructor() {}

	/** Number of calls since the start. */
	public get callCount(): number {
		return this.calls;
	}

	/** @returns a store without keys */
	public static create(): PlatformStore {
		return new PlatformStore();
	}

	/**
	 * @param port 0 picks a free port
	 * @returns base URL
	 */
	public listen(port: number): Promise<string> {
		return this.listener.listen(port);
	}

	/** Stops the store. */
	public async close(): Promise<void> {
		this.state.close();
		await this.listener.close();
	}

	/**
	 * Writes a key as the operator or a server does, also during faults.
	 *
	 * @param key plain key
	 * @param value is encoded as JSON; undefined removes the key
	 * @returns revision of the write
	 */
	public put(key: string, value: unknown): number {
		this.state.incrementRevision();
		if (value === undefined) {
			this.state.delete(encode(key));
		} else {
			this.state.put(encode(key), Buffer.from(JSON.stringify(value)).toString('base64'), undefined);
		}
		return this.state.revision;
	}

	/**
	 * @param prefix start of the keys
	 * @returns plain keys
	 */
	public keys(prefix: string): readonly string[] {
		return this.listAfter(prefix, '').map(({ key }) => decode(key));
	}

	/**
	 * Sets faults; fields that are omitted keep their values.
	 *
	 * @param settings mode, delay, lost responses and rates
	 */
	public setFaults(settings: StoreFaultSettings): void {
		this.faults.set(settings);
		if (settings.mode !== undefined && settings.mode !== 'up') {
			this.listener.crash(0);
		}
	}

	/** Drops the history of changes, so that watches from an earlier revision fail. */
	public compact(): void {
		this.compactedRevision = this.state.revision;
	}

	/** @returns the present content, to which the store can return */
	public copy(): KeyValueCopy {
		return this.state.copy();
	}

	/**
	 * Returns to an earlier content with a new era, and resets all connections.
	 *
	 * @param copy earlier content
	 */
	public restore(copy: KeyValueCopy): void {
		this.listener.crash(0);
		this.state.restore(copy);
		this.compactedRevision = Math.min(this.compactedRevision, copy.revision);
		this.era++;
	}

	private receive(request: http.IncomingMessage, body: Buffer, response: http.ServerResponse): void {
		this.calls++;
		response.setHeader('store-era', this.era);
		if (this.faults.mode === 'hanging') {
			return;
		}
		if (this.faults.mode === 'refused') {
			sendJson(response, 503, {});
			return;
		}
		const url = new URL(request.url ?? '/', 'http://store');
		const isWrite = request.method !== 'GET' && !url.pathname.startsWith('/kv-keep/');
		if (!this.faults.admit(isWrite ? 'write' : 'read')) {
			sendJson(response, TOO_MANY_REQUESTS, {});
			return;
		}
		const handle = (): void => this.handleCall(request, url, parseObject(body), response, isWrite);
		if (this.faults.delayMs > 0) {
			setTimeout(handle, this.faults.delayMs);
		} else {
			handle();
		}
	}

	private handleCall(
		request: http.IncomingMessage,
		url: URL,
		body: Readonly<Record<string, unknown>>,
		response: http.ServerResponse,
		isWrite: boolean,
	): void {
		const [, call = '', id = ''] = url.pathname.split('/');
		const send = (status: number, content: object): void => {
			if (isWrite && this.faults.shouldDropResponse()) {
				response.destroy();
			} else if (!response.destroyed) {
				sendJson(response, status, content);
			}
		};
		switch (`${request.method ?? ''} ${call}`) {
			case 'GET kv-key':
				this.handleGet(url.searchParams.get('key') ?? '', send);
				break;
			case 'GET kv-range':
				this.handleRange(url.searchParams, send);
				break;
			case 'GET kv-watch':
				this.handleWatch(url.searchParams, response, send);
				break;
			case 'POST kv-txn':
				this.handleTransaction(body, send);
				break;
			case 'POST kv-lease': {
				const milliseconds = Number(body.ttl_ms);
				const lease = Number(this.state.grant(milliseconds / MILLISECONDS_PER_SECOND));
				send(OK, { lease, ttl_ms: milliseconds });
				break;
			}
			case 'POST kv-keep': {
				const seconds = this.state.keepAlive(id);
				send(seconds > 0 ? OK : NOT_FOUND, { ttl_ms: seconds * MILLISECONDS_PER_SECOND });
				break;
			}
			case 'DELETE kv-lease-end':
				send(this.state.revoke(id) ? OK : NOT_FOUND, {});
				break;
			default:
				send(NOT_FOUND, {});
		}
	}

	private handleGet(key: string, send: (status: number, content: object) => void): void {
		const item = this.state.get(encode(key));
		send(
			item === undefined ? NOT_FOUND : OK,
			item === undefined ? {} : { ...toItem(item), as_of: this.state.revision },
		);
	}

	private handleRange(query: URLSearchParams, send: (status: number, content: object) => void): void {
		const found = this.listAfter(query.get('prefix') ?? '', query.get('after') ?? '');
		send(OK, {
			entries: found.slice(0, MAXIMUM_PAGE_ENTRIES).map(toItem),
			more_pages: found.length > MAXIMUM_PAGE_ENTRIES,
			as_of: this.state.revision,
		});
	}

	private handleWatch(
		query: URLSearchParams,
		response: http.ServerResponse,
		send: (status: number, content: object) => void,
	): void {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		const isKnown = after >= this.compactedRevision && after <= this.state.revision;
		const changes = isKnown ? this.state.eventsSince(after + 1) : undefined;
		if (changes === undefined) {
			send(GONE, {});
			return;
		}
		const matches = (event: KeyEvent): boolean => decode(event.key).startsWith(prefix);
		const reply = (events: readonly KeyEvent[]): void =>
			send(OK, { events: events.map(toEvent), as_of: this.state.revision });
		const events = changes.filter(matches);
		if (events.length > 0) {
			reply(events);
			return;
		}
		const finish = (event: KeyEvent | undefined): void => {
			clearTimeout(timer);
			unsubscribe();
			reply(event === undefined ? [] : [event]);
		};
		const unsubscribe = this.state.subscribe((event) => {
			if (matches(event)) {
				finish(event);
			}
		});
		const timer = setTimeout(() => finish(undefined), Number(query.get('wait_ms')));
		response.once('close', () => {
			clearTimeout(timer);
			unsubscribe();
		});
	}

	private handleTransaction(
		body: Readonly<Record<string, unknown>>,
		send: (status: number, content: object) => void,
	): void {
		const expected = (body.expect ?? []) as readonly ExpectedRevision[];
		const puts = (body.puts ?? []) as readonly PutOperation[];
		const removed = (body.delete ?? []) as readonly string[];
		if (
			[...puts.map(({ key }) => key), ...removed].some((key) =>
				RESERVED_PREFIXES.some((prefix) => key.startsWith(prefix)),
			)
		) {
			send(FORBIDDEN, {});
			return;
		}
		if (puts.some(({ lease }) => lease !== undefined && lease !== 0 && !this.state.hasLease(String(lease)))) {
			send(NOT_FOUND, {});
			return;
		}
		const current = expected.map(({ key }) => this.state.get(encode(key)));
		if (expected.some(({ revision }, index) => (current[index]?.modRevision ?? 0) !== revision)) {
			send(CONDITION_FAILED, { entries: current.filter((item) => item !== undefined).map(toItem) });
			return;
		}
		this.state.incrementRevision();
		puts.forEach(({ key, value, lease }) =>
			this.state.put(encode(key), value, lease === undefined || lease === 0 ? undefined : String(lease)),
		);
		removed.forEach((key) => this.state.delete(encode(key)));
		send(OK, { revision: this.state.revision });
	}

	private listAfter(prefix: string, after: string): readonly StoredValue[] {
		const end = Buffer.concat([Buffer.from(prefix), Buffer.from([0xff])]).toString('base64');
		return this.state.range(encode(prefix), end).filter(({ key }) => decode(key) > after);
	}
}

function encode(key: string): string {
	return Buffer.from(key).toString('base64');
}

function decode(key: string): string {
	return Buffer.from(key, 'base64').toString('utf8');
}

function toItem(item: StoredValue): object {
	return {
		key: decode(item.key),
		value: item.value,
		revision: item.modRevision,
		created: item.createRevision,
		lease: Number(item.lease ?? 0),
	};
}

function toEvent(event: KeyEvent): object {
	return event.item === undefined
		? { key: decode(event.key), revision: event.revision, deleted: true }
		: toItem(event.item);
}
