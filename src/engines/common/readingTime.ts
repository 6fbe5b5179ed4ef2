/** Prompt tokens that an engine of pace 1 reads in a millisecond; the pace of each engine is learned from this. */
const NOMINAL_TOKENS_PER_MS = 60;

/** Context at which attention takes as long as the rest of reading a token, on dense models of 70 billion parameters. */
const ATTENTION_PARITY_TOKENS = 55_000;

/** One step of an engine, which each prompt takes at least. */
const STEP_MS = 5;

/**
 * @param promptTokens tokens of the whole prompt
 * @param heldTokens leading tokens that the engine holds
 * @returns milliseconds that an engine of pace 1 takes to read the rest
 */
export function readingTimeMs(promptTokens: number, heldTokens: number): number {
	const tokens = Math.max(0, promptTokens - heldTokens);
	const meanContext = heldTokens + tokens / 2;
	return (tokens / NOMINAL_TOKENS_PER_MS) * (1 + meanContext / ATTENTION_PARITY_TOKENS) + STEP_MS;
}
