import type { Service } from '../../configuration/common/model.js';

const TARGET = /^\/services\/([^/?#]+)(\/[^?#]*)?(\?[^#]*)?$/;

// Backend servers may resolve dot segments, including encoded ones, after this router has matched the path to an
// operation, and would then run an operation other than the matched one.
const DOT_SEGMENT = /(?:^|\/)(?:\.|%2e){1,2}(?:\/|$)/i;

// Node.js forwards these characters of a path unchanged.
const PRINTABLE = /^[\x21-\x7e]*$/;

const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);

/** Parsed target of a request. */
export interface RequestTarget {
	readonly service: string;
	/** Path below the service, starting with a slash. */
	readonly path: string;
	/** Empty, or a question mark and the query. */
	readonly query: string;
}

/**
 * @param url request target in origin form
 * @returns the parsed target; undefined when it names no service or its path is ambiguous
 */
export function parseTarget(url: string): RequestTarget | undefined {
	const match = TARGET.exec(url);
	const path = match?.[2] ?? '/';
	if (match?.[1] === undefined || DOT_SEGMENT.test(path) || !PRINTABLE.test(url)) {
		return undefined;
	}
	return { service: match[1], path, query: match[3] ?? '' };
}

/**
 * @param service requested service
 * @param method HTTP method
 * @param path path below the service, without the query
 * @returns whether the request is safe to send more than once
 */
export function isIdempotent(service: Service, method: string, path: string): boolean {
	const operation = service.operations.find(
		(item) =>
			item.method === method &&
			(item.path.endsWith('*') ? path.startsWith(item.path.slice(0, -1)) : path === item.path),
	);
	return operation?.idempotent ?? SAFE_METHODS.has(method);
}
