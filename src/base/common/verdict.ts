/**
 * Whether a request may have run on a backend server.
 *
 * - `not-run`: no backend server started it; it is safe to send it again.
 * - `may-have-run`: a backend server may have started it; only idempotent requests are safe to send again.
 * - `completed`: a backend server ran it and its complete response was received.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'completed';

/**
 * Combines the verdicts of successive attempts at one request.
 *
 * @param first verdict of the earlier attempts
 * @param second verdict of the latest attempt
 * @returns the verdict of the request
 */
export function combineVerdicts(first: Verdict, second: Verdict): Verdict {
	if (second === 'completed' || first === 'not-run') {
		return second;
	}
	return first;
}
