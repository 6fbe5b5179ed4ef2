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

/** Evidence of a suspect in the store. */
export interface StoredEvidence {
	readonly kind: SuspectKind;
	/** Short key of the suspect. */
	readonly key: number;
	/** Crashes since a server survived the suspect: short keys of the servers, and Unix milliseconds. */
	readonly crashedAtMs: readonly (readonly [server: number, atMs: number])[];
	/** When a server survived the suspect, in Unix milliseconds; 0 when none has. */
	readonly clearedAtMs: number;
}

/** What the store holds of suspects. */
export interface StoredSuspects {
	readonly quarantines: readonly StoredQuarantine[];
	readonly evidence: readonly StoredEvidence[];
}

/**
 * @param suspects to store
 * @returns value in the store, a list from which each version of the product takes the entries that it knows
 */
export function encodeSuspects({ quarantines, evidence }: StoredSuspects): Uint8Array {
	return Buffer.from(JSON.stringify([...quarantines, ...evidence]));
}

/**
 * @param value value in the store
 * @returns entries, without those that cannot be read, such as those of another version of the product
 */
export function decodeSuspects(value: Uint8Array): StoredSuspects {
	let parsed: unknown;
	try {
		parsed = JSON.parse(Buffer.from(value).toString('utf8'));
	} catch {
		parsed = undefined;
	}
	const entries: readonly unknown[] = Array.isArray(parsed) ? parsed : [];
	return { quarantines: entries.filter(isQuarantine), evidence: entries.filter(isEvidence) };
}

function isQuarantine(entry: unknown): entry is StoredQuarantine {
	if (!isEntry(entry)) {
		return false;
	}
	const { crashes, beganAtMs, endsAtMs } = entry;
	return [crashes, beganAtMs, endsAtMs].every((number) => Number.isSafeInteger(number));
}

function isEvidence(entry: unknown): entry is StoredEvidence {
	if (!isEntry(entry) || !Number.isSafeInteger(entry.clearedAtMs) || !Array.isArray(entry.crashedAtMs)) {
		return false;
	}
	const crashes: readonly unknown[] = entry.crashedAtMs;
	return crashes.every((crash) => Array.isArray(crash) && crash.length === 2 && crash.every(Number.isSafeInteger));
}

function isEntry(entry: unknown): entry is Readonly<Record<string, unknown>> {
	if (typeof entry !== 'object' || entry === null) {
		return false;
	}
	const { kind, key } = entry as Readonly<Record<string, unknown>>;
	return (kind === 'part' || kind === 'request') && Number.isSafeInteger(key);
}
