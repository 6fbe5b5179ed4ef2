/** Header fields as received, with names in lower case. */
export type HeaderFields = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Hop-by-hop headers of requests and responses (RFC 9110). */
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
 * Handover header: marks a request that another router has handed over. Its value holds the milliseconds that the
 * request spent at that router. Such a request is not handed over again.
 */
export const HANDOVER_HEADER = 'masticloom-handed-over';

/** Response header which states that the request was not started. */
export const NOT_STARTED_HEADER = 'masticloom-not-started';

/** Request headers that a router does not forward: hop-by-hop headers, and those that it handles or sets itself. */
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
 * @param headers headers of a request
 * @returns names that its header `connection` lists as hop-by-hop
 */
function connectionTokens({ connection }: HeaderFields): ReadonlySet<string> {
	if (typeof connection !== 'string' || connection === 'keep-alive' || connection === 'close') {
		return NO_NAMES;
	}
	return new Set(connection.split(',').map((token) => token.trim().toLowerCase()));
}

/**
 * @param headers headers of a request
 * @param isDropped whether the header of this name is not forwarded
 * @returns the other headers, without those that the request lists as hop-by-hop
 */
export function selectForwardedHeaders(
	headers: HeaderFields,
	isDropped: (name: string) => boolean,
): Record<string, string | readonly string[]> {
	const forwarded: Record<string, string | readonly string[]> = {};
	const connectionNames = connectionTokens(headers);
	for (const name in headers) {
		const value = headers[name];
		if (value !== undefined && !isDropped(name) && !connectionNames.has(name)) {
			forwarded[name] = value;
		}
	}
	return forwarded;
}
