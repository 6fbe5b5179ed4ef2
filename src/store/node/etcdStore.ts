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

interface WireAnswer {
	readonly header?: { readonly revision: string };
}

interface WireKeepAlive extends WireAnswer {
	/** The answer is a stream of one message, which has the header inside. */
	readonly result?: WireAnswer & { readonly TTL?: string };
}

interface WireRange extends WireAnswer {
	readonly kvs?: readonly WireKeyValue[];
}

interface WireTransaction extends WireAnswer {
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

	/** Calls made since the start, watches included. */
	public get calls(): number {
		return this.callCount;
	}

	public get(
		key: string,
		options?: { readonly withoutValue?: boolean },
	): Effect.Effect<KeyValue | undefined, StoreError> {
		const body = { key: encode(key), ...keysOnly(options) };
		return this.post('/v3/kv/range', body, (answer: WireRange) => fromWire(answer.kvs?.[0]));
	}

	public list(
		prefix: string,
		options?: { readonly withoutValue?: boolean },
	): Effect.Effect<readonly KeyValue[], StoreError> {
		const body = { key: encode(prefix), range_end: encodePrefixEnd(prefix), ...keysOnly(options) };
		return this.post('/v3/kv/range', body, (answer: WireRange) =>
			(answer.kvs ?? []).flatMap((item) => fromWire(item) ?? []),
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
		return this.post('/v3/lease/grant', body, (answer: WireAnswer & { readonly ID: string }) => answer.ID);
	}

	public keepAlive(leaseId: string): Effect.Effect<boolean, StoreError> {
		const body = { ID: leaseId };
		return this.post('/v3/lease/keepalive', body, (answer: WireKeepAlive) => Number(answer.result?.TTL ?? 0) > 0);
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
					fail(`the store answered ${response.statusCode ?? 0} to a watch`);
					return;
				}
				let buffered = '';
				response.setEncoding('utf8');
				response.on('data', (chunk: string) => {
					const lines = (buffered + chunk).split('\n');
					buffered = lines.pop() ?? '';
					try {
						lines.forEach((line) => deliverWatchLine(line, onChange));
					} catch (error) {
						fail(`the store sent something else than changes: ${String(error)}`);
					}
				});
				response.on('close', () => fail('the watch ended'));
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
		return this.post('/v3/kv/txn', body, (answer: WireTransaction): SwapResult => {
			if (answer.succeeded === true) {
				return { swapped: true, revision: Number(answer.header?.revision) };
			}
			return { swapped: false, current: fromWire(answer.responses?.[0]?.response_range?.kvs?.[0]) };
		});
	}

	private post<R>(path: string, body: unknown, decode: (answer: never) => R): Effect.Effect<R, StoreError> {
		return Effect.tryPromise({
			try: async (signal) => {
				this.callCount++;
				const answer = await callJson(new URL(path, this.base), {
					method: 'POST',
					body,
					agent: this.agent,
					timeoutMs: CALL_TIMEOUT_MS,
					signal,
				});
				if (answer.status !== 200) {
					throw refusal(answer);
				}
				return decode(checkAnswer(answer.body) as never);
			},
			catch: (error): StoreError => ({
				outcome: error instanceof HttpCallError && !error.sent ? 'no-effect' : 'unknown',
				message: error instanceof Error ? error.message : String(error),
			}),
		});
	}
}

// An answer without header is not the service's own, and would otherwise pass for an absent key.
function checkAnswer(body: unknown): unknown {
	const answer = body as WireKeepAlive | undefined;
	if ((answer?.result ?? answer)?.header === undefined) {
		throw new HttpCallError('the store sent an answer without header', true);
	}
	return body;
}

// With these statuses the service refuses a call before it runs it, such as 429 over its rate or 404 for a lapsed lease.
// Other errors leave the outcome open, also 408 and 499 for a call that was given up.
const REFUSALS: ReadonlySet<number> = new Set([400, 401, 403, 404, 413, 429]);

function refusal({ status, body }: JsonResponse): HttpCallError {
	const message = (body as { readonly message?: string } | undefined)?.message;
	const text = `the store answered ${status}${message === undefined ? '' : `: ${message}`}`;
	return new HttpCallError(text, !REFUSALS.has(status));
}

function deliverWatchLine(line: string, onChange: (value: KeyValue | undefined) => void): void {
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
