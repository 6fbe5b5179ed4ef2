import { describe, expect, test } from '@jest/globals';
import { EngineQueue } from '../common/engineQueue.js';
import { longestBurstMs, prefillMs } from '../common/prefillTime.js';

const STEPS_PER_EVENT = 7;
const PAUSE_AIM_MS = 500;
const CHUNK_TOKENS = 4_096;
const TOKENS_PER_MS = 60;
const STEP_MS = 5;

/** Prompt length; attention slows its prefill by {@link ATTENTION_SLOWDOWN}. */
const PROMPT_TOKENS = 8_000;
const ATTENTION_SLOWDOWN = 1.1;

/** Longest accepted wait in milliseconds. */
const LIMIT_MS = 300;

interface Prompt {
	readonly sequence: number;
	readonly sentAt: number;
	remainingTokens: number;
}

interface ReplayResult {
	/** Fraction of the events that are later than the target, from 0 to 1. */
	readonly lateFraction: number;
	readonly prefilledPrompts: number;
}

/**
 * Replays an engine that prefills prompts in chunks and emits one token per stream in each step, while prompts arrive
 * faster than it prefills them.
 *
 * @param burstMs longest uninterrupted prefill in milliseconds
 * @returns lateness of stream events and number of prefilled prompts
 */
function replay(burstMs: number): ReplayResult {
	const queue = EngineQueue.create();
	const router = 'router-1';
	const waiting: Prompt[] = [];
	const steps: number[] = [];
	let now = 0;
	let nextArrival = 0;
	let sequence = 0;
	let prefilledPrompts = 0;
	while (now < 20_000) {
		for (; nextArrival <= now; nextArrival += 110) {
			const workMs = prefillMs(PROMPT_TOKENS, 0);
			const { delayMs, waitMs } = queue.planSend(nextArrival, workMs, burstMs);
			if (waitMs <= LIMIT_MS) {
				queue.place({ router, sequence: ++sequence }, nextArrival, workMs, delayMs);
				waiting.push({ sequence, sentAt: nextArrival + delayMs, remainingTokens: PROMPT_TOKENS });
			}
		}
		let budget = CHUNK_TOKENS;
		const ended: number[] = [];
		for (const prompt of waiting.filter(({ sentAt }) => sentAt <= now)) {
			const tokens = Math.min(budget, prompt.remainingTokens);
			prompt.remainingTokens -= tokens;
			budget -= tokens;
			if (prompt.remainingTokens === 0) {
				ended.push(prompt.sequence);
			}
		}
		const stepMs = STEP_MS + ((CHUNK_TOKENS - budget) / TOKENS_PER_MS) * ATTENTION_SLOWDOWN;
		now += stepMs;
		steps.push(stepMs);
		for (const item of ended) {
			queue.recordFirstEvent({ router, sequence: item }, now);
			waiting.splice(
				waiting.findIndex((prompt) => prompt.sequence === item),
				1,
			);
			prefilledPrompts++;
		}
	}
	const pauses = steps.map((_, index) => steps.slice(index, index + STEPS_PER_EVENT).reduce((sum, ms) => sum + ms, 0));
	const late = pauses.filter((pause) => pause > PAUSE_AIM_MS).length;
	return { lateFraction: late / pauses.length, prefilledPrompts };
}

describe('prefill bursts', () => {
	// Guards against uninterrupted prefill: under initial traffic three of four streams paused for longer than the target.
	test('leave enough steps for the streams of an engine when prompts arrive faster than it prefills them', () => {
		const unlimited = replay(Infinity);
		const limited = replay(longestBurstMs(STEPS_PER_EVENT, PAUSE_AIM_MS));
		expect(unlimited.lateFraction).toBeGreaterThan(0.5);
		expect(limited.lateFraction).toBeLessThan(0.05);
		expect(limited.prefilledPrompts).toBeGreaterThan(0.85 * unlimited.prefilledPrompts);
	});

	test('are not limited when an event takes few steps', () => {
		expect(longestBurstMs(5, 500)).toBe(Infinity);
		expect(longestBurstMs(9, 600)).toBeLessThan(600);
	});

	test('end before a prompt that would make them too long, and the prompt is sent after a pause', () => {
		const queue = EngineQueue.create();
		queue.place({ router: 'router-1', sequence: 1 }, 1_000, 300);
		expect(queue.planSend(1_100, 100, 420)).toEqual({ delayMs: 0, waitMs: 200 });
		const turn = queue.planSend(1_100, 200, 420);
		expect(turn.delayMs).toBeGreaterThan(200);
		queue.place({ router: 'router-1', sequence: 2 }, 1_100, 200, turn.delayMs);
		// Engines prefill in order of arrival, so a later prompt must not be sent during the pause.
		expect(queue.planSend(1_150, 10, 420).delayMs).toBeGreaterThan(150);
	});
});
