import { describe, expect, test } from '@jest/globals';
import { LAG_SAMPLE_INTERVAL_MS } from '../common/loadShedder.js';
import { RotationController } from '../common/rotationController.js';

const BALANCER_DELAY_MS = 2_000;

function neighboursWith(outOfRotation: number): () => readonly boolean[] {
	return () => Array.from({ length: 11 }, (_, index) => index < outOfRotation);
}

/** Updates the controller at each timer within a period. */
function updateFor(
	controller: RotationController,
	isOverloaded: boolean,
	[from, to]: readonly [number, number],
	neighboursOutOfRotation = 0,
): void {
	for (let now = from; now < to; now += LAG_SAMPLE_INTERVAL_MS) {
		controller.update(isOverloaded, neighboursWith(neighboursOutOfRotation), now);
	}
}

describe('RotationRelief', () => {
	test('a router that stays overloaded leaves the rotation, and returns when the overload has ended', () => {
		const controller = RotationController.create(BALANCER_DELAY_MS);
		updateFor(controller, true, [0, 1_000]);
		expect(controller.isRelieved).toBe(true);
		updateFor(controller, false, [1_000, 3_000]);
		expect(controller.isRelieved).toBe(true);
		updateFor(controller, false, [3_000, 5_000]);
		expect(controller.isRelieved).toBe(false);
	});

	test('a short peak changes nothing', () => {
		const controller = RotationController.create(BALANCER_DELAY_MS);
		updateFor(controller, true, [0, 150]);
		updateFor(controller, false, [150, 300]);
		updateFor(controller, true, [300, 450]);
		expect(controller.isRelieved).toBe(false);
	});

	// With all routers out of rotation, the load balancer would use all of them again.
	test('a router stays in rotation when a quarter of its failure domain is out of it', () => {
		const controller = RotationController.create(BALANCER_DELAY_MS);
		updateFor(controller, true, [0, 5_000], 3);
		expect(controller.isRelieved).toBe(false);
		updateFor(controller, true, [5_000, 5_100], 2);
		expect(controller.isRelieved).toBe(true);
	});

	// Guards against immediate retries, which reach the same router and double its load.
	test('callers retry after the load balancer has detected the change, and not simultaneously', () => {
		const controller = RotationController.create(BALANCER_DELAY_MS);
		updateFor(controller, true, [0, 250]);
		const retryTimes = [0, 0.5, 1].map((random) => 250 + controller.retryAfterMs(250, random));
		expect(Math.min(...retryTimes)).toBeGreaterThanOrEqual(200 + BALANCER_DELAY_MS);
		expect(new Set(retryTimes).size).toBe(3);
		expect(controller.retryAfterMs(200 + BALANCER_DELAY_MS, 0)).toBeLessThan(100);
	});
});
