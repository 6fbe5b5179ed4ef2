import type { KeyValue } from '../../store/common/keyValueStore.js';
import type { LookupResult, StoredOutcome } from './idempotencyService.js';

/** Maximum size of a body kept in a record. The store accepts values of up to a megabyte, and base64 adds a third. */
export const MAXIMUM_STORED_BODY_BYTES = 512 * 1024;

/** Contents of a stored record. */
export interface CallRecord {
	readonly attemptId: string;
	readonly requestDigest: string;
	readonly outcome?: StoredOutcome;
}

interface WireRecord {
	readonly attempt: string;
	readonly request: string;
	readonly outcome?: {
		readonly status: number;
		readonly headers: readonly (readonly [string, string])[];
		readonly body?: string;
	};
}

/**
 * Encodes a record for the store.
 *
 * @param record contents of a record; a body above {@link MAXIMUM_STORED_BODY_BYTES} is left out
 * @returns the bytes to store
 */
export function encodeRecord(record: CallRecord): Uint8Array {
	const outcome = record.outcome;
	const wire: WireRecord = {
		attempt: record.attemptId,
		request: record.requestDigest,
		outcome: outcome && {
			status: outcome.status,
			headers: outcome.headers,
			body:
				outcome.body === undefined || outcome.body.length > MAXIMUM_STORED_BODY_BYTES
					? undefined
					: toBase64(outcome.body),
		},
	};
	return new TextEncoder().encode(JSON.stringify(wire));
}

/**
 * Decodes a stored record.
 *
 * @param value bytes from the store
 * @returns the record, or undefined when the bytes are not a record
 */
export function decodeRecord(value: Uint8Array): CallRecord | undefined {
	let wire: WireRecord;
	try {
		wire = JSON.parse(new TextDecoder().decode(value)) as WireRecord;
	} catch {
		return undefined;
	}
	return {
		attemptId: wire.attempt,
		requestDigest: wire.request,
		outcome: wire.outcome && {
			status: wire.outcome.status,
			headers: wire.outcome.headers,
			body: wire.outcome.body === undefined ? undefined : fromBase64(wire.outcome.body),
		},
	};
}

/**
 * Determines what a stored record means for another attempt.
 *
 * @param stored the record; undefined when there is none
 * @param requestDigest digest of the attempt's own request
 * @returns state of the call for the attempt
 */
export function evaluateRecord(stored: KeyValue | undefined, requestDigest: string): LookupResult {
	if (stored === undefined) {
		return { kind: 'absent' };
	}
	const record = decodeRecord(stored.value);
	if (record === undefined) {
		// The stored value is not a valid record, so the call may have run.
		return { kind: 'in-doubt' };
	}
	if (record.requestDigest !== requestDigest) {
		return { kind: 'mismatch' };
	}
	return record.outcome === undefined ? { kind: 'in-doubt' } : { kind: 'replay', outcome: record.outcome };
}

function toBase64(bytes: Uint8Array): string {
	// String.fromCharCode takes its arguments on the stack, so long bodies are converted in chunks.
	const chunkBytes = 8_192;
	let text = '';
	for (let offset = 0; offset < bytes.length; offset += chunkBytes) {
		text += String.fromCharCode(...bytes.subarray(offset, offset + chunkBytes));
	}
	return btoa(text);
}

function fromBase64(text: string): Uint8Array {
	return Uint8Array.from(atob(text), (character) => character.charCodeAt(0));
}
