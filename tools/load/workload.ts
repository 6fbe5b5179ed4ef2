import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** The requests that one account sends to one router. */
export interface RequestSource {
	/** Index of the account. */
	readonly account: number;
	/** Index of the router. */
	readonly router: number;
	/** Number of requests kept in progress (closed loop); 0 for a source with a rate. */
	readonly inProgress: number;
	/** Mean arrivals per second, with exponentially distributed gaps and independent of responses (open loop). */
	readonly ratePerSecond?: number;
	/** When the source starts, in milliseconds from the start of the load; 0 when absent. */
	readonly fromMs?: number;
	/** When the source ends, in milliseconds from the start of the load; at the end of the load when absent. */
	readonly untilMs?: number;
}

/** Range of request costs in cost units, both ends included. */
export interface CostRange {
	readonly least: number;
	readonly largest: number;
}

// Multipliers that give each pair of account and router a different seed.
const ACCOUNT_SEED_STEP = 1_000_003;
const ROUTER_SEED_STEP = 7_919;

/**
 * Creates the random number generator of a source.
 *
 * @param seed seed of the run
 * @param source the source, whose account and router select the sequence
 * @returns a function that returns the next number from 0 (included) to 1 (excluded)
 */
export function createRandom(seed: number, source: Pick<RequestSource, 'account' | 'router'>): () => number {
	const generator = xoroshiro128plus(seed + source.account * ACCOUNT_SEED_STEP + source.router * ROUTER_SEED_STEP);
	return () => uniformFloat64(generator);
}

/**
 * Draws an integer cost, log-uniformly distributed over the range.
 *
 * @param range the range of costs
 * @param random generator of numbers from 0 (included) to 1 (excluded)
 * @returns the cost in cost units
 */
export function drawCost(range: CostRange, random: () => number): number {
	const cost = range.least * Math.pow((range.largest + 1) / range.least, random());
	return Math.min(range.largest, Math.floor(cost));
}

/**
 * Computes the expected value of {@link drawCost}.
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
