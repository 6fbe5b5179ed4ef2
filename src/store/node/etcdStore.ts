import * as http from 'node:http';
import { Effect } from 'effect';
import type { IKeyValueStore, KeyValue, StoreError, SwapResult } from '../common/keyValueStore.js';
import { callJson, HttpCallError, type JsonResponse } from './httpJson.js';

const CALL_TIMEOUT_MS = 2_000;
const MAXIMUM_SOCKETS = 64;

interface WireKeyValue {
	readonly key: string;
	readonly value?: string;
	readonly mod_revision: string;
}

interface WireResponse {
	readonly header?: { readonly revision: string };
}

interface WireKeepAlive extends WireResponse {
	/** The response is a stream of one message, which contains the header. */
	readonly result?: WireResponse & { readonly TTL?: string };
}

interface WireRange extends WireResponse {
	readonly kvs?: readonly WireKeyValue[];
}

interface WireTransaction extends WireResponse {
	readonly succeeded?: boolean;
	readonly responses?: readonly { readonly response_range?: WireRange }[];
}

/**
 * Client of the platform's key-value service in the JSON form of the etcd v3 API (`/v3/kv/range`, `/v3/kv/txn`,
 * `/v3/lease/*`, `/v3/watch`): keys and values are base64, 64-bit numbers are strings.
 */
export class EtcdStore implements IKeyValueStore {
	private readonly agent = new http.Agent({ keepAlive: true, maxSockets: MAXIMUM_SOCKETS });
	private callCount = 0;

	private constructor(private readonly base: URL) {}

	/**
	 * @param url base URL of the service
	 * @returns a client for it
	 */
	public static create(url: string): EtcdStore {
		return new EtcdStore(new URL(url));
	}

	/** Number of calls since the start, including watches. */
	public get calls(): number {
		return this.callCount;
	}

	public get(
		key: string,
		options?: { readonly withoutValue?: boolean },
	): Effect.Effect<KeyValue | undefined, StoreError> {
		const body = { key: encode(key), ...keysOnly(options) };
		return this.post('/v3/kv/range', body, (response: WireRange) => fromWire(response.kvs?.[0]));
	}

	public list(
		prefix: string,
		options?: { readonly withoutValue?: boolean },
	): Effect.Effect<readonly KeyValue[], StoreError> {
		const body = { key: encode(prefix), range_end: encodePrefixEnd(prefix), ...keysOnly(options) };
		return this.post('/v3/kv/range', body, (response: WireRange) =>
			(response.kvs ?? []).flatMap((item) => fromWire(item) ?? []),
		);
	}

	public compareAndSwap(
		key: string,
		expectedRevision: number,
		value: Uint8Array,
		leaseId?: string,
	): Effect.Effect<SwapResult, StoreError> {
		const put = { key: encode(key), value: Buffer.from(value).toString('base64'), lease: leaseId };
		return this.transact(key, expectedRevision, { request_put: put });
	}

	public remove(key: string, expectedRevision: number): Effect.Effect<SwapResult, StoreError> {
		return this.transact(key, expectedRevision, { request_delete_range: { key: encode(key) } });
	}

	public grantLease(timeToLiveSeconds: number): Effect.Effect<string, StoreError> {
		const body = { TTL: String(timeToLiveSeconds) };
		return this.post('/v3/lease/grant', body, (response: WireResponse & { readonly ID: string }) => response.ID);
	}

	public keepAlive(leaseId: string): Effect.Effect<boolean, StoreError> {
		const body = { ID: leaseId };
		return this.post('/v3/lease/keepalive', body, (response: WireKeepAlive) => Number(response.result?.TTL ?? 0) > 0);
	}

	public watch(
		key: string,
		onChange: (value: KeyValue | undefined) => void,
		startRevision?: number,
	): Effect.Effect<never, StoreError> {
		return Effect.callback<never, StoreError>((resume) => {
			this.callCount++;
			const payload = JSON.stringify({
				create_request: { key: encode(key), start_revision: startRevision?.toString() },
			});
			const request = http.request(new URL('/v3/watch', this.base), {
				method: 'POST',
				agent: false,
				headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(payload) },
			});
			const fail = (message: string): void => resume(Effect.fail({ outcome: 'no-effect', message }));
			request.on('error', (error) => fail(error.message));
			request.on('response', (response) => {
				if (response.statusCode !== 200) {
					response.resume();
					fail(`the store answered ${response.statusCode ?? 0} to a watch request`);
					return;
				}
				let buffered = '';
				response.setEncoding('utf8');
				response.on('data', (chunk: string) => {
					const lines = (buffered + chunk).split('\n');
					buffered = lines.pop() ?? '';
					try {
						lines.forEach((line) => processWatchLine(line, onChange));
					} catch (error) {
						fail(`the store sent invalid changes: ${String(error)}`);
					}
				});
				response.on('close', () => fail('the watch connection ended'));
			});
			request.end(payload);
			return Effect.sync(() => request.destroy());
		});
	}

	private transact(key: string, expectedRevision: number, success: unknown): Effect.Effect<SwapResult, StoreError> {
		const compare =
			expectedRevision === 0
				? { key: encode(key), target: 'CREATE', result: 'EQUAL', create_revision: '0' }
				: { key: encode(key), target: 'MOD', result: 'EQUAL', mod_revision: String(expectedRevision) };
		const body = { compare: [compare], success: [success], failure: [{ request_range: { key: encode(key) } }] };
		return this.post('/v3/kv/txn', body, (response: WireTransaction): SwapResult => {
			if (response.succeeded === true) {
				return { swapped: true, revision: Number(response.header?.revision) };
			}
			return { swapped: false, current: fromWire(response.responses?.[0]?.response_range?.kvs?.[0]) };
		});
	}

	private post<R>(path: string, body: unknown, decode: (response: never) => R): Effect.Effect<R, StoreError> {
		return Effect.tryPromise({
			try: async (signal) => {
				this.callCount++;
				const response = await callJson(new URL(path, this.base), {
					method: 'POST',
					body,
					agent: this.agent,
					timeoutMs: CALL_TIMEOUT_MS,
					signal,
				});
				if (response.status !== 200) {
					throw toCallError(response);
				}
				return decode(checkResponse(response.body) as never);
			},
			catch: (error): StoreError => ({
				outcome: error instanceof HttpCallError && !error.sent ? 'no-effect' : 'unknown',
				message: error instanceof Error ? error.message : String(error),
			}),
		});
	}
}

// A response without a header comes from something other than the service, such as a proxy. Without this check it would
// be taken for an absent key.
function checkResponse(body: unknown): unknown {
	const parsed = body as WireKeepAlive | undefined;
	if ((parsed?.result ?? parsed)?.header === undefined) {
		throw new HttpCallError('the store sent a response without a header', true);
	}
	return body;
}

// With these statuses the service rejects a call before executing it, such as 429 above the rate limit or 404 for an
// expired lease. With all other errors the outcome is unknown, including 408 and 499 for a call that was abandoned.
const REJECTION_STATUSES: ReadonlySet<number> = new Set([400, 401, 403, 404, 413, 429]);

function toCallError({ status, body }: JsonResponse): HttpCallError {
	const message = (body as { readonly message?: string } | undefined)?.message;
	const text = `the store answered with status ${status}${message === undefined ? '' : `: ${message}`}`;
	return new HttpCallError(text, !REJECTION_STATUSES.has(status));
}

function processWatchLine(line: string, onChange: (value: KeyValue | undefined) => void): void {
	if (line.trim() === '') {
		return;
	}
	const message = JSON.parse(line) as {
		readonly result?: { readonly events?: readonly { readonly type?: string; readonly kv?: WireKeyValue }[] };
	};
	for (const event of message.result?.events ?? []) {
		onChange(event.type === 'DELETE' ? undefined : fromWire(event.kv));
	}
}

function keysOnly(options: { readonly withoutValue?: boolean } | undefined): object {
	return options?.withoutValue === true ? { keys_only: true } : {};
}

function encode(text: string): string {
	return Buffer.from(text, 'utf8').toString('base64');
}

function encodePrefixEnd(prefix: string): string {
	const bytes = Buffer.from(prefix, 'utf8');
	const last = bytes.length - 1;
	bytes[last] = (bytes[last] ?? 0) + 1;
	return bytes.toString('base64');
}

function fromWire(item: WireKeyValue | undefined): KeyValue | undefined {
	if (item === undefined) {
		return undefined;
	}
	return {
		key: Buffer.from(item.key, 'base64').toString('utf8'),
		value: Buffer.from(item.value ?? '', 'base64'),
		revision: Number(item.mod_revision),
	};
}
