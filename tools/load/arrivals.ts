import { randomOf, type Source } from './workload.js';

// Arrival times have a random sequence of their own, so that costs stay equal in all runs.
const ARRIVAL_SEED_OFFSET = 500_009;

/**
 * Draws the arrival times of an open-loop source.
 *
 * @param seed seed of the run
 * @param source a source with a rate
 * @param durationMs length of the load
 * @returns times in milliseconds from the start of the load, ascending
 */
export function arrivalTimes(seed: number, source: Source, durationMs: number): readonly number[] {
	const random = randomOf(seed + ARRIVAL_SEED_OFFSET, source);
	const until = Math.min(source.untilMs ?? durationMs, durationMs);
	const times: number[] = [];
	let at = source.fromMs ?? 0;
	for (;;) {
		at += (-Math.log(1 - random()) * 1000) / (source.ratePerSecond ?? 1);
		if (at >= until) {
			return times;
		}
		times.push(at);
	}
}
