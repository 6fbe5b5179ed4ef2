import type { IngressFields } from './ingress.js';

/** A generated token takes as long as two that are read. */
const GENERATED_TOKEN_COST = 2;

/** Callers name the largest output; without an estimate, half of it is expected. */
const EXPECTED_PART_OF_OUTPUT = 0.5;

/**
 * @param fields of a request
 * @returns what it takes of the engines' capacity, in cost units; 0 for a request to a plain service
 */
export function requestCost(fields: IngressFields): number {
	const { promptTokens, expectedOutputTokens, maximumOutputTokens } = fields;
	const outputTokens = expectedOutputTokens ?? maximumOutputTokens * EXPECTED_PART_OF_OUTPUT;
	return promptTokens + GENERATED_TOKEN_COST * outputTokens;
}
