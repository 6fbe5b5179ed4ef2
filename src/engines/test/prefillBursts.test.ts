import { describe, expect, test } from '@jest/globals';
import { EngineQueue } from '../common/engineQueue.js';
import { longestBurstMs, prefillMs } from '../common/prefillTime.js';

const STEPS_PER_EVENT = 7;
const PAUSE_AIM_MS = 500;
const CHUNK_TOKENS = 4_096;
const TOKENS_PER_MS = 60;
const STEP_MS = 5;

/** Reading takes longer with the context: attention of a chunk in a prompt of this size. */
const PROMPT_TOKENS = 8_000;
const SLOWER_BY_CONTEXT = 1.1;

/** Longest wait that is accepted. */
const LIMIT_MS = 300;

interface Prompt {
	readonly sequence: number;
	readonly sentAt: number;
	left: number;
}

interface Outcome {
	/** Part of the events that come later than streams bear, from 0 to 1. */
	readonly latePart: number;
	readonly readPrompts: number;
}

/**
 * Replays an engine that reads prompts in chunks, with one token for each stream in each step, while prompts arrive
 * faster than it reads.
 *
 * @param burstMs longest time for which the engine may read without a pause, in milliseconds
 * @returns how the events of its streams came, and how much was read
 */
function replay(burstMs: number): Outcome {
	const queue = EngineQueue.create();
	const router = 'router-1';
	const waiting: Prompt[] = [];
	const steps: number[] = [];
	let now = 0;
	let nextArrival = 0;
	let sequence = 0;
	let readPrompts = 0;
	while (now < 20_000) {
		for (; nextArrival <= now; nextArrival += 110) {
			const workMs = prefillMs(PROMPT_TOKENS, 0);
			const { delayMs, waitMs } = queue.turn(nextArrival, workMs, burstMs);
			if (waitMs <= LIMIT_MS) {
				queue.place({ router, sequence: ++sequence }, nextArrival, workMs, delayMs);
				waiting.push({ sequence, sentAt: nextArrival + delayMs, left: PROMPT_TOKENS });
			}
		}
		let budget = CHUNK_TOKENS;
		const ended: number[] = [];
		for (const prompt of waiting.filter(({ sentAt }) => sentAt <= now)) {
			const tokens = Math.min(budget, prompt.left);
			prompt.left -= tokens;
			budget -= tokens;
			if (prompt.left === 0) {
				ended.push(prompt.sequence);
			}
		}
		const stepMs = STEP_MS + ((CHUNK_TOKENS - budget) / TOKENS_PER_MS) * SLOWER_BY_CONTEXT;
		now += stepMs;
		steps.push(stepMs);
		for (const item of ended) {
			queue.recordFirstEvent({ router, sequence: item }, now);
			waiting.splice(
				waiting.findIndex((prompt) => prompt.sequence === item),
				1,
			);
			readPrompts++;
		}
	}
	const pauses = steps.map((_, index) => steps.slice(index, index + STEPS_PER_EVENT).reduce((sum, ms) => sum + ms, 0));
	const late = pauses.filter((pause) => pause > PAUSE_AIM_MS).length;
	return { latePart: late / pauses.length, readPrompts };
}

describe('bursts of reading', () => {
	// At the start of the traffic three of four drafts paused longer than they may, since engines read all the time.
	test('leave the streams of an engine their steps when prompts arrive faster than it reads', () => {
		const unlimited = replay(Infinity);
		const limited = replay(longestBurstMs(STEPS_PER_EVENT, PAUSE_AIM_MS));
		expect(unlimited.latePart).toBeGreaterThan(0.5);
		expect(limited.latePart).toBeLessThan(0.05);
		expect(limited.readPrompts).toBeGreaterThan(0.85 * unlimited.readPrompts);
	});

	test('are not limited where an event takes few steps', () => {
		expect(longestBurstMs(5, 500)).toBe(Infinity);
		expect(longestBurstMs(9, 600)).toBeLessThan(600);
	});

	test('end before a prompt that would make them too long, and the prompt is sent after a pause', () => {
		const queue = EngineQueue.create();
		queue.place({ router: 'router-1', sequence: 1 }, 1_000, 300);
		expect(queue.turn(1_100, 100, 420)).toEqual({ delayMs: 0, waitMs: 200 });
		const turn = queue.turn(1_100, 200, 420);
		expect(turn.delayMs).toBeGreaterThan(200);
		queue.place({ router: 'router-1', sequence: 2 }, 1_100, 200, turn.delayMs);
		// Engines read in the order of arrival, so a later prompt must not come into the pause.
		expect(queue.turn(1_150, 10, 420).delayMs).toBeGreaterThan(150);
	});
});
