import {
	type HeaderFields,
	selectForwardedHeaders,
	REQUEST_HEADERS_NOT_FORWARDED,
} from '../../base/common/headerFields.js';

const DROPPED: ReadonlySet<string> = new Set(REQUEST_HEADERS_NOT_FORWARDED);

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
	const forwarded = selectForwardedHeaders(headers, (name) => DROPPED.has(name) || name.startsWith(OWN_PREFIX));
	if (isModelEngine) {
		delete forwarded['accept-encoding'];
	}
	forwarded['masticloom-request-id'] = requestId;
	return forwarded;
}
