import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { LeaseHarness } from './leaseHarness.js';

const SEED = 20_261;
const RUNS = 150;
const SETTLE_MS = 1_500;
const BACKENDS = [1, 2, 3];

type Step = (harness: LeaseHarness) => void;

const entryIndex = fc.nat(3);
const namedStep = (name: string, step: Step): Step => Object.assign(step, { toString: () => name });

const step: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 8,
		arbitrary: fc
			.tuple(entryIndex, fc.nat(4))
			.map(([index, account]) => namedStep(`submit ${index} ${account}`, (h) => h.submit(index, account))),
	},
	{
		weight: 6,
		arbitrary: fc
			.tuple(entryIndex, fc.integer({ min: 1, max: 100 }), fc.boolean())
			.map(([index, cost, failed]) => namedStep(`complete ${index}`, (h) => h.complete(index, cost, failed))),
	},
	{ weight: 2, arbitrary: entryIndex.map((index) => namedStep(`cancel ${index}`, (h) => h.cancel(index))) },
	{ weight: 4, arbitrary: fc.nat(30).map((ms) => namedStep(`wait ${ms}`, (h) => h.time.runFor(ms))) },
	{ weight: 4, arbitrary: fc.constant(namedStep('wait half a delay', (h) => h.time.runFor(0.5))) },
	{
		weight: 1,
		arbitrary: fc
			.tuple(fc.constantFrom(...BACKENDS), fc.nat(4))
			.map(([backend, limit]) => namedStep(`limit ${backend} ${limit}`, (h) => h.setLimit(backend, limit))),
	},
	{
		weight: 1,
		arbitrary: fc
			.tuple(entryIndex, fc.nat(100))
			.map(([index, ms]) => namedStep(`break ${index} ${ms}`, (h) => h.breakStream(index, ms))),
	},
	{ weight: 1, arbitrary: entryIndex.map((index) => namedStep(`restart ${index}`, (h) => h.restartEntry(index))) },
	{ weight: 1, arbitrary: fc.constant(namedStep('replace scheduler', (h) => h.replaceScheduler())) },
);

describe('slot leases', () => {
	// Guards against slots that are leased twice or lost when reports, grants, recalls, cancellations, limit changes,
	// broken streams, restarts of entries and changes of the scheduler come in any order.
	test('are neither lost nor granted twice', () => {
		fc.assert(
			fc.property(fc.array(step, { minLength: 20, maxLength: 120 }), (steps) => {
				const harness = new LeaseHarness(4, new Map(BACKENDS.map((backend) => [backend, 3])));
				harness.time.runFor(10);
				for (const run of steps) {
					run(harness);
				}
				harness.time.runFor(SETTLE_MS);
				harness.checkSettled();
				harness.completeAll();
				harness.time.runFor(SETTLE_MS);
				harness.checkSettled();
				expect(harness.violations).toEqual([]);
			}),
			{ seed: SEED, numRuns: RUNS },
		);
	});
});
