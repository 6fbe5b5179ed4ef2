/** The JSON object that a scenario prints as its last line; what it does not measure is absent (design section 10). */
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

/** A finished scenario. */
export interface ScenarioOutcome {
	readonly results: Results;
	/** Printed before the results. */
	readonly lines: readonly string[];
	/** Bounds that were broken; any makes the command exit with 1. */
	readonly broken: readonly string[];
}

/**
 * Rounds a figure for printing.
 *
 * @param value the figure
 * @param digits decimal places
 * @returns the rounded figure
 */
export function round(value: number, digits = 1): number {
	return Number(value.toFixed(digits));
}

/**
 * Reads a percentile.
 *
 * @param sorted figures in ascending order
 * @param percent from 0 to 100
 * @returns the figure that this part does not exceed; 0 without figures
 */
export function percentile(sorted: readonly number[], percent: number): number {
	return sorted[Math.max(0, Math.ceil((sorted.length * percent) / 100) - 1)] ?? 0;
}
