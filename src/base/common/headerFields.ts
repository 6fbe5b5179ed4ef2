/** Header fields as they arrived, with names in lower case. */
export type HeaderFields = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Headers that concern one connection only (RFC 9110), in both directions. */
export const CONNECTION_HEADERS = [
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
] as const;

/**
 * Marks a request that another router has handed over, with the milliseconds for which that router had it. Such a request
 * is not handed over again.
 */
export const HANDOVER_HEADER = 'masticloom-handed-over';

/** Says in an answer that the request was not started. */
export const NOT_STARTED_HEADER = 'masticloom-not-started';

/** Headers of a request that a router does not pass on: those of one connection, and those it answers or sets itself. */
export const REQUEST_HEADERS_NOT_FORWARDED = [
	...CONNECTION_HEADERS,
	'authorization',
	'content-length',
	'expect',
	HANDOVER_HEADER,
	'host',
	'proxy-authorization',
] as const;

const NO_NAMES: ReadonlySet<string> = new Set();

/**
 * @param headers of a request
 * @returns names that its header `connection` ties to the connection
 */
function connectionTokens({ connection }: HeaderFields): ReadonlySet<string> {
	if (typeof connection !== 'string' || connection === 'keep-alive' || connection === 'close') {
		return NO_NAMES;
	}
	return new Set(connection.split(',').map((token) => token.trim().toLowerCase()));
}

/**
 * @param headers of a request
 * @param isDropped tells whether a header is not passed on
 * @returns the other headers, without those that the request ties to its connection
 */
export function selectForwardedHeaders(
	headers: HeaderFields,
	isDropped: (name: string) => boolean,
): Record<string, string | readonly string[]> {
	const passed: Record<string, string | readonly string[]> = {};
	const connectionNames = connectionTokens(headers);
	for (const name in headers) {
		const value = headers[name];
		if (value !== undefined && !isDropped(name) && !connectionNames.has(name)) {
			passed[name] = value;
		}
	}
	return passed;
}
