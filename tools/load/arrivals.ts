import { createRandom, type RequestSource } from './workload.js';

// Arrival times use a separate random sequence, so that the sequence of costs depends on the seed only.
const ARRIVAL_SEED_OFFSET = 500_009;

/**
 * Draws the arrival times of an open-loop source, with exponentially distributed gaps.
 *
 * @param seed seed of the run
 * @param source a source with a rate
 * @param durationMs duration of the load in milliseconds
 * @returns times in milliseconds from the start of the load, ascending
 */
export function drawArrivalTimes(seed: number, source: RequestSource, durationMs: number): readonly number[] {
	const random = createRandom(seed + ARRIVAL_SEED_OFFSET, source);
	const endMs = Math.min(source.untilMs ?? durationMs, durationMs);
	const times: number[] = [];
	let atMs = source.fromMs ?? 0;
	for (;;) {
		atMs += (-Math.log(1 - random()) * 1000) / (source.ratePerSecond ?? 1);
		if (atMs >= endMs) {
			return times;
		}
		times.push(atMs);
	}
}

// The requests of a closed loop start at random times within this period. Otherwise the first source in the list would
// take all slots.
const RAMP_MS = 300;

/**
 * Draws the times at which a closed-loop source sends its first requests.
 *
 * @param seed seed of the run
 * @param source a source without a rate
 * @returns one time for each request in progress, in milliseconds from the start of the load
 */
export function drawClosedLoopStarts(seed: number, source: RequestSource): readonly number[] {
	const random = createRandom(seed + ARRIVAL_SEED_OFFSET, source);
	return Array.from({ length: source.inProgress }, () => (source.fromMs ?? 0) + RAMP_MS * random());
}
