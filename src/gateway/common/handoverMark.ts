/** Contents of the header that a router adds to a request that it hands over to another router. */
export interface HandoverHeader {
	/** Milliseconds since the request arrived at the router that hands it over. */
	readonly elapsedMs: number;
	/** Configuration version of that router. A router with an older version must not run the request. */
	readonly configurationVersion: number;
}

/**
 * @param header contents of the header
 * @returns value of the header
 */
export function encodeHandoverHeader({ elapsedMs, configurationVersion }: HandoverHeader): string {
	return `${Math.max(0, Math.round(elapsedMs))};${configurationVersion}`;
}

/**
 * @param text value of the header as received
 * @returns contents of the header; undefined when it is missing or malformed
 */
export function decodeHandoverHeader(text: unknown): HandoverHeader | undefined {
	const parts = typeof text === 'string' ? /^(\d{1,9});(\d{1,15})$/.exec(text) : null;
	return parts === null ? undefined : { elapsedMs: Number(parts[1]), configurationVersion: Number(parts[2]) };
}
