import { describe, expect, test } from '@jest/globals';
import { PrefixCacheIndex, type PromptPart } from '../common/prefixCacheIndex.js';

const ENGINE = 'engine-1';
const MEMORY_TOKENS = 100_000;
const DOCUMENT_TOKENS = 10_000;
const QUESTION_TOKENS = 4_000;

const documentOf = (key: number): readonly PromptPart[] => [{ key, tokens: DOCUMENT_TOKENS }];

/** Index in which the engine has prefilled a document, and then prompts with unshared text about another document. */
function indexAfter(prompts: number): PrefixCacheIndex {
	const index = PrefixCacheIndex.create();
	index.learnSizes([...documentOf(1), ...documentOf(2)]);
	index.record(ENGINE, [1], MEMORY_TOKENS);
	for (let count = 0; count < prompts; count++) {
		index.record(ENGINE, [2], MEMORY_TOKENS, QUESTION_TOKENS);
	}
	return index;
}

describe('PrefixCacheIndex', () => {
	// Load pattern: the unshared parts of prompts fill the memory of an engine within some ten seconds. Documents that it
	// had evicted were predicted as cached, so prompts waited behind prefill that nobody expected.
	test('documents that are rarely requested are evicted by the unshared parts of other prompts', () => {
		expect(indexAfter(5).cachedTokens(ENGINE, documentOf(1))).toBe(DOCUMENT_TOKENS);
		expect(indexAfter(25).cachedTokens(ENGINE, documentOf(1))).toBe(0);
	});

	test('documents that are requested again and again stay cached', () => {
		expect(indexAfter(1_000).cachedTokens(ENGINE, documentOf(2))).toBe(DOCUMENT_TOKENS);
	});

	test('more memory keeps documents for longer', () => {
		const index = PrefixCacheIndex.create();
		index.learnSizes(documentOf(1));
		index.record(ENGINE, [1], 10 * MEMORY_TOKENS);
		for (let count = 0; count < 100; count++) {
			index.record(ENGINE, [], 10 * MEMORY_TOKENS, QUESTION_TOKENS);
		}
		expect(index.cachedTokens(ENGINE, documentOf(1))).toBe(DOCUMENT_TOKENS);
	});

	test('counts leading parts only, and none of an engine that has restarted', () => {
		const index = indexAfter(1);
		expect(index.cachedTokens(ENGINE, [...documentOf(3), ...documentOf(1)])).toBe(0);
		index.discardEngine(ENGINE);
		expect(index.cachedTokens(ENGINE, documentOf(1))).toBe(0);
	});

	// Parts without tokens never fill the memory of an engine.
	test('does not grow without bound when callers send parts without tokens', () => {
		const index = PrefixCacheIndex.create();
		for (let key = 0; key < 30_000; key++) {
			index.learnSizes([{ key, tokens: 0 }]);
			index.record(ENGINE, [key], MEMORY_TOKENS);
		}
		expect(index.cachedParts[0]?.parts.length).toBeLessThanOrEqual(10_000);
	});

	test('lists shared parts from the least to the most recently used one', () => {
		const index = indexAfter(3);
		index.record(ENGINE, [1], MEMORY_TOKENS);
		expect(index.cachedParts).toEqual([{ engine: ENGINE, parts: [2, 1] }]);
	});
});
