const BLOCK_CHARACTERS = 64;

/** Characters per prompt token. */
export const CHARACTERS_PER_TOKEN = 4;

const TOKENS_PER_BLOCK = BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;

/** Cache of prompt prefixes with limited size; the least recently used block is evicted first. */
export class PrefixCache {
	private readonly blocks = new Map<string, true>();

	private constructor(private readonly maximumBlocks: number) {}

	/**
	 * @param maximumTokens size in prompt tokens; 0 caches nothing
	 * @returns an empty cache
	 */
	public static create(maximumTokens: number): PrefixCache {
		return new PrefixCache(Math.floor(maximumTokens / TOKENS_PER_BLOCK));
	}

	/**
	 * Looks up a prompt and stores its blocks.
	 *
	 * @param prompt complete prompt
	 * @returns number of tokens at its start that were cached already
	 */
	public use(prompt: string): number {
		let hits = 0;
		let missed = false;
		for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
			const prefix = prompt.slice(0, end);
			missed ||= !this.blocks.delete(prefix);
			if (!missed) {
				hits++;
			}
			this.blocks.delete(prefix);
			this.blocks.set(prefix, true);
		}
		for (const oldest of this.blocks.keys()) {
			if (this.blocks.size <= this.maximumBlocks) {
				break;
			}
			this.blocks.delete(oldest);
		}
		return Math.min(hits, this.maximumBlocks) * TOKENS_PER_BLOCK;
	}
}
