import type { IngressFields } from './ingress.js';

/** Cost units of a generated token; a prompt token costs 1. Generating a token takes as long as the prefill of two. */
const GENERATED_TOKEN_COST = 2;

/** Expected fraction of the maximum output, which callers specify, when the request has no estimate. */
const EXPECTED_OUTPUT_FRACTION = 0.5;

/** Bytes that a generated token adds to a response: its text and its part of the frame of an event of about ten tokens. */
const BYTES_PER_GENERATED_TOKEN = 10;

/**
 * @param fields properties of a request
 * @returns expected work of the request for an engine, in cost units; 0 for a request to a plain service
 */
export function requestCost(fields: IngressFields): number {
	return fields.promptTokens + GENERATED_TOKEN_COST * expectedTokens(fields);
}

/**
 * @param fields properties of a request
 * @returns expected bytes of its response; 0 for a request to a plain service, whose responses are short
 */
export function expectedResponseBytes(fields: IngressFields): number {
	return BYTES_PER_GENERATED_TOKEN * expectedTokens(fields);
}

function expectedTokens({ expectedOutputTokens, maximumOutputTokens }: IngressFields): number {
	return expectedOutputTokens ?? maximumOutputTokens * EXPECTED_OUTPUT_FRACTION;
}
