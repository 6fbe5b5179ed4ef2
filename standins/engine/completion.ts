import { createHash, type Hash } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import type { LedgerEntry } from '../common/ledger.js';

const HASH_BITS = 0x1_0000_0000;

/** One request in progress on the engine. */
export interface Completion {
	readonly requestId: string;
	readonly prompt: string;
	readonly promptTokens: number;
	readonly tokens: number;
	readonly seed: number;
	readonly crashes: boolean;
	readonly response: ServerResponse;
	readonly digest: Hash;
	/** Tokens sent or skipped so far. */
	position: number;
	/** Steps of the engine until prefill ends. */
	promptSteps: number;
	ledgerEntry: LedgerEntry | undefined;
}

/**
 * Text of one generated token. It depends only on the request's body, so that every engine can resume the stream.
 *
 * @param seed from the request's body
 * @param position 1 for the first token
 * @returns text
 */
export function tokenText(seed: number, position: number): string {
	return ` ${((Math.imul(seed ^ position, 0x9e3779b1) >>> 0) % 0xffff).toString(36)}`;
}

/**
 * @param bodyDigest SHA-256 of the request's body
 * @param range minimum and maximum number of tokens
 * @returns number of tokens, distributed log-uniformly over the range
 */
export function seededTokens(bodyDigest: Buffer, range: { readonly least: number; readonly most: number }): number {
	const fraction = bodyDigest.readUInt32BE(4) / HASH_BITS;
	return Math.round(range.least * (range.most / range.least) ** fraction);
}

/**
 * Skips tokens that the caller already has.
 *
 * @param completion stream that is resumed
 * @param lastEventId number of tokens to skip
 */
export function skipTokens(completion: Completion, lastEventId: number): void {
	while (completion.position < Math.min(lastEventId, completion.tokens)) {
		completion.position++;
		completion.digest.update(tokenText(completion.seed, completion.position));
	}
}

/**
 * Sends the next token, or the end of the stream after the last one.
 *
 * @param completion request in progress
 * @returns whether the stream has ended
 */
export function sendNext(completion: Completion): boolean {
	if (completion.position < completion.tokens) {
		completion.position++;
		const text = tokenText(completion.seed, completion.position);
		completion.digest.update(text);
		completion.response.write(`id: ${completion.position}\ndata: {"choices":[{"index":0,"text":"${text}"}]}\n\n`);
	}
	if (completion.position < completion.tokens) {
		return false;
	}
	completion.response.end(finalEvents(completion));
	return true;
}

function finalEvents(completion: Completion): string {
	const last = {
		choices: [],
		usage: { prompt_tokens: completion.promptTokens, completion_tokens: completion.tokens },
		request_id: completion.requestId,
		digest: completion.digest.copy().digest('hex'),
	};
	return `id: ${completion.tokens + 1}\ndata: ${JSON.stringify(last)}\n\ndata: [DONE]\n\n`;
}

/** @returns a digest without tokens */
export function emptyDigest(): Hash {
	return createHash('sha256');
}
