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

/** @returns fields without an entry; a field may have any name, also that of a property of all objects */
function createFields<V>(): Record<string, V> {
	return Object.create(null) as Record<string, V>;
}

/**
 * Collects the fields of a message as they were sent. Node.js joins the values of a repeated field, or keeps the first one.
 *
 * @param rawHeaders names and values in turn
 * @returns all fields, those that are repeated with a list of values in the order of their arrival
 */
export function collectFields(rawHeaders: readonly string[]): Readonly<Record<string, string | readonly string[]>> {
	const fields = createFields<string | string[]>();
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = (rawHeaders[index] ?? '').toLowerCase();
		const value = rawHeaders[index + 1] ?? '';
		const known = fields[name];
		if (known === undefined) {
			fields[name] = value;
		} else if (typeof known === 'string') {
			fields[name] = [known, value];
		} else {
			known.push(value);
		}
	}
	return fields;
}

/**
 * @param value of a field; undefined when the message does not have it
 * @returns its values, in the order of their arrival
 */
export function valuesOf(value: string | readonly string[] | undefined): readonly string[] {
	return value === undefined ? [] : typeof value === 'string' ? [value] : value;
}

/**
 * @param value of a field that a message may have only once
 * @returns the value, if the message has the field and does not repeat it with another value
 */
export function singleValue(value: string | readonly string[] | undefined): string | undefined {
	const [first, ...others] = valuesOf(value);
	return others.every((other) => other === first) ? first : undefined;
}

/**
 * Checks the transfer coding of a message. The parser of Node.js removes chunks and accepts other codings before them, which
 * a receiver would then not know of; without chunks it takes the message for one without a body, or to the end of the connection.
 *
 * @param headers headers of a message
 * @returns whether its body is as it was before any transfer coding, once the parser has removed the chunks
 */
export function isTransferCodingKnown({ 'transfer-encoding': codings }: HeaderFields): boolean {
	return codings === undefined || (typeof codings === 'string' && codings.toLowerCase() === 'chunked');
}

/**
 * @param headers headers of a message
 * @returns names that its header `connection` lists as hop-by-hop
 */
export function connectionOptions({ connection }: HeaderFields): ReadonlySet<string> {
	if (connection === undefined || connection === 'keep-alive' || connection === 'close') {
		return NO_NAMES;
	}
	const options = valuesOf(connection).flatMap((value) => value.split(','));
	return new Set(options.map((option) => option.trim().toLowerCase()));
}

/**
 * @param headers headers of a message
 * @param isDropped whether the header of this name is not forwarded
 * @param endToEnd headers that the receiver needs, so that no message can list them as hop-by-hop (RFC 9110, section 7.6.1)
 * @returns the other headers, without those that the message lists as hop-by-hop
 */
export function selectForwardedHeaders(
	headers: HeaderFields,
	isDropped: (name: string) => boolean,
	endToEnd: ReadonlySet<string> = NO_NAMES,
): Record<string, string | readonly string[]> {
	const forwarded = createFields<string | readonly string[]>();
	const hopByHop = connectionOptions(headers);
	for (const name in headers) {
		const value = headers[name];
		if (value !== undefined && !isDropped(name) && (!hopByHop.has(name) || endToEnd.has(name))) {
			forwarded[name] = value;
		}
	}
	return forwarded;
}
