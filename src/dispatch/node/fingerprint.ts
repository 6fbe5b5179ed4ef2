import { createHash } from 'node:crypto';

/** What identifies a request. */
export interface IdentifiedRequest {
	readonly account: { readonly id: string };
	readonly service: { readonly id: string };
	readonly request: { readonly method: string; readonly path: string; readonly body: Uint8Array };
}

/** Peers exchange fingerprints; 128 bits make collisions of different requests impossible in practice. */
const FINGERPRINT_BYTES = 16;

/**
 * Identifies a request that may crash backend servers, by its account, service, method, path and body.
 *
 * @param request any request
 * @returns hexadecimal fingerprint
 */
export function computeFingerprint(request: IdentifiedRequest): string {
	const digest = digestOf(request, request.account.id);
	return digest.subarray(0, FINGERPRINT_BYTES).toString('hex');
}

/**
 * Identifies what a key was used for.
 *
 * @param request a call with a key
 * @returns hexadecimal digest of service, method, path and body
 */
export function computeRequestDigest(request: IdentifiedRequest): string {
	return digestOf(request, '').toString('hex');
}

function digestOf({ service, request }: IdentifiedRequest, prefix: string): Buffer {
	return createHash('sha256')
		.update(JSON.stringify([prefix, service.id, request.method, request.path]))
		.update(request.body)
		.digest();
}
