import type { HeaderFields } from '../../base/common/headerFields.js';
import type { PromptPart } from '../../engines/common/prefixCacheIndex.js';

/** What a caller's header fields say of its request. */
export interface IngressFields {
	/** Identifier that the caller gave this attempt; empty when it gave none. */
	readonly id: string;
	readonly key: string | undefined;
	/** Milliseconds that the caller waits; undefined when it does not say. */
	readonly deadlineMs: number | undefined;
	/** Parts of the prompt in order; the last one belongs to the request or its session alone. */
	readonly parts: readonly PromptPart[];
	readonly promptTokens: number;
	readonly maximumOutputTokens: number;
	/** The caller's estimate of the output, in tokens. */
	readonly expectedOutputTokens: number | undefined;
}

/** Where and for whom a request goes out. */
export interface EgressFields {
	readonly server: string;
	readonly account: string | undefined;
	/** Milliseconds that the caller still waits. */
	readonly deadlineLeftMs: number | undefined;
	/** Continues a stream after this event; undefined to pass on what the caller sent. */
	readonly resumeAfter: string | undefined;
}

/** Reads and writes the header fields that a platform defines. */
export interface IHeaderCodec {
	/**
	 * @param headers of a caller's request
	 * @returns what they say
	 */
	decode(headers: HeaderFields): IngressFields;
	/**
	 * @param headers of a caller's request
	 * @param egress where and for whom it goes out
	 * @returns headers for the backend server, without those that concern one connection only
	 */
	encode(headers: HeaderFields, egress: EgressFields): Record<string, string | readonly string[]>;
	/** Header of own answers that names the request. */
	readonly requestIdHeader: string;
}
