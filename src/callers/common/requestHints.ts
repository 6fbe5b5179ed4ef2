import type { HeaderFields } from '../../base/common/headerFields.js';

const MAXIMUM_KEY_CHARACTERS = 255;
const MAXIMUM_DEADLINE_MS = 24 * 3_600_000;
const WHOLE_NUMBER = /^\d{1,15}$/;
const POSITIVE_NUMBER = /^\d{1,15}(?:\.\d{1,15})?$/;

/** Optional request headers that influence the dispatch of a request. */
export interface RequestHints {
	readonly idempotencyKey: string | undefined;
	readonly deadlineMs: number | undefined;
	readonly costHint: number | undefined;
}

/**
 * Parses `Idempotency-Key`, `Masticloom-Deadline-Ms` and `Masticloom-Cost-Hint`.
 *
 * @param headers headers of the request
 * @returns the hints, or an error message
 */
export function parseHints(headers: HeaderFields): RequestHints | string {
	const idempotencyKey = headers['idempotency-key'];
	if (idempotencyKey !== undefined && !isKey(idempotencyKey)) {
		return `Idempotency-Key must have 1 to ${MAXIMUM_KEY_CHARACTERS} characters.`;
	}
	const deadline = headers['masticloom-deadline-ms'];
	if (deadline !== undefined && !matches(deadline, WHOLE_NUMBER)) {
		return 'Masticloom-Deadline-Ms must be a whole number of milliseconds.';
	}
	const cost = headers['masticloom-cost-hint'];
	if (cost !== undefined && !matches(cost, POSITIVE_NUMBER)) {
		return 'Masticloom-Cost-Hint must be a positive number.';
	}
	return {
		idempotencyKey: idempotencyKey as string | undefined,
		deadlineMs: deadline === undefined ? undefined : Math.min(Number(deadline), MAXIMUM_DEADLINE_MS),
		costHint: cost === undefined ? undefined : Number(cost),
	};
}

function isKey(value: string | readonly string[]): boolean {
	return typeof value === 'string' && value.length >= 1 && value.length <= MAXIMUM_KEY_CHARACTERS;
}

function matches(value: string | readonly string[], pattern: RegExp): boolean {
	return typeof value === 'string' && pattern.test(value);
}
