const STEP = 0x6d2b79f5;
const RANGE = 0x1_0000_0000;

/**
 * Creates a generator whose numbers depend on its seed only (mulberry32), so that a run with faults can be repeated.
 *
 * @param seed any whole number
 * @returns a function that returns the next number from 0 up to, but not including, 1
 */
export function seededRandom(seed: number): () => number {
	let state = seed >>> 0;
	return () => {
		state = (state + STEP) >>> 0;
		let word = Math.imul(state ^ (state >>> 15), state | 1);
		word ^= word + Math.imul(word ^ (word >>> 7), word | 61);
		return ((word ^ (word >>> 14)) >>> 0) / RANGE;
	};
}
