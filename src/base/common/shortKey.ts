const FNV_OFFSET_HIGH = 0xcbf29ce4;
const FNV_OFFSET_LOW = 0x84222325;
const FNV_PRIME_LOW = 0x1b3;
const FNV_PRIME_SHIFT = 8; // The 64-bit FNV prime is 2^40 + 0x1b3; 2^40 shifts the low word into the high word by 8 bits.
const LOW_WORD = 0x1_0000_0000;
const HIGH_BITS_KEPT = 0xffff;
/** Spreads the first of two words, so that their sum depends on their order; odd, below 2^20 to stay exact. */
const LOW_WORD_ODD = 0x9e375;

/**
 * Hashes an identifier to 48 bits (64-bit FNV-1a, truncated), so that messages between routers carry 7 bytes in place
 * of a name. Two of 19,000 identifiers collide with a probability below one in a million; the configuration check
 * refuses such a pair.
 *
 * @param identifier any text
 * @returns a whole number below 2^48
 */
export function shortKey(identifier: string): number {
	let high = FNV_OFFSET_HIGH;
	let low = FNV_OFFSET_LOW;
	for (let index = 0; index < identifier.length; index++) {
		low = (low ^ identifier.charCodeAt(index)) >>> 0;
		const product = low * FNV_PRIME_LOW;
		const carry = Math.floor(product / LOW_WORD);
		high = (Math.imul(high, FNV_PRIME_LOW) + (low << FNV_PRIME_SHIFT) + carry) >>> 0;
		low = product >>> 0;
	}
	return (high & HIGH_BITS_KEPT) * LOW_WORD + low;
}

/**
 * Picks the member with the highest hash of key and member (rendezvous hashing): when a member leaves, only the keys it
 * held move.
 *
 * @param key what is placed
 * @param members candidates, without duplicates
 * @returns the chosen member, or undefined when there is none
 */
export function rendezvous(key: string, members: readonly string[]): string | undefined {
	return highestWeightMember(members, (member) => mix(shortKey(`${member}/${key}`)));
}

/**
 * @param members candidates, without duplicates
 * @param weightOf weight of a member, 0 or more
 * @returns the member with the highest weight, or undefined when there is none; the same one in any order of the members
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
 * Weighs a pair of short keys for rendezvous hashing; the highest weight wins.
 *
 * @param one short key of what is placed
 * @param other short key of a member
 * @returns a whole number that depends on both
 */
export function rendezvousWeight(one: number, other: number): number {
	return mix(mix(one) * LOW_WORD_ODD + mix(other));
}

// FNV-1a alone leaves names that differ in one trailing digit with similar high bits, which skews the placement.
function mix(value: number): number {
	let word = ((value % LOW_WORD) ^ Math.floor(value / LOW_WORD)) >>> 0;
	word = Math.imul(word ^ (word >>> 16), 0x85ebca6b) >>> 0;
	word = Math.imul(word ^ (word >>> 13), 0xc2b2ae35) >>> 0;
	return (word ^ (word >>> 16)) >>> 0;
}
