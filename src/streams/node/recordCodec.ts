import type { StreamRecord } from '../common/begunStreams.js';
import type { StoredHistory } from '../common/versionHistory.js';

/** Bytes of the short key of a stream in a record. */
const KEY_BYTES = 6;

/**
 * @param record keys of streams by version
 * @returns value in the store
 */
export function encodeRecord(record: StreamRecord): Uint8Array {
	const encoded = Object.entries(record).map(([version, keys]) => {
		const bytes = Buffer.alloc(keys.length * KEY_BYTES);
		keys.forEach((key, index) => bytes.writeUIntBE(key, index * KEY_BYTES, KEY_BYTES));
		return [version, bytes.toString('base64')];
	});
	return Buffer.from(JSON.stringify(Object.fromEntries(encoded)));
}

/**
 * @param value value in the store
 * @returns keys of streams by version; empty if the value cannot be read
 */
export function decodeRecord(value: Uint8Array): StreamRecord {
	const record: Record<string, readonly number[]> = {};
	for (const [version, text] of Object.entries(parseObject(value))) {
		if (typeof text === 'string') {
			const bytes = Buffer.from(text, 'base64');
			record[version] = Array.from({ length: Math.floor(bytes.length / KEY_BYTES) }, (_, index) =>
				bytes.readUIntBE(index * KEY_BYTES, KEY_BYTES),
			);
		}
	}
	return record;
}

/**
 * @param history versions by service
 * @returns value in the store
 */
export function encodeHistory(history: StoredHistory): Uint8Array {
	return Buffer.from(JSON.stringify(history));
}

/**
 * @param value value in the store
 * @returns versions by service; without what cannot be read
 */
export function decodeHistory(value: Uint8Array): StoredHistory {
	return Object.fromEntries(
		Object.entries(parseObject(value)).map(([service, versions]) => {
			const entries = typeof versions === 'object' && versions !== null ? Object.entries(versions) : [];
			return [service, Object.fromEntries(entries.flatMap(([version, at]) => decodeTime(version, at)))];
		}),
	);
}

function decodeTime(version: string, at: unknown): readonly (readonly [string, number | null])[] {
	return at === null || (typeof at === 'number' && Number.isFinite(at)) ? [[version, at]] : [];
}

/** An entry of another writer, or of another version of the product, is read as empty. */
function parseObject(value: Uint8Array): Readonly<Record<string, unknown>> {
	try {
		const parsed: unknown = JSON.parse(Buffer.from(value).toString('utf8'));
		return typeof parsed === 'object' && parsed !== null && !Array.isArray(parsed) ? { ...parsed } : {};
	} catch {
		return {};
	}
}
