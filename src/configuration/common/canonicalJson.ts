/**
 * Serializes a value as JSON with sorted property names and no white space, so that equal values have equal text.
 *
 * @param value plain data; properties that are undefined are left out
 * @returns the JSON text
 */
export function canonicalJson(value: unknown): string {
	if (Array.isArray(value)) {
		return `[${value.map(canonicalJson).join(',')}]`;
	}
	if (typeof value !== 'object' || value === null) {
		return JSON.stringify(value);
	}
	const members = Object.entries(value)
		.filter(([, member]) => member !== undefined)
		.sort(([left], [right]) => compareText(left, right))
		.map(([name, member]) => `${JSON.stringify(name)}:${canonicalJson(member)}`);
	return `{${members.join(',')}}`;
}

/** Compares two strings by UTF-16 code units, independently of the locale. */
export function compareText(left: string, right: string): number {
	return left < right ? -1 : left > right ? 1 : 0;
}
