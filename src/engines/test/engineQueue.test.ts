import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { EngineQueue } from '../common/engineQueue.js';

const own = (sequence: number): { readonly router: string; readonly sequence: number } => ({
	router: 'router-1',
	sequence,
});

describe('EngineQueue', () => {
	test('a prompt waits for the work of all routers that was placed before it', () => {
		const queue = EngineQueue.create();
		queue.place(own(1), 1_000, 200);
		queue.place({ router: 'router-2', sequence: 1 }, 1_000, 100);
		expect(queue.waitMs(1_050)).toBe(250);
	});

	// Without the correction, one wrong estimate keeps an engine looking busy or idle for as long as it has work.
	test('a first event corrects the prediction to the work placed after it', () => {
		const queue = EngineQueue.create();
		queue.place(own(1), 1_000, 400);
		queue.place(own(2), 1_000, 100);
		queue.recordFirstEvent(own(1), 1_200);
		expect(queue.pending).toBe(1);
		expect(queue.waitMs(1_200)).toBeCloseTo(100 * queue.pace);
	});

	test('a first event ends everything that arrived before it, also when its own notices were lost', () => {
		const queue = EngineQueue.create();
		queue.place({ router: 'router-2', sequence: 7 }, 1_000, 300);
		queue.place(own(1), 1_010, 50);
		queue.recordFirstEvent(own(1), 1_400);
		expect(queue.waitMs(1_400)).toBe(0);
	});

	test('learns the pace of a slow engine, and forgets it when the engine recovers', () => {
		const queue = EngineQueue.create();
		let now = 0;
		const run = (factor: number): void => {
			for (let index = 0; index < 40; index++) {
				queue.place(own(index), now, 50);
				now += 50 * factor;
				queue.recordFirstEvent(own(index), now);
			}
		};
		run(5);
		expect(queue.pace).toBeGreaterThan(4);
		run(1);
		expect(queue.pace).toBeLessThan(1.3);
	});

	test('a request that failed before its first event takes its work with it', () => {
		const queue = EngineQueue.create();
		queue.place(own(1), 1_000, 300);
		queue.remove(own(1), 1_010);
		expect(queue.waitMs(1_010)).toBe(0);
	});

	test('the work of a router that was lost is forgotten', () => {
		const queue = EngineQueue.create();
		queue.place({ router: 'router-2', sequence: 1 }, 1_000, 500);
		queue.place(own(1), 1_000, 100);
		queue.removeRouter('router-2', 1_000);
		expect(queue.waitMs(1_000)).toBe(100);
	});

	test('work whose first event never comes does not hold the engine for good', () => {
		const queue = EngineQueue.create();
		queue.place(own(1), 1_000, 100);
		queue.waitMs(20_000);
		expect(queue.pending).toBe(0);
	});

	test('the load is the part of time in which prompts were read', () => {
		const queue = EngineQueue.create();
		for (let now = 0; now < 5_000; now += 100) {
			queue.load(now);
			queue.place(own(now), now, 30);
		}
		expect(queue.load(5_000)).toBeCloseTo(0.3, 1);
	});

	test('never predicts a negative or unbounded wait', () => {
		fc.assert(
			fc.property(
				fc.array(
					fc.record({
						step: fc.integer({ min: 0, max: 300 }),
						kind: fc.constantFrom('place', 'first', 'remove'),
						sequence: fc.integer({ min: 0, max: 20 }),
						work: fc.integer({ min: 1, max: 1_000 }),
					}),
				),
				(operations) => {
					const queue = EngineQueue.create();
					let now = 0;
					let placed = 0;
					for (const { step, kind, sequence, work } of operations) {
						now += step;
						if (kind === 'place') {
							placed += work;
							queue.place(own(sequence), now, work);
						} else if (kind === 'first') {
							queue.recordFirstEvent(own(sequence), now);
						} else {
							queue.remove(own(sequence), now);
						}
						expect(queue.waitMs(now)).toBeGreaterThanOrEqual(0);
						expect(queue.waitMs(now)).toBeLessThanOrEqual(placed * 8);
						expect(queue.load(now)).toBeLessThanOrEqual(1.0001);
					}
				},
			),
		);
	});

	// An engine without power keeps its connections open. It looked idle, so most new prompts were sent to it.
	test('an engine that reads nothing any more is stalled until something shows that it reads', () => {
		const queue = EngineQueue.create();
		for (let sequence = 1; sequence <= 5; sequence++) {
			queue.place(own(sequence), 1_000, 50);
		}
		expect(queue.isStalled(1_700)).toBe(false);
		expect(queue.isStalled(2_000)).toBe(true);
		queue.recordFirstEvent(own(3), 2_010);
		expect(queue.isStalled(2_020)).toBe(false);
	});

	test('an engine is tried again when its prompts have been given up', () => {
		const queue = EngineQueue.create();
		queue.place(own(1), 1_000, 50);
		queue.place(own(2), 1_000, 50);
		expect(queue.isStalled(4_000)).toBe(true);
		expect(queue.isStalled(6_000)).toBe(false);
	});

	test('one first event that nobody told of does not make an engine look stalled', () => {
		const queue = EngineQueue.create();
		queue.place(own(1), 1_000, 50);
		expect(queue.isStalled(3_000)).toBe(false);
	});

	test('a slow engine that goes on reading is not stalled', () => {
		const queue = EngineQueue.create();
		for (let sequence = 1; sequence <= 20; sequence++) {
			queue.place(own(sequence), 1_000, 50);
		}
		for (let sequence = 1; sequence < 20; sequence++) {
			const readAt = 1_000 + sequence * 400;
			expect(queue.isStalled(readAt - 1)).toBe(false);
			queue.recordFirstEvent(own(sequence), readAt);
		}
	});
});
