import type { HeaderFields } from '../../base/common/headerFields.js';

/** Headers that concern one connection only, or that the router sets itself. */
const DROPPED = new Set([
	'authorization',
	'connection',
	'content-length',
	'expect',
	'host',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
]);

const OWN_PREFIX = 'masticloom-';

/**
 * @param headers of the caller's request
 * @param requestId identifier that the router gave the request
 * @param isModelEngine the answer is a stream whose end the router looks for, so it must not be compressed
 * @returns headers for the backend server
 */
export function forwardedHeaders(
	headers: HeaderFields,
	requestId: string,
	isModelEngine: boolean,
): Record<string, string | readonly string[]> {
	const forwarded: Record<string, string | readonly string[]> = {};
	const listed = typeof headers.connection === 'string' ? connectionTokens(headers.connection) : undefined;
	for (const name in headers) {
		const value = headers[name];
		if (value === undefined || DROPPED.has(name) || name.startsWith(OWN_PREFIX) || listed?.has(name) === true) {
			continue;
		}
		forwarded[name] = value;
	}
	if (isModelEngine) {
		delete forwarded['accept-encoding'];
	}
	forwarded['masticloom-request-id'] = requestId;
	return forwarded;
}

function connectionTokens(value: string): ReadonlySet<string> | undefined {
	if (value === 'keep-alive' || value === 'close') {
		return undefined;
	}
	return new Set(value.split(',').map((token) => token.trim().toLowerCase()));
}
