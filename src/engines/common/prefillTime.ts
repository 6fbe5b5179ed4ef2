/** Prefill speed of an engine of pace 1, in prompt tokens per millisecond; measured paces are relative to this. */
const NOMINAL_TOKENS_PER_MS = 60;

/** Context length at which attention takes half of the prefill time per token, on dense models of 70 billion parameters. */
const ATTENTION_PARITY_TOKENS = 55_000;

/** Base duration of one engine step; a prompt takes at least one step. */
const STEP_MS = 5;

/**
 * Predicts the prefill time of a prompt.
 *
 * @param promptTokens tokens of the whole prompt
 * @param cachedTokens leading tokens that the engine has cached
 * @returns milliseconds that an engine of pace 1 takes to prefill the remaining tokens
 */
export function prefillMs(promptTokens: number, cachedTokens: number): number {
	const tokens = Math.max(0, promptTokens - cachedTokens);
	const meanContext = cachedTokens + tokens / 2;
	return (tokens / NOMINAL_TOKENS_PER_MS) * (1 + meanContext / ATTENTION_PARITY_TOKENS) + STEP_MS;
}

/**
 * Inverse of {@link prefillMs} for a prompt without long context.
 *
 * @param workMs milliseconds of prefill on an engine of pace 1
 * @returns number of tokens that the engine prefills in this time
 */
export function nominalTokens(workMs: number): number {
	return Math.max(0, workMs - STEP_MS) * NOMINAL_TOKENS_PER_MS;
}

/** Prompt tokens that an engine prefills in one step; each stream gets one token per step. */
const CHUNK_TOKENS = 4_096;

/**
 * Predicts how long the streams of an engine pause during the prefill of a prompt. Each step prefills a chunk, and the
 * last chunks take longest because they attend to all preceding tokens.
 *
 * @param promptTokens tokens of the whole prompt
 * @param cachedTokens leading tokens that the engine has cached
 * @param tokensPerEvent engine steps between two events of a stream
 * @returns milliseconds between two events on an engine of pace 1
 */
export function streamPauseMs(promptTokens: number, cachedTokens: number, tokensPerEvent: number): number {
	const chunks = Math.max(0, promptTokens - cachedTokens) / CHUNK_TOKENS;
	const prefillSteps = Math.min(chunks, tokensPerEvent);
	const context = promptTokens - (prefillSteps * CHUNK_TOKENS) / 2;
	const chunkMs = (CHUNK_TOKENS / NOMINAL_TOKENS_PER_MS) * (1 + Math.max(0, context) / ATTENTION_PARITY_TOKENS);
	return prefillSteps * chunkMs + tokensPerEvent * STEP_MS;
}

/** Typical context length on a busy engine (a document and a question), used to estimate the longest burst. */
const TYPICAL_CONTEXT_TOKENS = 8_000;

/** Fraction of the pause target available for prefill; the rest covers the network and prompts with longer context. */
const PREFILL_FRACTION_OF_PAUSE = 0.9;

/**
 * Computes how long uninterrupted prefill may last before the pauses of running streams exceed the target.
 *
 * @param tokensPerEvent engine steps between two events of a stream
 * @param pauseAimMs target for the longest pause between stream events, in milliseconds
 * @returns milliseconds on an engine of pace 1; infinite when streams meet the target during prefill of any length
 */
export function longestBurstMs(tokensPerEvent: number, pauseAimMs: number): number {
	const chunkMs = (CHUNK_TOKENS / NOMINAL_TOKENS_PER_MS) * (1 + TYPICAL_CONTEXT_TOKENS / ATTENTION_PARITY_TOKENS);
	const chunks = (pauseAimMs * PREFILL_FRACTION_OF_PAUSE - tokensPerEvent * STEP_MS) / chunkMs;
	return chunks >= tokensPerEvent ? Infinity : Math.max(1, Math.floor(chunks)) * (chunkMs + STEP_MS);
}
