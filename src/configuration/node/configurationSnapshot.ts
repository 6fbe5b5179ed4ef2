import { Effect } from 'effect';
import type { IKeyValueStore, KeyValue } from '../../store/common/keyValueStore.js';
import {
	type ConfigurationHead,
	decodeHead,
	digestOfPart,
	HEAD_KEY,
	listParts,
	partKey,
} from '../common/configurationHead.js';
import {
	BUCKETS,
	type ConfigurationItem,
	joinParts,
	SECTIONS,
	type Section,
	splitIntoParts,
} from '../common/configurationParts.js';
import type { Configuration } from '../common/model.js';
import { partDigest } from './partDigest.js';

const PARALLEL_READS = 8;
const MAXIMUM_HEAD_READS = 5;

/** Items of configuration parts by part digest. */
export type PartCache = ReadonlyMap<string, readonly ConfigurationItem[]>;

/** Parts that a failed load has read, by part digest, for reuse by the next attempt. */
export type LoadedParts = Map<string, readonly ConfigurationItem[]>;

/** A configuration as it was loaded from the store. */
export interface ConfigurationSnapshot {
	readonly head: ConfigurationHead;
	/** Store revision of the head; 0 when the store has none. */
	readonly headRevision: number;
	readonly configuration: Configuration;
	readonly cache: PartCache;
}

/** A head with its store revision. */
export interface StoredHead {
	readonly head: ConfigurationHead;
	readonly revision: number;
}

/** Why a configuration could not be read. */
export interface LoadError {
	/** `unusable`: the store responded, but the stored data cannot be used. */
	readonly kind: 'unavailable' | 'unusable';
	readonly message: string;
}

/** Snapshot of a store in which nothing has been published yet. */
export const EMPTY_SNAPSHOT: ConfigurationSnapshot = {
	head: { version: 0, nonce: '', recentNonces: [], parts: emptyPartNames() },
	headRevision: 0,
	configuration: { version: 0, accounts: [], backendServers: [], pools: [], services: [] },
	cache: new Map(),
};

/**
 * Loads the head and the parts that are not cached.
 *
 * @param store the platform's store
 * @param cache parts that have been read before
 * @param knownHead a head that has just been read, used instead of the first read
 * @param loadedParts keeps the parts that were read when the load fails. A load of 82 parts that started over after each
 *   refused read would never complete while the store is over its rate limit.
 * @returns the snapshot; {@link EMPTY_SNAPSHOT} when nothing has been published yet
 */
export function loadSnapshot(
	store: IKeyValueStore,
	cache: PartCache,
	knownHead?: KeyValue,
	loadedParts: LoadedParts = new Map(),
): Effect.Effect<ConfigurationSnapshot, LoadError> {
	return Effect.gen(function* () {
		// A part is removed when a newer head no longer refers to it, so a missing part means that the head is outdated.
		for (let attempt = 0; attempt < MAXIMUM_HEAD_READS; attempt++) {
			const stored = yield* readHead(store, attempt === 0 ? knownHead : undefined);
			if (stored === undefined) {
				return EMPTY_SNAPSHOT;
			}
			const snapshot = yield* loadParts(store, cache, stored, loadedParts);
			if (snapshot !== undefined) {
				return snapshot;
			}
		}
		return yield* Effect.fail<LoadError>({ kind: 'unusable', message: 'parts of the configuration are missing' });
	});
}

/**
 * Reads the head without the parts.
 *
 * @param store the platform's store
 * @param knownHead a head that has just been read, used instead of a read
 * @returns the head and its store revision, or undefined when nothing has been published yet
 */
export function readHead(
	store: IKeyValueStore,
	knownHead?: KeyValue,
): Effect.Effect<StoredHead | undefined, LoadError> {
	return Effect.gen(function* () {
		const stored = knownHead ?? (yield* readKey(store, HEAD_KEY));
		if (stored === undefined) {
			return undefined;
		}
		const head = decodeHead(new TextDecoder().decode(stored.value));
		if (head.isErr) {
			return yield* Effect.fail<LoadError>({ kind: 'unusable', message: head.error });
		}
		return { head: head.value, revision: stored.revision };
	});
}

/**
 * Splits a complete configuration into parts, so that later loads read only the parts that changed.
 *
 * @param configuration a configuration that was not loaded from the store
 * @param cache parts that have been read before; their items are reused
 * @returns the configuration and its parts
 */
export function reuseCachedParts(
	configuration: Configuration,
	cache: PartCache,
): { readonly configuration: Configuration; readonly cache: PartCache } {
	const itemsByDigest = new Map<string, readonly ConfigurationItem[]>();
	const digests = new Map<string, string>();
	for (const { section, bucket, text } of splitIntoParts(configuration)) {
		const digest = partDigest(text);
		itemsByDigest.set(digest, cache.get(digest) ?? (JSON.parse(text) as readonly ConfigurationItem[]));
		digests.set(`${section}/${bucket}`, digest);
	}
	const content = joinParts((section, bucket) => itemsByDigest.get(digests.get(`${section}/${bucket}`) ?? '') ?? []);
	return { configuration: { version: configuration.version, ...content }, cache: itemsByDigest };
}

function loadPart(
	store: IKeyValueStore,
	name: string,
	loadedParts: LoadedParts,
): Effect.Effect<readonly ConfigurationItem[] | undefined, LoadError> {
	return Effect.gen(function* () {
		const stored = yield* readKey(store, partKey(name));
		if (stored === undefined) {
			return undefined;
		}
		const items = yield* decodePart(name, new TextDecoder().decode(stored.value));
		loadedParts.set(digestOfPart(name), items);
		return items;
	});
}

function loadParts(
	store: IKeyValueStore,
	cache: PartCache,
	{ head, revision: headRevision }: StoredHead,
	loadedParts: LoadedParts,
): Effect.Effect<ConfigurationSnapshot | undefined, LoadError> {
	return Effect.gen(function* () {
		const itemsByDigest = new Map<string, readonly ConfigurationItem[]>();
		const missing: string[] = [];
		for (const { name } of listParts(head.parts)) {
			const digest = digestOfPart(name);
			const cached = cache.get(digest) ?? loadedParts.get(digest);
			if (cached === undefined) {
				missing.push(name);
			} else {
				itemsByDigest.set(digest, cached);
			}
		}
		const loaded = yield* Effect.forEach(missing, (name) => loadPart(store, name, loadedParts), {
			concurrency: PARALLEL_READS,
		});
		for (const [index, name] of missing.entries()) {
			const items = loaded[index];
			if (items === undefined) {
				return undefined;
			}
			itemsByDigest.set(digestOfPart(name), items);
		}
		const content = joinParts(
			(section, bucket) => itemsByDigest.get(digestOfPart(head.parts[section][bucket] ?? '')) ?? [],
		);
		return { head, headRevision, configuration: { version: head.version, ...content }, cache: itemsByDigest };
	});
}

function decodePart(name: string, text: string): Effect.Effect<readonly ConfigurationItem[], LoadError> {
	if (partDigest(text) !== digestOfPart(name)) {
		return Effect.fail({ kind: 'unusable', message: `the configuration part ${name} does not match its digest` });
	}
	return Effect.sync(() => JSON.parse(text) as readonly ConfigurationItem[]);
}

function readKey(store: IKeyValueStore, key: string): Effect.Effect<KeyValue | undefined, LoadError> {
	return Effect.mapError(store.get(key), ({ message }): LoadError => ({ kind: 'unavailable', message }));
}

function emptyPartNames(): ConfigurationHead['parts'] {
	const names = (section: Section): readonly string[] => Array.from({ length: BUCKETS[section] }, () => '');
	return Object.fromEntries(SECTIONS.map((section) => [section, names(section)])) as ConfigurationHead['parts'];
}
