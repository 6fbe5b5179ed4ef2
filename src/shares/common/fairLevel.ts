/**
 * Computes the max-min fair level of a capacity: no account gets more than it requests, and capacity that accounts with
 * small demands leave unused is divided equally among the rest.
 *
 * @param demands requested amount of each account
 * @param capacity available amount, in the same unit
 * @returns the largest amount that any account gets; infinite when all demands fit
 */
export function fairLevel(demands: readonly number[], capacity: number): number {
	const ascending = [...demands].sort((one, other) => one - other);
	let remaining = capacity;
	for (const [index, demand] of ascending.entries()) {
		const level = remaining / (ascending.length - index);
		if (demand > level) {
			return level;
		}
		remaining -= demand;
	}
	return Infinity;
}
