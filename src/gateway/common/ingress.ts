import type { HeaderFields } from '../../base/common/headerFields.js';
import type { PromptPart } from '../../engines/common/prefixCacheIndex.js';

/** Stream that a caller takes up again after it was broken off. */
export interface StreamResumption {
	/** Identifier of the attempt that brought the first event of the stream; undefined when the caller names none. */
	readonly firstAttempt: string | undefined;
	/** Identifier of the last event that the caller has received; undefined when absent. */
	readonly lastEventId: string | undefined;
}

/** Properties of a request, decoded from the caller's headers. */
export interface IngressFields {
	/** Request identifier set by the caller; empty when absent. */
	readonly id: string;
	readonly key: string | undefined;
	/** Milliseconds that the caller waits; undefined when the request has no deadline. */
	readonly deadlineMs: number | undefined;
	/** Parts of the prompt in order; the last one is specific to the request or its session. */
	readonly parts: readonly PromptPart[];
	readonly promptTokens: number;
	readonly maximumOutputTokens: number;
	/** The caller's estimate of the output, in tokens; undefined when absent. */
	readonly expectedOutputTokens: number | undefined;
	/** Stream of an earlier attempt that the request continues; undefined for a request that begins anew. */
	readonly resumption: StreamResumption | undefined;
}

/** Values for the headers of a request to a backend server. */
export interface EgressFields {
	readonly server: string;
	readonly account: string | undefined;
	/** Milliseconds that the caller still waits. */
	readonly deadlineLeftMs: number | undefined;
	/** Identifier of the event after which the stream resumes; undefined to pass on the caller's value. */
	readonly resumeAfter: string | undefined;
}

/** Decodes and encodes the request headers that a platform defines. */
export interface IHeaderCodec {
	/**
	 * @param headers of a caller's request
	 * @returns properties of the request
	 */
	decode(headers: HeaderFields): IngressFields;
	/**
	 * @param authorization value of the header that identifies the account; undefined when absent
	 * @returns the key of the account; undefined when there is none
	 */
	decodeKey(authorization: string | undefined): string | undefined;
	/**
	 * @param headers of a caller's request
	 * @param egress values to set
	 * @returns headers for the backend server, without hop-by-hop headers
	 */
	encode(headers: HeaderFields, egress: EgressFields): Record<string, string | readonly string[]>;
	/** Header with the request identifier in responses that the router itself generates. */
	readonly requestIdHeader: string;
	/** Headers that a request may have only once, or several times with the same value. */
	readonly singleHeaders: readonly string[];
	/** Headers that a request cannot list as hop-by-hop. */
	readonly endToEndHeaders: ReadonlySet<string>;
}

/**
 * @param fields properties of a request
 * @returns short keys of the prompt parts that other requests may share
 */
export function sharedPartKeys({ parts }: IngressFields): readonly number[] {
	return parts.slice(0, -1).map(({ key }) => key);
}
