import { createHash } from 'node:crypto';

// 128 bits keep the head small, which every router reads on each change; only operators write parts, so nobody gains
// from looking for two parts with the same digest.
const DIGEST_BYTES = 16;

/**
 * @param text text of a configuration part
 * @returns the first 128 bits of its SHA-256 digest in base64url
 */
export function partDigest(text: string): string {
	return createHash('sha256').update(text).digest().subarray(0, DIGEST_BYTES).toString('base64url');
}
