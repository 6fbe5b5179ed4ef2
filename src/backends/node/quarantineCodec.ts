import type { SuspectKind } from '../common/suspectRegistry.js';

/** A quarantine in the store. */
export interface StoredQuarantine {
	readonly kind: SuspectKind;
	/** Short key of the suspect. */
	readonly key: number;
	readonly crashes: number;
	/** Unix milliseconds. */
	readonly beganAtMs: number;
	/** Unix milliseconds. */
	readonly endsAtMs: number;
}

/**
 * @param quarantines to store
 * @returns value in the store
 */
export function encodeQuarantines(quarantines: readonly StoredQuarantine[]): Uint8Array {
	return Buffer.from(JSON.stringify(quarantines));
}

/**
 * @param value value in the store
 * @returns quarantines, without those that cannot be read, such as those of another version of the product
 */
export function decodeQuarantines(value: Uint8Array): readonly StoredQuarantine[] {
	try {
		const parsed: unknown = JSON.parse(Buffer.from(value).toString('utf8'));
		return Array.isArray(parsed) ? parsed.filter(isQuarantine) : [];
	} catch {
		return [];
	}
}

function isQuarantine(entry: unknown): entry is StoredQuarantine {
	if (typeof entry !== 'object' || entry === null) {
		return false;
	}
	const { kind, key, crashes, beganAtMs, endsAtMs } = entry as Readonly<Record<string, unknown>>;
	const numbers = [key, crashes, beganAtMs, endsAtMs];
	return (kind === 'part' || kind === 'request') && numbers.every((number) => Number.isSafeInteger(number));
}
