import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** One account's requests at one router. */
export interface RequestSource {
	/** Index of the account. */
	readonly account: number;
	/** Index of the router. */
	readonly router: number;
	/** Requests kept in progress (closed loop); 0 with a rate. */
	readonly inProgress: number;
	/** Mean arrivals per second with exponential gaps, independent of answers (open loop). */
	readonly ratePerSecond?: number;
	/** Start of the activity in milliseconds from the start of the load; 0 when absent. */
	readonly fromMs?: number;
	/** End of the activity in milliseconds from the start of the load; the end of the load when absent. */
	readonly untilMs?: number;
}

/** Range of request costs in cost units, drawn log-uniformly. */
export interface CostRange {
	readonly least: number;
	readonly largest: number;
}

// Multipliers that keep the seeds of neighbouring accounts and routers apart.
const ACCOUNT_SEED_STEP = 1_000_003;
const ROUTER_SEED_STEP = 7_919;

/**
 * Creates the random numbers of one source.
 *
 * @param seed seed of the run
 * @param source the source, whose account and router select the sequence
 * @returns a function that draws the next number from 0 (included) to 1 (excluded)
 */
export function createRandom(seed: number, source: Pick<RequestSource, 'account' | 'router'>): () => number {
	const generator = xoroshiro128plus(seed + source.account * ACCOUNT_SEED_STEP + source.router * ROUTER_SEED_STEP);
	return () => uniformFloat64(generator);
}

/**
 * Draws a whole-numbered cost, log-uniformly distributed over the range.
 *
 * @param range the range, both ends included
 * @param random draws a number from 0 to 1
 * @returns the cost in cost units
 */
export function drawCost(range: CostRange, random: () => number): number {
	const cost = range.least * Math.pow((range.largest + 1) / range.least, random());
	return Math.min(range.largest, Math.floor(cost));
}

/**
 * Computes the mean of the costs that {@link drawCost} draws.
 *
 * @param range the range of costs
 * @returns the mean in cost units
 */
export function meanCost(range: CostRange): number {
	const logarithm = Math.log((range.largest + 1) / range.least);
	let mean = 0;
	for (let cost = range.least; cost <= range.largest; cost++) {
		mean += (cost * Math.log((cost + 1) / cost)) / logarithm;
	}
	return mean;
}
