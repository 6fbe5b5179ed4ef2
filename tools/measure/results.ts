/** The JSON object that a scenario prints as its last line; metrics that it does not measure are absent (design section 10). */
export interface Results {
	readonly scenario: string;
	readonly seed: number;
	readonly gap?: number;
	readonly gap_bound?: number;
	readonly gap_naive?: number;
	readonly gap_oracle?: number;
	readonly utilisation?: number;
	readonly utilisation_naive?: number;
	readonly idle_while_waiting_ms?: number;
	readonly control_bytes_per_node_s?: number;
	readonly control_cpu_percent?: number;
	readonly store_calls_s?: number;
	readonly requests?: number;
	readonly duplicates?: number;
	readonly false_not_run?: number;
	readonly wrong_or_cut_answers?: number;
	readonly lost?: number;
}

/** Result of a scenario. */
export interface ScenarioOutcome {
	readonly results: Results;
	/** Lines to print before the results. */
	readonly lines: readonly string[];
	/** Violated bounds; the command exits with 1 when there are any. */
	readonly broken: readonly string[];
}

/**
 * Rounds a value for printing.
 *
 * @param value the value
 * @param digits number of decimal places
 * @returns the rounded value
 */
export function round(value: number, digits = 1): number {
	return Number(value.toFixed(digits));
}

/**
 * Returns a percentile by the nearest-rank method.
 *
 * @param sorted values in ascending order
 * @param percent from 0 to 100
 * @returns the smallest value that at least this percentage of the values do not exceed; 0 without values
 */
export function percentile(sorted: readonly number[], percent: number): number {
	return sorted[Math.max(0, Math.ceil((sorted.length * percent) / 100) - 1)] ?? 0;
}
