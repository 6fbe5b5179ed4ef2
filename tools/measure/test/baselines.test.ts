import { describe, expect, test } from '@jest/globals';
import { computeNaive, computeOracle, type BaselineOptions } from '../baselines.js';
import { drawCost, meanCost, createRandom } from '../../load/workload.js';

// Account 0 has its entire backlog on router 0; the other three are backlogged on one router each.
function skewedOptions(): BaselineOptions {
	const sources = [0, 1, 2, 3].map((account) => ({ account, router: account === 0 ? 0 : account % 3, inProgress: 8 }));
	return {
		seed: 5,
		shares: [1, 1, 1, 1],
		sources,
		costs: { least: 1, largest: 100 },
		slots: 12,
		routers: 3,
		ratePerMs: 0.1,
		durationMs: 60_000,
	};
}

describe('baselines', () => {
	// Guards against an oracle that ignores shares, since every measured gap is compared with it.
	test('the oracle divides service in proportion to shares', () => {
		const result = computeOracle({ ...skewedOptions(), shares: [4, 2, 1, 1], sources: skewedOptions().sources });
		const total = result.service.reduce((sum, one) => sum + one, 0);
		// The requests start within the first 300 ms, so at most the service of that period is missing.
		expect(total).toBeLessThanOrEqual(12 * 0.1 * 60_000 + 1e-6);
		expect(total).toBeGreaterThan(12 * 0.1 * 59_700);
		expect((result.service[0] ?? 0) / total).toBeCloseTo(1 / 2, 1);
		expect((result.service[1] ?? 0) / total).toBeCloseTo(1 / 4, 1);
		expect(result.utilisation).toBeCloseTo(1, 9);
	});

	// Guards against a naive baseline that shares slots between routers, which would make its gap too small.
	test('the gap of the naive fleet grows with time, that of the oracle does not', () => {
		const short = { ...skewedOptions(), durationMs: 30_000 };
		expect(computeNaive(skewedOptions()).gap).toBeGreaterThan(1.7 * computeNaive(short).gap);
		expect(computeOracle(skewedOptions()).gap).toBeLessThan(400);
		expect(computeNaive(skewedOptions()).gap).toBeGreaterThan(10 * computeOracle(skewedOptions()).gap);
	});

	// Guards against a utilisation that ignores the idle slots of routers without requests, here two of three.
	test('the naive fleet leaves the slots of other routers idle', () => {
		const sources = [{ account: 0, router: 0, inProgress: 20 }];
		expect(computeNaive({ ...skewedOptions(), sources }).utilisation).toBeCloseTo(1 / 3, 9);
		expect(computeOracle({ ...skewedOptions(), sources }).utilisation).toBeCloseTo(1, 9);
	});

	// Guards against credit for idle time: an account that becomes active late must not catch up on missed service.
	test('an account that was idle starts at the floor', () => {
		const sources = [
			{ account: 0, router: 0, inProgress: 20 },
			{ account: 1, router: 0, inProgress: 20, fromMs: 30_000 },
		];
		const { service } = computeOracle({ ...skewedOptions(), shares: [1, 1], sources });
		expect((service[1] ?? 0) / (service[0] ?? 1)).toBeCloseTo(1 / 3, 1);
	});
});

describe('costs', () => {
	// Guards against a mean that differs from the drawn costs, since the bound and the load depend on it.
	test('the computed mean is the mean of the draws', () => {
		const range = { least: 1, largest: 100 };
		const random = createRandom(1, { account: 0, router: 0 });
		const draws = Array.from({ length: 100_000 }, () => drawCost(range, random));
		const mean = draws.reduce((sum, cost) => sum + cost, 0) / draws.length;
		expect(mean / meanCost(range)).toBeCloseTo(1, 1);
		expect(Math.min(...draws)).toBe(1);
		expect(Math.max(...draws)).toBe(100);
	});
});
