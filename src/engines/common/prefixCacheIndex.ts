/** A part of a prompt that requests may share. */
export interface PromptPart {
	/** Short key of the part's identifier. */
	readonly key: number;
	readonly tokens: number;
}

/** Engines evict the parts that were not used for longest; beyond this time a part is not counted on. */
const TRUSTED_MS = 20_000;

/** Bound of the memory for parts: some 60 bytes each and engine. */
const MAXIMUM_PARTS = 20_000;

/**
 * Remembers which engines have read which prompt parts, from the placements of all routers. An engine that holds the
 * leading parts of a prompt reads only the rest.
 *
 * Load pattern: many requests about a few hundred long documents, which one engine each can hold.
 */
export class PrefixCacheIndex {
	private readonly enginesByPart = new Map<number, Map<string, number>>();

	private constructor() {}

	/** @returns a cache without parts */
	public static create(): PrefixCacheIndex {
		return new PrefixCacheIndex();
	}

	/**
	 * @param engine identifier of the engine
	 * @param parts of a prompt, in order
	 * @param now monotonic milliseconds
	 * @returns tokens of the leading parts that the engine holds
	 */
	public heldTokens(engine: string, parts: readonly PromptPart[], now: number): number {
		let held = 0;
		for (const { key, tokens } of parts) {
			const usedAt = this.enginesByPart.get(key)?.get(engine);
			if (usedAt === undefined || now - usedAt > TRUSTED_MS) {
				break;
			}
			held += tokens;
		}
		return held;
	}

	/**
	 * Notes that an engine reads a prompt.
	 *
	 * @param engine identifier of the engine
	 * @param parts keys of the prompt's parts
	 * @param now monotonic milliseconds
	 */
	public record(engine: string, parts: readonly number[], now: number): void {
		for (const part of parts) {
			let engines = this.enginesByPart.get(part);
			if (engines === undefined) {
				engines = new Map();
			} else {
				// Moves the part to the end, so that the first one is the one that was not used for longest.
				this.enginesByPart.delete(part);
			}
			this.enginesByPart.set(part, engines);
			engines.set(engine, now);
		}
		for (const part of this.enginesByPart.keys()) {
			if (this.enginesByPart.size <= MAXIMUM_PARTS) {
				break;
			}
			this.enginesByPart.delete(part);
		}
	}

	/**
	 * Forgets what an engine held, after it has ended or started again.
	 *
	 * @param engine identifier of the engine
	 */
	public forgetEngine(engine: string): void {
		for (const engines of this.enginesByPart.values()) {
			engines.delete(engine);
		}
	}
}
