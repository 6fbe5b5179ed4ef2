import { createRandom, type RequestSource } from './workload.js';

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
export function drawArrivalTimes(seed: number, source: RequestSource, durationMs: number): readonly number[] {
	const random = createRandom(seed + ARRIVAL_SEED_OFFSET, source);
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

// The requests of a closed loop begin within this time, in random order, so that no account fills all slots only
// because its requests are the first in the list.
const RAMP_MS = 300;

/**
 * Draws the times at which the requests of a closed-loop source begin.
 *
 * @param seed seed of the run
 * @param source a source without a rate
 * @returns one time for each request in progress, in milliseconds from the start of the load
 */
export function drawClosedLoopStarts(seed: number, source: RequestSource): readonly number[] {
	const random = createRandom(seed + ARRIVAL_SEED_OFFSET, source);
	return Array.from({ length: source.inProgress }, () => (source.fromMs ?? 0) + RAMP_MS * random());
}
