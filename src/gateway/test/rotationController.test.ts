import { describe, expect, test } from '@jest/globals';
import { LAG_SAMPLE_INTERVAL_MS } from '../common/loadShedder.js';
import { RotationController } from '../common/rotationController.js';

const BALANCER_DELAY_MS = 2_000;

function neighboursWith(relieved: number): () => readonly boolean[] {
	return () => Array.from({ length: 11 }, (_, index) => index < relieved);
}

/** Updates at each timer from one time to another. */
function updateFor(
	relief: RotationController,
	isExhausted: boolean,
	[from, to]: readonly [number, number],
	relievedNeighbours = 0,
): void {
	for (let now = from; now < to; now += LAG_SAMPLE_INTERVAL_MS) {
		relief.update(isExhausted, neighboursWith(relievedNeighbours), now);
	}
}

describe('RotationRelief', () => {
	test('a router that stays exhausted leaves the rotation, and comes back when it has room', () => {
		const relief = RotationController.create(BALANCER_DELAY_MS);
		updateFor(relief, true, [0, 1_000]);
		expect(relief.isRelieved).toBe(true);
		updateFor(relief, false, [1_000, 3_000]);
		expect(relief.isRelieved).toBe(true);
		updateFor(relief, false, [3_000, 5_000]);
		expect(relief.isRelieved).toBe(false);
	});

	test('a short peak changes nothing', () => {
		const relief = RotationController.create(BALANCER_DELAY_MS);
		updateFor(relief, true, [0, 150]);
		updateFor(relief, false, [150, 300]);
		updateFor(relief, true, [300, 450]);
		expect(relief.isRelieved).toBe(false);
	});

	// With all routers out of the rotation, the balancer would use all of them again.
	test('a router stays in the rotation when a quarter of its failure domain has left it', () => {
		const relief = RotationController.create(BALANCER_DELAY_MS);
		updateFor(relief, true, [0, 5_000], 3);
		expect(relief.isRelieved).toBe(false);
		updateFor(relief, true, [5_000, 5_100], 2);
		expect(relief.isRelieved).toBe(true);
	});

	// A refused caller that came back at once met the same router, whose load it doubled.
	test('callers return when the balancer has noticed, and not together', () => {
		const relief = RotationController.create(BALANCER_DELAY_MS);
		updateFor(relief, true, [0, 250]);
		const returns = [0, 0.5, 1].map((random) => 250 + relief.retryAfterMs(250, random));
		expect(Math.min(...returns)).toBeGreaterThanOrEqual(200 + BALANCER_DELAY_MS);
		expect(new Set(returns).size).toBe(3);
		expect(relief.retryAfterMs(200 + BALANCER_DELAY_MS, 0)).toBeLessThan(100);
	});
});
