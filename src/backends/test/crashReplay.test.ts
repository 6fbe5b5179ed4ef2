import { describe, expect, test } from '@jest/globals';
import { type CrashReplayFleet, replayCrashes } from './crashReplay.js';

/** Crashes after which the part must have been found, and the time until all routers must know of it. */
const CRASHES = 5;
const CONTACT_MS = 3_000;

/** Harmful prompts that may be sent after that. */
const TOLERATED_SENT = 3;

/** Harmless prompts must be served at least half as often as usual; the test requires a third of that loss at most. */
const TOLERATED_REFUSED = 0.5 / 3;

const END_MS = 24_000;
const SEEDS = [1, 2, 3, 4, 5];

const SMALL_FLEET: CrashReplayFleet = {
	routers: 8,
	engines: 8,
	promptsPerSecond: 40,
	harmfulFraction: 0.05,
	crashAfterMs: 0,
};
const LARGE_FLEET: CrashReplayFleet = {
	routers: 70,
	engines: 60,
	promptsPerSecond: 300,
	harmfulFraction: 0.02,
	crashAfterMs: 0,
};

describe.each([
	['small', SMALL_FLEET],
	['large', LARGE_FLEET],
	['small', { ...SMALL_FLEET, crashAfterMs: 63 }],
	['large', { ...LARGE_FLEET, crashAfterMs: 63 }],
	['small', { ...SMALL_FLEET, crashAfterMs: 300 }],
	['large', { ...LARGE_FLEET, crashAfterMs: 300 }],
])('a part that crashes the engines of a %s fleet, %j', (_, fleet) => {
	// Guards against routers that each see a few of the prompts and crash engine after engine.
	test.each(SEEDS)('is found after a few crashes, and harmless prompts are served (seed %i)', (seed) => {
		const { crashes, harmfulSent, refusedFraction } = replayCrashes(fleet, END_MS, seed);
		const knownAt = (crashes[CRASHES - 1] ?? Infinity) + CONTACT_MS;
		expect(crashes.length).toBeGreaterThan(0);
		expect(harmfulSent.filter((at) => at > knownAt).length).toBeLessThanOrEqual(TOLERATED_SENT);
		expect(refusedFraction).toBeLessThanOrEqual(TOLERATED_REFUSED);
	});
});
