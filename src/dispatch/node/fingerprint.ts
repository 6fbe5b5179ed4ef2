import { createHash } from 'node:crypto';
import type { DispatchRequest } from '../common/dispatchService.js';

/** Peers exchange fingerprints; 128 bits make collisions of different requests impossible in practice. */
const FINGERPRINT_BYTES = 16;

/**
 * Identifies a request that may crash backend servers, by its account, service, method, path and body.
 *
 * @param request any request
 * @returns hexadecimal fingerprint
 */
export function fingerprintOf(request: DispatchRequest): string {
	const digest = digestOf(request, request.account.id);
	return digest.subarray(0, FINGERPRINT_BYTES).toString('hex');
}

/**
 * Identifies what a key was used for.
 *
 * @param request a call with a key
 * @returns hexadecimal digest of service, method, path and body
 */
export function requestDigestOf(request: DispatchRequest): string {
	return digestOf(request, '').toString('hex');
}

function digestOf({ service, request }: DispatchRequest, prefix: string): Buffer {
	return createHash('sha256')
		.update(JSON.stringify([prefix, service.id, request.method, request.path]))
		.update(request.body)
		.digest();
}
