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

	// Without the correction, one wrong estimate makes an engine look too busy or too idle for as long as it has work.
	test('a first event corrects the prediction to the work placed after it', () => {
		const queue = EngineQueue.create();
		queue.place(own(1), 1_000, 400);
		queue.place(own(2), 1_000, 100);
		queue.recordFirstEvent(own(1), 1_200);
		expect(queue.pending).toBe(1);
		expect(queue.waitMs(1_200)).toBeCloseTo(100 * queue.pace);
	});

	test('a first event ends all prompts that were placed before it, even if their own notices were lost', () => {
		const queue = EngineQueue.create();
		queue.place({ router: 'router-2', sequence: 7 }, 1_000, 300);
		queue.place(own(1), 1_010, 50);
		queue.recordFirstEvent(own(1), 1_400);
		expect(queue.waitMs(1_400)).toBe(0);
	});

	test('tracks the pace of an engine that slows down and recovers', () => {
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

	// Notices of other routers arrive some 30 ms late. Queued in order of arrival, the first event of such a prompt removed
	// the work of prompts that the engine had received after it, and their engine looked idle.
	test('queues the prompt of a late notice in order of sending', () => {
		const queue = EngineQueue.create();
		queue.place(own(1), 1_000, 400);
		queue.place({ router: 'router-2', sequence: 1 }, 1_030, 100, -50);
		expect(queue.waitMs(1_030)).toBe(450);
		queue.recordFirstEvent({ router: 'router-2', sequence: 1 }, 1_090, true, 1_080);
		expect(queue.pending).toBe(1);
		expect(queue.waitMs(1_090)).toBeCloseTo(400 * queue.pace - 10);
	});

	// With equal weights, all routers of a fleet that has just started predict too short waits for some seconds.
	test('learns most of the pace of a slow engine from its first prompts', () => {
		const queue = EngineQueue.create();
		for (let index = 0; index < 3; index++) {
			queue.place(own(index), index * 1_000, 100);
			queue.recordFirstEvent(own(index), index * 1_000 + 200);
		}
		expect(queue.pace).toBeGreaterThan(1.7);
	});

	test('removing a request that failed before its first event removes its work', () => {
		const queue = EngineQueue.create();
		queue.place(own(1), 1_000, 300);
		queue.remove(own(1), 1_010);
		expect(queue.waitMs(1_010)).toBe(0);
	});

	test('the work of a router that was lost is removed', () => {
		const queue = EngineQueue.create();
		queue.place({ router: 'router-2', sequence: 1 }, 1_000, 500);
		queue.place(own(1), 1_000, 100);
		queue.removeRouter('router-2', 1_000);
		expect(queue.waitMs(1_000)).toBe(100);
	});

	test('work whose first event never arrives does not block the engine forever', () => {
		const queue = EngineQueue.create();
		queue.place(own(1), 1_000, 100);
		queue.waitMs(20_000);
		expect(queue.pending).toBe(0);
	});

	test('the load is the fraction of time spent on prefill', () => {
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

	// The connections of an engine without power stay open. Without stall detection it looks idle and receives most prompts.
	test('an engine that makes no progress is stalled until a first event arrives', () => {
		const queue = EngineQueue.create();
		for (let sequence = 1; sequence <= 5; sequence++) {
			queue.place(own(sequence), 1_000, 50);
		}
		expect(queue.isStalled(1_700)).toBe(false);
		expect(queue.isStalled(2_000)).toBe(true);
		queue.recordFirstEvent(own(3), 2_010);
		expect(queue.isStalled(2_020)).toBe(false);
	});

	test('an engine is tried again when its lost prompts have been dropped', () => {
		const queue = EngineQueue.create();
		queue.place(own(1), 1_000, 50);
		queue.place(own(2), 1_000, 50);
		expect(queue.isStalled(4_000)).toBe(true);
		expect(queue.isStalled(6_000)).toBe(false);
	});

	test('one first event that nobody reported does not make an engine stalled', () => {
		const queue = EngineQueue.create();
		queue.place(own(1), 1_000, 50);
		expect(queue.isStalled(3_000)).toBe(false);
	});

	test('a slow engine that makes progress is not stalled', () => {
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
