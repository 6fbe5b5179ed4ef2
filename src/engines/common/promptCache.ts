/** A part of a prompt that requests may share. */
export interface PromptPart {
	/** Short key of the part identifier. */
	readonly key: number;
	readonly tokens: number;
}

/** Engines evict the least recently used parts; a part unused for longer than this is assumed to be evicted. */
const CACHE_LIFETIME_MS = 20_000;

/** Maximum number of tracked parts; limits the memory, which is about 60 bytes per part and engine. */
const MAXIMUM_PARTS = 20_000;

/**
 * Tracks which engines have which prompt parts in their prefix caches, based on the placements of all routers. An engine
 * that has cached the leading parts of a prompt prefills only the remaining ones.
 *
 * Load pattern: many requests about a few hundred long documents, each of which one engine can keep cached.
 */
export class PrefixCacheIndex {
	private readonly lastUseByPart = new Map<number, Map<string, number>>();

	private constructor() {}

	/** @returns an empty index */
	public static create(): PrefixCacheIndex {
		return new PrefixCacheIndex();
	}

	/**
	 * @param engine identifier of the engine
	 * @param parts parts of a prompt, in order
	 * @param now monotonic milliseconds
	 * @returns number of tokens in the leading parts that the engine is assumed to have cached
	 */
	public cachedTokens(engine: string, parts: readonly PromptPart[], now: number): number {
		let cached = 0;
		for (const { key, tokens } of parts) {
			const usedAt = this.lastUseByPart.get(key)?.get(engine);
			if (usedAt === undefined || now - usedAt > CACHE_LIFETIME_MS) {
				break;
			}
			cached += tokens;
		}
		return cached;
	}

	/**
	 * Records that an engine prefills a prompt and thereby caches its parts.
	 *
	 * @param engine identifier of the engine
	 * @param parts keys of the prompt's parts
	 * @param now monotonic milliseconds
	 */
	public record(engine: string, parts: readonly number[], now: number): void {
		for (const part of parts) {
			let engines = this.lastUseByPart.get(part);
			if (engines === undefined) {
				engines = new Map();
			} else {
				// Moves the part to the end, so that the map is ordered by last use.
				this.lastUseByPart.delete(part);
			}
			this.lastUseByPart.set(part, engines);
			engines.set(engine, now);
		}
		for (const part of this.lastUseByPart.keys()) {
			if (this.lastUseByPart.size <= MAXIMUM_PARTS) {
				break;
			}
			this.lastUseByPart.delete(part);
		}
	}

	/**
	 * Discards the cached parts of an engine that has stopped or restarted.
	 *
	 * @param engine identifier of the engine
	 */
	public discardEngine(engine: string): void {
		for (const engines of this.lastUseByPart.values()) {
			engines.delete(engine);
		}
	}
}
