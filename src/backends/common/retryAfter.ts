const MILLISECONDS_PER_SECOND = 1_000;

/** Maximum delay. A longer one is not honoured, since the server has been replaced by then or the value is an error. */
const MAXIMUM_DELAY_MS = 600_000;

const SECONDS_PATTERN = /^\d{1,12}(\.\d+)?$/;

/** `Sun, 06 Nov 1994 08:49:37 GMT` (RFC 9110), the only date format that is sent today. */
const DATE_PATTERN = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;

/**
 * Parses the header `Retry-After`. If there are several values, the longest delay applies.
 *
 * @param header value or values as received
 * @param unixMs current time in Unix milliseconds, which dates are compared to
 * @returns delay in milliseconds, 0 for a date in the past; undefined when no value can be parsed
 */
export function parseRetryAfter(header: string | readonly string[], unixMs: number): number | undefined {
	const values = typeof header === 'string' ? splitValues(header) : header.flatMap(splitValues);
	const delays = values.flatMap((value) => parseDelay(value, unixMs) ?? []);
	return delays.length === 0 ? undefined : Math.min(MAXIMUM_DELAY_MS, Math.max(...delays));
}

function parseDelay(value: string, unixMs: number): number | undefined {
	if (SECONDS_PATTERN.test(value)) {
		return Number(value) * MILLISECONDS_PER_SECOND;
	}
	const at = DATE_PATTERN.test(value) ? Date.parse(value) : NaN;
	return Number.isNaN(at) ? undefined : Math.max(0, at - unixMs);
}

// The values of a repeated header are joined by commas, and a date contains a comma itself.
function splitValues(text: string): readonly string[] {
	return text.split(/,(?!\s\d{2}\s[A-Z])/).map((value) => value.trim());
}
