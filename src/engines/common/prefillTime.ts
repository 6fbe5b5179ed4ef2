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
export function prefillMs(promptTokens: number, heldTokens: number): number {
	const tokens = Math.max(0, promptTokens - heldTokens);
	const meanContext = heldTokens + tokens / 2;
	return (tokens / NOMINAL_TOKENS_PER_MS) * (1 + meanContext / ATTENTION_PARITY_TOKENS) + STEP_MS;
}

/** Prompt tokens that an engine reads in one step, in which each stream gets one token. */
const CHUNK_TOKENS = 4_096;

/**
 * Predicts how long the streams of an engine pause while it reads a prompt. Each step reads a chunk, and the last chunks
 * take longest because all tokens before them are attended to.
 *
 * @param promptTokens tokens of the whole prompt
 * @param heldTokens leading tokens that the engine holds
 * @param tokensPerEvent steps between two events of a stream
 * @returns milliseconds between two events on an engine of pace 1
 */
export function streamPauseMs(promptTokens: number, heldTokens: number, tokensPerEvent: number): number {
	const chunks = Math.max(0, promptTokens - heldTokens) / CHUNK_TOKENS;
	const readingSteps = Math.min(chunks, tokensPerEvent);
	const context = promptTokens - (readingSteps * CHUNK_TOKENS) / 2;
	const chunkMs = (CHUNK_TOKENS / NOMINAL_TOKENS_PER_MS) * (1 + Math.max(0, context) / ATTENTION_PARITY_TOKENS);
	return readingSteps * chunkMs + tokensPerEvent * STEP_MS;
}

/** Context of the prompts that a busy engine reads, for which the longest burst is estimated: a document and a question. */
const USUAL_CONTEXT_TOKENS = 8_000;

/** Part of the longest pause that is used; the rest is for the network and for prompts with more context. */
const USED_PART_OF_PAUSE = 0.9;

/**
 * Says how long an engine may read without a pause before its streams pause too long.
 *
 * @param tokensPerEvent steps between two events of a stream
 * @param pauseAimMs longest pause between events of streams that are on time
 * @returns milliseconds on an engine of pace 1; infinite when streams are on time however long the engine reads
 */
export function longestBurstMs(tokensPerEvent: number, pauseAimMs: number): number {
	const chunkMs = (CHUNK_TOKENS / NOMINAL_TOKENS_PER_MS) * (1 + USUAL_CONTEXT_TOKENS / ATTENTION_PARITY_TOKENS);
	const chunks = (pauseAimMs * USED_PART_OF_PAUSE - tokensPerEvent * STEP_MS) / chunkMs;
	return chunks >= tokensPerEvent ? Infinity : Math.max(1, Math.floor(chunks)) * (chunkMs + STEP_MS);
}
