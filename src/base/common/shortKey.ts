const FNV_OFFSET_HIGH = 0xcbf29ce4;
const FNV_OFFSET_LOW = 0x84222325;
const FNV_PRIME_LOW = 0x1b3;
const FNV_PRIME_SHIFT = 8; // The 64-bit FNV prime is 2^40 + 0x1b3; 2^40 shifts the low word into the high word by 8 bits.
const WORD_RANGE = 0x1_0000_0000;
const HIGH_BITS_KEPT = 0xffff;
const HEXADECIMAL = 16;
/**
 * Multiplies the first of two words, so that their sum depends on their order. Odd, and below 2^20 so that the product is
 * exact.
 */
const PAIR_MULTIPLIER = 0x9e375;

/**
 * Hashes an identifier to 48 bits (64-bit FNV-1a, truncated), so that messages between routers carry 7 bytes instead of
 * a name. The probability that any two of 19,000 identifiers collide is below one in a million. The validation of a
 * configuration rejects such a pair.
 *
 * @param identifier any string
 * @returns an integer below 2^48
 */
export function shortKey(identifier: string): number {
	let high = FNV_OFFSET_HIGH;
	let low = FNV_OFFSET_LOW;
	for (let index = 0; index < identifier.length; index++) {
		low = (low ^ identifier.charCodeAt(index)) >>> 0;
		const product = low * FNV_PRIME_LOW;
		const carry = Math.floor(product / WORD_RANGE);
		high = (Math.imul(high, FNV_PRIME_LOW) + (low << FNV_PRIME_SHIFT) + carry) >>> 0;
		low = product >>> 0;
	}
	return (high & HIGH_BITS_KEPT) * WORD_RANGE + low;
}

/**
 * @param keys short keys
 * @returns the keys as hexadecimal numbers separated by spaces, for the log
 */
export function formatShortKeys(keys: readonly number[]): string {
	return keys.map((key) => key.toString(HEXADECIMAL)).join(' ');
}

/**
 * Selects the member with the highest hash of key and member (rendezvous hashing). When a member leaves, only its own
 * keys are reassigned.
 *
 * @param key key to assign
 * @param members candidates, without duplicates
 * @returns the selected member, or undefined when there is none
 */
export function rendezvous(key: string, members: readonly string[]): string | undefined {
	return highestWeightMember(members, (member) => mix(shortKey(`${member}/${key}`)));
}

/**
 * @param members candidates, without duplicates
 * @param weightOf returns the weight of a member, 0 or more
 * @returns the member with the highest weight, or undefined when there is none; independent of the order of the members
 */
export function highestWeightMember(
	members: readonly string[],
	weightOf: (member: string) => number,
): string | undefined {
	let best: string | undefined;
	let bestWeight = -1;
	for (const member of members) {
		const weight = weightOf(member);
		if (weight > bestWeight || (weight === bestWeight && best !== undefined && member > best)) {
			best = member;
			bestWeight = weight;
		}
	}
	return best;
}

/**
 * Computes the weight of a pair of short keys for rendezvous hashing; the member with the highest weight is selected.
 *
 * @param key short key of the key to assign
 * @param member short key of a member
 * @returns an integer that depends on both, and on their order
 */
export function rendezvousWeight(key: number, member: number): number {
	return mix(mix(key) * PAIR_MULTIPLIER + mix(member));
}

// With FNV-1a alone, names that differ only in a trailing digit get similar high bits, which skews the assignment.
function mix(value: number): number {
	let word = ((value % WORD_RANGE) ^ Math.floor(value / WORD_RANGE)) >>> 0;
	word = Math.imul(word ^ (word >>> 16), 0x85ebca6b) >>> 0;
	word = Math.imul(word ^ (word >>> 13), 0xc2b2ae35) >>> 0;
	return (word ^ (word >>> 16)) >>> 0;
}
