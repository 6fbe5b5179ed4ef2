/** A part of a prompt that requests may share. */
export interface PromptPart {
	/** Short key of the part identifier. */
	readonly key: number;
	readonly tokens: number;
}

/** Prompt parts that an engine is assumed to have cached. */
export interface CachedParts {
	/** Identifier of the engine. */
	readonly engine: string;
	/** Short keys of the parts, from the least to the most recently used one. */
	readonly parts: readonly number[];
}

/** Fraction of an engine's memory that is assumed to hold cached parts; the rest holds the requests in progress. */
const CACHE_MEMORY_FRACTION = 0.8;

/** Memory assumed for an engine whose service states none. */
const DEFAULT_MEMORY_TOKENS = 500_000;

/** Size assumed for a part of a peer's prompt before a prompt of this router has contained the part. */
const TYPICAL_PART_TOKENS = 2_000;

/** Maximum number of part sizes to remember; at this size, all are discarded. */
const MAXIMUM_SIZES = 100_000;

/** Maximum number of parts to track for one engine, since callers may send parts without tokens. */
const MAXIMUM_PARTS = 10_000;

interface EngineCache {
	/** Sizes in tokens by key, from the least to the most recently used part. */
	readonly sizes: Map<number, number>;
	totalTokens: number;
}

/**
 * Tracks which engines have which prompt parts in their prefix caches, based on the placements of all routers. An engine
 * that has cached the leading parts of a prompt prefills only the remaining ones. Engines evict the least recently used
 * parts when their memory is full.
 *
 * Load pattern: many requests about a few hundred long documents, each of which one engine can keep cached. The part of a
 * prompt that no other prompt shares fills the memory as well, so documents that are rarely requested are evicted.
 */
export class PrefixCacheIndex {
	private readonly caches = new Map<string, EngineCache>();
	private readonly knownSizes = new Map<number, number>();
	private unsharedParts = 0;

	private constructor() {}

	/** @returns an empty index */
	public static create(): PrefixCacheIndex {
		return new PrefixCacheIndex();
	}

	/** Parts that may be cached, by engine. */
	public get cachedParts(): readonly CachedParts[] {
		return [...this.caches].map(([engine, { sizes }]) => ({
			engine,
			parts: [...sizes.keys()].filter((key) => key >= 0),
		}));
	}

	/**
	 * @param engine identifier of the engine
	 * @param parts parts of a prompt, in order
	 * @returns number of tokens in the leading parts that the engine is assumed to have cached
	 */
	public cachedTokens(engine: string, parts: readonly PromptPart[]): number {
		const sizes = this.caches.get(engine)?.sizes;
		let cached = 0;
		for (const { key, tokens } of parts) {
			if (sizes?.has(key) !== true) {
				break;
			}
			cached += tokens;
		}
		return cached;
	}

	/**
	 * Remembers the sizes of a prompt's parts, which the notices of peers do not contain.
	 *
	 * @param parts parts of a prompt
	 */
	public learnSizes(parts: readonly PromptPart[]): void {
		if (this.knownSizes.size >= MAXIMUM_SIZES) {
			this.knownSizes.clear();
		}
		parts.forEach(({ key, tokens }) => this.knownSizes.set(key, tokens));
	}

	/**
	 * Records that an engine prefills a prompt and thereby caches its parts.
	 *
	 * @param engine identifier of the engine
	 * @param parts keys of the parts, in order
	 * @param memoryTokens tokens that fit into the memory of the engine; undefined when unknown
	 * @param unsharedTokens tokens of the prompt that are in none of the parts
	 */
	public record(engine: string, parts: readonly number[], memoryTokens: number | undefined, unsharedTokens = 0): void {
		let cache = this.caches.get(engine);
		if (cache === undefined) {
			cache = { sizes: new Map(), totalTokens: 0 };
			this.caches.set(engine, cache);
		}
		for (const key of parts) {
			touch(cache, key, this.knownSizes.get(key) ?? TYPICAL_PART_TOKENS);
		}
		if (unsharedTokens > 0) {
			touch(cache, -++this.unsharedParts, unsharedTokens);
		}
		evict(cache, (memoryTokens ?? DEFAULT_MEMORY_TOKENS) * CACHE_MEMORY_FRACTION);
	}

	/**
	 * Discards the cached parts of an engine that has stopped or restarted.
	 *
	 * @param engine identifier of the engine
	 */
	public discardEngine(engine: string): void {
		this.caches.delete(engine);
	}
}

/** Makes a part the most recently used one. */
function touch(cache: EngineCache, key: number, tokens: number): void {
	cache.totalTokens += tokens - (cache.sizes.get(key) ?? 0);
	cache.sizes.delete(key);
	cache.sizes.set(key, tokens);
}

function evict(cache: EngineCache, maximumTokens: number): void {
	for (const [key, tokens] of cache.sizes) {
		if (cache.totalTokens <= maximumTokens && cache.sizes.size <= MAXIMUM_PARTS) {
			return;
		}
		cache.sizes.delete(key);
		cache.totalTokens -= tokens;
	}
}
