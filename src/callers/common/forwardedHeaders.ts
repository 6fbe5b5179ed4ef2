import {
	type HeaderFields,
	selectForwardedHeaders,
	REQUEST_HEADERS_NOT_FORWARDED,
} from '../../base/common/headerFields.js';

const DROPPED: ReadonlySet<string> = new Set(REQUEST_HEADERS_NOT_FORWARDED);

const OWN_PREFIX = 'masticloom-';

/**
 * @param headers headers of the caller's request
 * @param requestId identifier that the router assigned to the request
 * @param isModelEngine whether the response is a stream, which must stay uncompressed so that its end can be detected
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
