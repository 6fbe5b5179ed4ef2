import { Result } from 'true-myth';
import { decodeContent } from '../common/configurationSchema.js';
import type { Configuration } from '../common/model.js';

/**
 * @param configuration a configuration in force
 * @returns the form in which routers pass it to each other
 */
export function encodeDocument(configuration: Configuration): Uint8Array {
	const { accounts, backendServers, pools, services, version } = configuration;
	// Items were read from canonical text and keep its order of properties. The native function takes a tenth of the time
	// of canonicalJson, during which a router with 19,000 accounts does nothing else.
	return Buffer.from(JSON.stringify({ accounts, backendServers, pools, services, version }));
}

/**
 * @param document what a peer sent
 * @returns the configuration, or the reason why it cannot be used
 */
export function decodeDocument(document: Uint8Array): Result<Configuration, string> {
	let parsed: unknown;
	try {
		parsed = JSON.parse(Buffer.from(document).toString('utf8'));
	} catch {
		return Result.err('it is not JSON');
	}
	if (typeof parsed !== 'object' || parsed === null || !('version' in parsed)) {
		return Result.err('it has no version');
	}
	const { version, ...content } = parsed;
	if (!Number.isSafeInteger(version) || (version as number) < 1) {
		return Result.err('its version is not a positive whole number');
	}
	return decodeContent(content)
		.map((valid): Configuration => ({ version: version as number, ...valid }))
		.mapErr((faults) => `${faults[0]?.path ?? ''} ${faults[0]?.reason ?? ''}`);
}
