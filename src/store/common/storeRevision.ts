/**
 * Revisions of a store that may be restored from an older copy. Its counter then goes back, and its era, the number of
 * restores, rises. A revision is a whole number that contains both, so that any later content of the store has a higher
 * revision. Without restores it equals the counter.
 */
const COUNTER_LIMIT = 2 ** 40;

/** Revisions are exact as floating-point numbers below this era. */
const ERA_LIMIT = 2 ** 13;

/** Place of a change in the history of a store. */
export interface RevisionParts {
	readonly era: number;
	readonly counter: number;
}

/**
 * @param parts era and counter as the store names them
 * @returns the revision; undefined when one of them is not a whole number within its range
 */
export function toRevision({ era, counter }: RevisionParts): number | undefined {
	const isValid = isWholeBelow(era, ERA_LIMIT) && isWholeBelow(counter, COUNTER_LIMIT);
	return isValid ? era * COUNTER_LIMIT + counter : undefined;
}

/**
 * @param revision of a change or of a snapshot
 * @returns era and counter as the store names them
 */
export function splitRevision(revision: number): RevisionParts {
	return { era: Math.floor(revision / COUNTER_LIMIT), counter: revision % COUNTER_LIMIT };
}

/**
 * @param revision of a change or of a snapshot
 * @returns the number of times that the store had been restored
 */
export function eraOf(revision: number): number {
	return splitRevision(revision).era;
}

/**
 * @param revision of a change or of a snapshot, if known
 * @returns era and counter in readable form, for the log; undefined when the revision is not known
 */
export function formatRevision(revision: number | undefined): string | undefined {
	if (revision === undefined) {
		return undefined;
	}
	const { era, counter } = splitRevision(revision);
	return `${era}.${counter}`;
}

function isWholeBelow(value: number, limit: number): boolean {
	return Number.isInteger(value) && value >= 0 && value < limit;
}
