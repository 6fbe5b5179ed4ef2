/** Load reported by a backend server. Reports may be delayed. */
export interface LoadReport {
	readonly running: number;
	readonly waiting: number;
	readonly draining: boolean;
}

const SAMPLE = /^(engine_requests_running|engine_requests_waiting|engine_draining)(?:\{[^}]*\})?\s+(\S+)/gm;

/**
 * Parses the load from metrics in the Prometheus text format. Samples of a metric with different labels are summed.
 *
 * @param text body of `GET /metrics`
 * @returns the load, or undefined when the text does not contain it
 */
export function parseLoadReport(text: string): LoadReport | undefined {
	const sums = new Map<string, number>();
	for (const [, name = '', value = ''] of text.matchAll(SAMPLE)) {
		const number = Number(value);
		if (Number.isFinite(number) && number >= 0) {
			sums.set(name, (sums.get(name) ?? 0) + number);
		}
	}
	if (sums.size === 0) {
		return undefined;
	}
	return {
		running: sums.get('engine_requests_running') ?? 0,
		waiting: sums.get('engine_requests_waiting') ?? 0,
		draining: (sums.get('engine_draining') ?? 0) > 0,
	};
}
