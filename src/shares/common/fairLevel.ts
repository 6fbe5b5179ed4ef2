/**
 * Divides capacity among demands by max-min fairness: nobody gets more than it asks, and what small demands leave is
 * divided equally among the rest.
 *
 * @param demands what each account asks for
 * @param capacity what there is to give, in the same unit
 * @returns the most that one account gets; infinite when all demands fit
 */
export function fairLevel(demands: readonly number[], capacity: number): number {
	const ascending = [...demands].sort((one, other) => one - other);
	let left = capacity;
	for (const [index, demand] of ascending.entries()) {
		const level = left / (ascending.length - index);
		if (demand > level) {
			return level;
		}
		left -= demand;
	}
	return Infinity;
}
