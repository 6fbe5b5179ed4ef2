import { describe, expect, test } from '@jest/globals';
import { type NeighbourLoad, RotationRelief } from '../common/rotationRelief.js';

const INTERVAL_MS = 250;

function neighboursWith(utilizations: readonly number[], relieved = 0): readonly NeighbourLoad[] {
	return utilizations.map((utilization, index) => ({ utilization, isRelieved: index < relieved }));
}

const IDLE = neighboursWith([0.1, 0.1, 0.1, 0.2, 0.2, 0.1, 0.1]);

/** Repeats one load until the given time and returns whether the router is out of the rotation then. */
function isRelievedAfter(
	relief: RotationRelief,
	load: { readonly utilization: number; readonly neighbours: readonly NeighbourLoad[] },
	from: number,
	to: number,
): boolean {
	for (let now = from; now <= to; now += INTERVAL_MS) {
		relief.update(load.utilization, load.neighbours, now);
	}
	return relief.isRelieved;
}

describe('RotationRelief', () => {
	// One router was given 900 requests a second, and could do 110, while 14 others of its failure domain got 5 each.
	test('a router that is exhausted while its neighbours are idle leaves the rotation', () => {
		const relief = RotationRelief.create();
		expect(isRelievedAfter(relief, { utilization: 1, neighbours: IDLE }, 0, 750)).toBe(false);
		expect(isRelievedAfter(relief, { utilization: 1, neighbours: IDLE }, 1_000, 1_500)).toBe(true);
	});

	// Routers that all leave the rotation under a load that all of them have only move it to and fro.
	test('a router stays when its neighbours are busy too', () => {
		const busy = neighboursWith([0.9, 0.9, 0.8, 0.7, 0.2, 0.9, 0.9]);
		expect(isRelievedAfter(RotationRelief.create(), { utilization: 1, neighbours: busy }, 0, 5_000)).toBe(false);
	});

	test('a router stays in a failure domain of few routers', () => {
		const few = neighboursWith([0.1, 0.1]);
		expect(isRelievedAfter(RotationRelief.create(), { utilization: 1, neighbours: few }, 0, 5_000)).toBe(false);
	});

	test('at most a quarter of the routers are out of the rotation', () => {
		const twoOut = neighboursWith([0.9, 0.9, 0.1, 0.1, 0.1, 0.1, 0.1], 2);
		expect(isRelievedAfter(RotationRelief.create(), { utilization: 1, neighbours: twoOut }, 0, 5_000)).toBe(false);
	});

	// A duty is missed when a router is not ready for an eighth of the time.
	test('a router is back after some seconds, and stays for longer than it was away', () => {
		const relief = RotationRelief.create();
		isRelievedAfter(relief, { utilization: 1, neighbours: IDLE }, 0, 1_500);
		expect(isRelievedAfter(relief, { utilization: 0.3, neighbours: IDLE }, 1_750, 4_500)).toBe(false);
		const load = { utilization: 1, neighbours: IDLE };
		let relievedMs = 0;
		for (let now = 5_000; now < 125_000; now += INTERVAL_MS) {
			relief.update(load.utilization, load.neighbours, now);
			relievedMs += relief.isRelieved ? INTERVAL_MS : 0;
		}
		expect(relievedMs).toBeGreaterThan(0);
		expect(relievedMs).toBeLessThan(120_000 / 8);
	});
});
