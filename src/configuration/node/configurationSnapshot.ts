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
const HEAD_READS = 5;

/** Items of configuration parts by the parts' digests. */
export type PartCache = ReadonlyMap<string, readonly ConfigurationItem[]>;

/** Parts that an unfinished load has read, for the next attempt. */
export type LoadedParts = Map<string, readonly ConfigurationItem[]>;

/** A configuration as the store has it. */
export interface ConfigurationSnapshot {
	readonly head: ConfigurationHead;
	/** Store revision of the head; 0 when the store has none. */
	readonly headRevision: number;
	readonly configuration: Configuration;
	readonly cache: PartCache;
}

/** A head as it was read from the store. */
export interface StoredHead {
	readonly head: ConfigurationHead;
	readonly revision: number;
}

/** Why a configuration could not be read. */
export interface LoadError {
	/** `unusable`: the store answered, and what it holds cannot be used. */
	readonly kind: 'unavailable' | 'unusable';
	readonly message: string;
}

/** The snapshot of a store in which nothing was published yet. */
export const EMPTY_SNAPSHOT: ConfigurationSnapshot = {
	head: { version: 0, nonce: '', recentNonces: [], parts: emptyNames() },
	headRevision: 0,
	configuration: { version: 0, accounts: [], backendServers: [], pools: [], services: [] },
	cache: new Map(),
};

/**
 * Reads the head and those parts that the cache lacks.
 *
 * @param store the platform's store
 * @param cache parts that are known already
 * @param known a head that was read a moment ago, in place of the first read
 * @param progress keeps the parts that were read when the load fails; a load of 82 parts that began anew after each
 *   refused read would never end at a store that is over its rate
 * @returns the snapshot; the empty one when nothing was published yet
 */
export function loadSnapshot(
	store: IKeyValueStore,
	cache: PartCache,
	known?: KeyValue,
	progress: LoadedParts = new Map(),
): Effect.Effect<ConfigurationSnapshot, LoadError> {
	return Effect.gen(function* () {
		// A part disappears when a newer head no longer needs it, so a missing part means that the head is outdated.
		for (let attempt = 0; attempt < HEAD_READS; attempt++) {
			const stored = yield* readHead(store, attempt === 0 ? known : undefined);
			if (stored === undefined) {
				return EMPTY_SNAPSHOT;
			}
			const snapshot = yield* loadParts(store, cache, stored, progress);
			if (snapshot !== undefined) {
				return snapshot;
			}
		}
		return yield* Effect.fail<LoadError>({ kind: 'unusable', message: 'parts of the configuration are missing' });
	});
}

/**
 * Reads the head alone.
 *
 * @param store the platform's store
 * @param known a head that was read a moment ago, in place of the read
 * @returns the head and its store revision, or undefined when nothing was published yet
 */
export function readHead(store: IKeyValueStore, known?: KeyValue): Effect.Effect<StoredHead | undefined, LoadError> {
	return Effect.gen(function* () {
		const stored = known ?? (yield* read(store, HEAD_KEY));
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
 * Takes a whole configuration apart, so that later changes reread the changed parts only.
 *
 * @param configuration a configuration that did not come from the store
 * @param cache parts that are known already; their items are kept
 * @returns the configuration and its parts
 */
export function reuseCachedParts(
	configuration: Configuration,
	cache: PartCache,
): { readonly configuration: Configuration; readonly cache: PartCache } {
	const adopted = new Map<string, readonly ConfigurationItem[]>();
	const digests = new Map<string, string>();
	for (const { section, bucket, text } of splitIntoParts(configuration)) {
		const digest = partDigest(text);
		adopted.set(digest, cache.get(digest) ?? (JSON.parse(text) as readonly ConfigurationItem[]));
		digests.set(`${section}/${bucket}`, digest);
	}
	const content = joinParts((section, bucket) => adopted.get(digests.get(`${section}/${bucket}`) ?? '') ?? []);
	return { configuration: { version: configuration.version, ...content }, cache: adopted };
}

function loadPart(
	store: IKeyValueStore,
	name: string,
	progress: LoadedParts,
): Effect.Effect<readonly ConfigurationItem[] | undefined, LoadError> {
	return Effect.gen(function* () {
		const stored = yield* read(store, partKey(name));
		if (stored === undefined) {
			return undefined;
		}
		const items = yield* decodePart(name, new TextDecoder().decode(stored.value));
		progress.set(digestOfPart(name), items);
		return items;
	});
}

function loadParts(
	store: IKeyValueStore,
	cache: PartCache,
	{ head, revision: headRevision }: StoredHead,
	progress: LoadedParts,
): Effect.Effect<ConfigurationSnapshot | undefined, LoadError> {
	return Effect.gen(function* () {
		const needed = new Map<string, readonly ConfigurationItem[]>();
		const missing: string[] = [];
		for (const { name } of listParts(head.parts)) {
			const digest = digestOfPart(name);
			const known = cache.get(digest) ?? progress.get(digest);
			if (known === undefined) {
				missing.push(name);
			} else {
				needed.set(digest, known);
			}
		}
		const loaded = yield* Effect.forEach(missing, (name) => loadPart(store, name, progress), {
			concurrency: PARALLEL_READS,
		});
		for (const [index, name] of missing.entries()) {
			const items = loaded[index];
			if (items === undefined) {
				return undefined;
			}
			needed.set(digestOfPart(name), items);
		}
		const content = joinParts((section, bucket) => needed.get(digestOfPart(head.parts[section][bucket] ?? '')) ?? []);
		return { head, headRevision, configuration: { version: head.version, ...content }, cache: needed };
	});
}

function decodePart(name: string, text: string): Effect.Effect<readonly ConfigurationItem[], LoadError> {
	if (partDigest(text) !== digestOfPart(name)) {
		return Effect.fail({ kind: 'unusable', message: `the configuration part ${name} does not match its digest` });
	}
	return Effect.sync(() => JSON.parse(text) as readonly ConfigurationItem[]);
}

function read(store: IKeyValueStore, key: string): Effect.Effect<KeyValue | undefined, LoadError> {
	return Effect.mapError(store.get(key), ({ message }): LoadError => ({ kind: 'unavailable', message }));
}

function emptyNames(): ConfigurationHead['parts'] {
	const names = (section: Section): readonly string[] => Array.from({ length: BUCKETS[section] }, () => '');
	return Object.fromEntries(SECTIONS.map((section) => [section, names(section)])) as ConfigurationHead['parts'];
}
