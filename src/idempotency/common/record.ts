import type { KeyValue } from '../../store/common/keyValueStore.js';
import type { LookupResult, StoredOutcome } from './idempotencyService.js';

/** Largest body kept in a record. Values of the store may have a megabyte, and base64 adds a third. */
export const MAXIMUM_STORED_BODY_BYTES = 512 * 1024;

/** Value of a record in the store. */
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
 * @param record value of a record
 * @returns its bytes in the store
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
 * @param value bytes from the store
 * @returns the record, or undefined when the bytes are none
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
 * Judges a stored record from the view of another attempt.
 *
 * @param stored record, if there is one
 * @param requestDigest digest of the attempt's own request
 * @returns what the attempt is to answer
 */
export function evaluateRecord(stored: KeyValue | undefined, requestDigest: string): LookupResult {
	if (stored === undefined) {
		return { kind: 'absent' };
	}
	const record = decodeRecord(stored.value);
	if (record === undefined) {
		// Something stands where the record should be, so the call may have run.
		return { kind: 'in-doubt' };
	}
	if (record.requestDigest !== requestDigest) {
		return { kind: 'mismatch' };
	}
	return record.outcome === undefined ? { kind: 'in-doubt' } : { kind: 'replay', outcome: record.outcome };
}

function toBase64(bytes: Uint8Array): string {
	// String.fromCharCode takes its arguments on the stack, so long bodies are converted in pieces.
	const pieceBytes = 8_192;
	let text = '';
	for (let offset = 0; offset < bytes.length; offset += pieceBytes) {
		text += String.fromCharCode(...bytes.subarray(offset, offset + pieceBytes));
	}
	return btoa(text);
}

function fromBase64(text: string): Uint8Array {
	return Uint8Array.from(atob(text), (character) => character.charCodeAt(0));
}
