import { Result as EffectResult, Schema, SchemaIssue } from 'effect';
import { Result } from 'true-myth';
import { type ConfigurationFault, formatPath } from './configurationFault.js';
import type { ConfigurationContent } from './model.js';

// Identifiers appear in URLs, store keys and metric labels. These characters need no escaping in any of them.
const IDENTIFIER = /^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/;
const SHA_256 = /^[0-9a-f]{64}$/;
const METHOD = /^[A-Z]+$/;
const OPERATION_PATH = /^\/[^\s?#*]*\*?$/;

const MAXIMUM_SHARE = 1_000_000;
const MAXIMUM_SLOTS = 10_000;
const MAXIMUM_SLACK = 1_000;
const MAXIMUM_BODY_BYTES = 1_073_741_824;

const identifier = Schema.String.check(
	Schema.isPattern(IDENTIFIER, {
		message: 'must be 1 to 100 letters, digits, dots, hyphens or underscores and start with a letter or digit',
	}),
);

const account = Schema.Struct({
	id: identifier,
	share: Schema.Finite.check(
		Schema.isGreaterThanOrEqualTo(1, { message: 'must be at least 1' }),
		Schema.isLessThanOrEqualTo(MAXIMUM_SHARE, { message: `must be at most ${MAXIMUM_SHARE}` }),
	),
	tokenDigests: Schema.Array(
		Schema.String.check(Schema.isPattern(SHA_256, { message: 'must be a SHA-256 digest in 64 lower-case hex digits' })),
	),
	services: Schema.Array(identifier),
});

const operation = Schema.Struct({
	method: Schema.String.check(Schema.isPattern(METHOD, { message: 'must be an HTTP method in upper case' })),
	path: Schema.String.check(
		Schema.isPattern(OPERATION_PATH, { message: "must start with '/' and may end with '*', without query" }),
	),
	idempotent: Schema.Boolean,
});

const service = Schema.Struct({
	id: identifier,
	pool: identifier,
	kind: Schema.Literals(['model-engine', 'plain']),
	operations: Schema.Array(operation),
	resumable: Schema.Boolean,
	maximumBodyBytes: integerBetween(1, MAXIMUM_BODY_BYTES),
});

const pool = Schema.Struct({
	id: identifier,
	slack: Schema.Finite.check(
		Schema.isBetween({ minimum: 0, maximum: MAXIMUM_SLACK }, { message: `must be from 0 to ${MAXIMUM_SLACK}` }),
	),
});

const backendServer = Schema.Struct({
	id: identifier,
	pool: identifier,
	url: Schema.String,
	slots: integerBetween(1, MAXIMUM_SLOTS),
	checksFencing: Schema.Boolean,
});

const content = Schema.Struct({
	accounts: Schema.Array(account),
	services: Schema.Array(service),
	pools: Schema.Array(pool),
	backendServers: Schema.Array(backendServer),
});

const decode = Schema.decodeUnknownResult(content);
const formatIssues = SchemaIssue.makeFormatterStandardSchemaV1();

/**
 * Validates the structure of a configuration and the range of each value.
 *
 * @param input parsed JSON, not yet validated
 * @returns the content, or all faults with their paths
 */
export function decodeContent(input: unknown): Result<ConfigurationContent, readonly ConfigurationFault[]> {
	const decoded = decode(input, { errors: 'all', onExcessProperty: 'error' });
	if (EffectResult.isSuccess(decoded)) {
		return Result.ok(decoded.success);
	}
	const issues = formatIssues(decoded.failure.issue).issues;
	return Result.err(
		issues.map((issue) => ({
			path: formatPath((issue.path ?? []).map((segment) => (typeof segment === 'object' ? segment.key : segment))),
			reason: issue.message,
		})),
	);
}

function integerBetween(minimum: number, maximum: number) {
	return Schema.Finite.check(
		Schema.isInt({ message: 'must be a whole number' }),
		Schema.isBetween({ minimum, maximum }, { message: `must be from ${minimum} to ${maximum}` }),
	);
}
