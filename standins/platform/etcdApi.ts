import type { KeyEvent, KeyValueState, StoredValue } from './keyValueState.js';

const MAXIMUM_VALUE_BYTES = 1_048_576;

/** Response to one call. */
export interface ApiResponse {
	readonly status: number;
	readonly body: unknown;
}

interface RangeRequest {
	readonly key: string;
	readonly range_end?: string;
	readonly keys_only?: boolean;
}

interface Compare {
	readonly key: string;
	readonly target?: 'VERSION' | 'CREATE' | 'MOD';
	readonly result?: 'EQUAL' | 'GREATER' | 'LESS' | 'NOT_EQUAL';
	readonly version?: string;
	readonly create_revision?: string;
	readonly mod_revision?: string;
}

interface Operation {
	readonly request_range?: RangeRequest;
	readonly request_put?: { readonly key: string; readonly value?: string; readonly lease?: string };
	readonly request_delete_range?: { readonly key: string };
}

interface Transaction {
	readonly compare?: readonly Compare[];
	readonly success?: readonly Operation[];
	readonly failure?: readonly Operation[];
}

/** Kind of a call, for limits and counters. */
export type CallKind = 'read' | 'write' | 'lease' | 'watch';

type Handler = (state: KeyValueState, body: never) => ApiResponse;

interface Call {
	readonly kind: CallKind;
	readonly run: Handler;
}

/** Handlers of the unary API calls by path. */
export const UNARY_CALLS: ReadonlyMap<string, Call> = new Map<string, Call>([
	['/v3/kv/range', { kind: 'read', run: runRange }],
	['/v3/kv/txn', { kind: 'write', run: runTransaction }],
	['/v3/lease/grant', { kind: 'lease', run: runGrant }],
	['/v3/lease/keepalive', { kind: 'lease', run: runKeepAlive }],
	['/v3/lease/revoke', { kind: 'lease', run: runRevoke }],
]);

/** @returns the message of the watch stream for one change */
export function watchMessage(state: KeyValueState, event: KeyEvent): unknown {
	const kv = event.item === undefined ? { key: event.key, mod_revision: String(event.revision) } : toWire(event.item);
	// The JSON encoding omits default values, so a put event has no type.
	return {
		result: { header: responseHeader(state), events: [event.type === 'DELETE' ? { type: 'DELETE', kv } : { kv }] },
	};
}

/** @returns the header that every response contains */
export function responseHeader(state: KeyValueState): unknown {
	return { revision: String(state.revision) };
}

function runRange(state: KeyValueState, body: RangeRequest): ApiResponse {
	return { status: 200, body: { header: responseHeader(state), ...range(state, body) } };
}

function runTransaction(state: KeyValueState, body: Transaction): ApiResponse {
	const succeeded = (body.compare ?? []).every((compare) => isSatisfied(state, compare));
	const operations = (succeeded ? body.success : body.failure) ?? [];
	const errorResponse = operations
		.map((operation) => validateOperation(state, operation))
		.find((found) => found !== undefined);
	if (errorResponse !== undefined) {
		return errorResponse;
	}
	if (operations.some((operation) => operation.request_put !== undefined || operation.request_delete_range)) {
		state.incrementRevision();
	}
	const responses = operations.map((operation) => applyOperation(state, operation));
	return { status: 200, body: { header: responseHeader(state), ...(succeeded ? { succeeded } : {}), responses } };
}

function runGrant(state: KeyValueState, body: { readonly TTL?: string }): ApiResponse {
	const seconds = Number(body.TTL ?? 0);
	if (!(seconds > 0)) {
		return { status: 400, body: { code: 3, message: 'lease time to live must be above 0' } };
	}
	return { status: 200, body: { header: responseHeader(state), ID: state.grant(seconds), TTL: String(seconds) } };
}

function runKeepAlive(state: KeyValueState, body: { readonly ID?: string }): ApiResponse {
	const seconds = state.keepAlive(String(body.ID));
	const remaining = seconds > 0 ? { TTL: String(seconds) } : {};
	return { status: 200, body: { result: { header: responseHeader(state), ID: body.ID, ...remaining } } };
}

function runRevoke(state: KeyValueState, body: { readonly ID?: string }): ApiResponse {
	if (!state.revoke(String(body.ID))) {
		return { status: 404, body: { code: 5, message: 'etcdserver: requested lease not found' } };
	}
	return { status: 200, body: { header: responseHeader(state) } };
}

function isSatisfied(state: KeyValueState, compare: Compare): boolean {
	const item = state.get(compare.key);
	const [actual, expected] =
		compare.target === 'CREATE'
			? [item?.createRevision ?? 0, compare.create_revision]
			: compare.target === 'MOD'
				? [item?.modRevision ?? 0, compare.mod_revision]
				: [item?.version ?? 0, compare.version];
	const difference = actual - Number(expected ?? 0);
	switch (compare.result ?? 'EQUAL') {
		case 'EQUAL':
			return difference === 0;
		case 'NOT_EQUAL':
			return difference !== 0;
		case 'GREATER':
			return difference > 0;
		case 'LESS':
			return difference < 0;
	}
}

function validateOperation(state: KeyValueState, operation: Operation): ApiResponse | undefined {
	const put = operation.request_put;
	if (put === undefined) {
		return undefined;
	}
	if (Buffer.byteLength(put.value ?? '', 'base64') > MAXIMUM_VALUE_BYTES) {
		return { status: 400, body: { code: 3, message: 'etcdserver: request is too large' } };
	}
	if (put.lease !== undefined && put.lease !== '0' && !state.hasLease(put.lease)) {
		return { status: 404, body: { code: 5, message: 'etcdserver: requested lease not found' } };
	}
	return undefined;
}

function applyOperation(state: KeyValueState, operation: Operation): unknown {
	if (operation.request_put !== undefined) {
		const { key, value, lease } = operation.request_put;
		state.put(key, value ?? '', lease === '0' ? undefined : lease);
		return { response_put: { header: responseHeader(state) } };
	}
	if (operation.request_delete_range !== undefined) {
		const deleted = state.get(operation.request_delete_range.key) === undefined ? 0 : 1;
		state.delete(operation.request_delete_range.key);
		return { response_delete_range: { header: responseHeader(state), ...(deleted ? { deleted: '1' } : {}) } };
	}
	return { response_range: { header: responseHeader(state), ...range(state, operation.request_range ?? { key: '' }) } };
}

function range(state: KeyValueState, request: RangeRequest): object {
	const single = state.get(request.key);
	const found =
		request.range_end === undefined
			? single === undefined
				? []
				: [single]
			: state.range(request.key, request.range_end);
	return found.length === 0
		? {}
		: { kvs: found.map((item) => toWire(item, request.keys_only)), count: String(found.length) };
}

function toWire(item: StoredValue, keyOnly = false): unknown {
	return {
		key: item.key,
		create_revision: String(item.createRevision),
		mod_revision: String(item.modRevision),
		version: String(item.version),
		...(keyOnly ? {} : { value: item.value }),
		...(item.lease === undefined ? {} : { lease: item.lease }),
	};
}
