import { createHash } from 'node:crypto';

/** Parts of a request that identify it. */
export interface IdentifiedRequest {
	readonly account: { readonly id: string };
	readonly service: { readonly id: string };
	readonly request: { readonly method: string; readonly path: string; readonly body: Uint8Array };
}

/** Size of the fingerprints exchanged by peers. With 128 bits, collisions do not occur in practice. */
const FINGERPRINT_BYTES = 16;

/**
 * Computes a fingerprint of account, service, method, path and body, which identifies a request that may crash backend
 * servers.
 *
 * @param request any request
 * @returns hexadecimal fingerprint
 */
export function computeFingerprint(request: IdentifiedRequest): string {
	const digest = digestOf(request, request.account.id);
	return digest.subarray(0, FINGERPRINT_BYTES).toString('hex');
}

/**
 * Computes a digest that identifies the request for which an idempotency key was used.
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
