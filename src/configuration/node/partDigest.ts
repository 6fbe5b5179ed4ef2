import { createHash } from 'node:crypto';

// 128 bits keep the head small, which every router reads on each change. Only operators write parts, so deliberate
// collisions are not a concern.
const DIGEST_BYTES = 16;

/**
 * Computes the digest that identifies the text of a part.
 *
 * @param text text of a configuration part
 * @returns the first 128 bits of its SHA-256 digest in base64url
 */
export function partDigest(text: string): string {
	return createHash('sha256').update(text).digest().subarray(0, DIGEST_BYTES).toString('base64url');
}
