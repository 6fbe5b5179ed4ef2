/** What the router that hands a request over tells the one that runs it. */
export interface HandoverHeader {
	/** Milliseconds since the request arrived there. */
	readonly elapsedMs: number;
	/** Version of the configuration there. A router with an older one must not run the request. */
	readonly configurationVersion: number;
}

/**
 * @param mark of a request that is handed over
 * @returns value of its header
 */
export function encodeHandoverHeader({ elapsedMs, configurationVersion }: HandoverHeader): string {
	return `${Math.max(0, Math.round(elapsedMs))};${configurationVersion}`;
}

/**
 * @param text value of the header, as it arrived
 * @returns the mark; undefined when there is none or it cannot be read
 */
export function decodeHandoverHeader(text: unknown): HandoverHeader | undefined {
	const parts = typeof text === 'string' ? /^(\d{1,9});(\d{1,15})$/.exec(text) : null;
	return parts === null ? undefined : { elapsedMs: Number(parts[1]), configurationVersion: Number(parts[2]) };
}
