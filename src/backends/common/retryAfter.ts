const MILLISECONDS_PER_SECOND = 1_000;

/** A server that asks for more is asked again after this time: its operators have replaced it, or the value is an error. */
const LONGEST_MS = 600_000;

const SECONDS = /^\d{1,12}(\.\d+)?$/;

/** `Sun, 06 Nov 1994 08:49:37 GMT` (RFC 9110), the only form of a date that is sent today. */
const DATE = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;

/**
 * Reads the header `Retry-After`. Of several values the longest counts.
 *
 * @param header as it arrived
 * @param unixMs time of day, to which a date is compared
 * @returns milliseconds, 0 for a date in the past; undefined when no value can be read
 */
export function parseRetryAfter(header: string | readonly string[], unixMs: number): number | undefined {
	const values = typeof header === 'string' ? splitValues(header) : header.flatMap(splitValues);
	const delays = values.flatMap((value) => delayOf(value, unixMs) ?? []);
	return delays.length === 0 ? undefined : Math.min(LONGEST_MS, Math.max(...delays));
}

function delayOf(value: string, unixMs: number): number | undefined {
	if (SECONDS.test(value)) {
		return Number(value) * MILLISECONDS_PER_SECOND;
	}
	const at = DATE.test(value) ? Date.parse(value) : NaN;
	return Number.isNaN(at) ? undefined : Math.max(0, at - unixMs);
}

// A header that was sent twice is joined by commas, and a date has a comma of its own.
function splitValues(text: string): readonly string[] {
	return text.split(/,(?!\s\d{2}\s[A-Z])/).map((value) => value.trim());
}
