import { describe, expect, test } from '@jest/globals';
import { EngineQueue } from '../../engines/common/engineQueue.js';
import { prefillMs } from '../../engines/common/prefillTime.js';
import { engineWith, optionWith } from '../../engines/test/engineFixture.js';
import { decideAdmission } from '../common/admission.js';

const END_MS = 20_000;
const AIM_MS = 1_000;
const ENGINES = 2;

/** Wait that accounts over their share may cause, as a fraction of the target. */
const PROMISED_FRACTION = 0.4;

interface Caller {
	readonly promptTokens: number;
	readonly intervalMs: number;
	readonly offeredShare: number;
	readonly usedShare: number;
}

/** An account that floods with long prompts has received its share, and one that asks for little sends short ones. */
const FLOOD: Caller = { promptTokens: 16_000, intervalMs: 20, offeredShare: 3, usedShare: 1 };
const SMALL: Caller = { promptTokens: 1_000, intervalMs: 90, offeredShare: 0.1, usedShare: 0.1 };

/** A queue with the engine that works on it; prompts are prefilled as predicted. */
class ReplayedEngine {
	public readonly queue = EngineQueue.create();
	private readonly ends: number[] = [];

	public place(sequence: number, workMs: number, now: number): number {
		const end = Math.max(now, this.ends.at(-1) ?? 0) + workMs;
		this.queue.place({ router: 'router-1', sequence }, now, workMs);
		this.ends.push(end);
		return end - now;
	}
}

/**
 * Replays a flood of long prompts beside short prompts of another account, in virtual time.
 *
 * @param withFlood whether the account floods
 * @returns milliseconds from the arrival of each short prompt to the end of its prefill; infinite if it was refused
 */
function replay(withFlood: boolean): readonly number[] {
	const engines = Array.from({ length: ENGINES }, () => new ReplayedEngine());
	const times: number[] = [];
	let sequence = 0;
	const arrive = ({ promptTokens, offeredShare, usedShare }: Caller, now: number): number => {
		const workMs = prefillMs(promptTokens, 0);
		const options = engines
			.map(({ queue }, index) =>
				optionWith({ server: engineWith(String(index)), waitMs: queue.waitMs(now), workMs, readMs: workMs }),
			)
			.sort((one, other) => one.waitMs - other.waitMs);
		const decision = decideAdmission({
			options,
			declinedBy: new Set(),
			shareStatus: { offeredShare, usedShare, level: 1, admitted: 0, rate: 1, credit: 1, throttledMs: 0 },
			aimMs: AIM_MS,
			aimLeftMs: AIM_MS,
			deadlineLeftMs: 10_000,
			retryJitter: 0,
		});
		return decision.kind === 'place'
			? (engines[Number(decision.option.server.id)]?.place(++sequence, workMs, now) ?? Infinity)
			: Infinity;
	};
	for (let now = 0; now < END_MS; now += 10) {
		if (withFlood && now % FLOOD.intervalMs === 0) {
			arrive(FLOOD, now);
		}
		if (now % SMALL.intervalMs === 0) {
			times.push(arrive(SMALL, now));
		}
	}
	return times;
}

describe('long prompts of an account over its share', () => {
	// Load pattern: for seconds, one account sends long prompts faster than the engines can prefill them. Limited by their
	// wait alone, they kept the queues so full that short prompts of other accounts waited for half of their target.
	test('leave room at the engines for short prompts of other accounts', () => {
		const ownMs = prefillMs(SMALL.promptTokens, 0);
		expect(Math.max(...replay(true))).toBeLessThanOrEqual(
			PROMISED_FRACTION * AIM_MS + ownMs + Math.max(...replay(false)),
		);
	});
});
