import type { IngressFields } from './ingress.js';

/** Cost units of a generated token; a prompt token costs 1. Generating a token takes as long as the prefill of two. */
const GENERATED_TOKEN_COST = 2;

/** Expected fraction of the maximum output, which callers specify, when the request has no estimate. */
const EXPECTED_OUTPUT_FRACTION = 0.5;

/**
 * @param fields properties of a request
 * @returns expected work of the request for an engine, in cost units; 0 for a request to a plain service
 */
export function requestCost(fields: IngressFields): number {
	const { promptTokens, expectedOutputTokens, maximumOutputTokens } = fields;
	const outputTokens = expectedOutputTokens ?? maximumOutputTokens * EXPECTED_OUTPUT_FRACTION;
	return promptTokens + GENERATED_TOKEN_COST * outputTokens;
}
