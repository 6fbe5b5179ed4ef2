import { describe, expect, test } from '@jest/globals';
import { PROMPT_PART_POLICY, REQUEST_POLICY, SuspectRegistry } from '../common/suspectRegistry.js';

const HARMFUL = 1;
const SYSTEM = 2;
const DOCUMENT = 3;

/** Time between crashes that have different causes. */
const APART_MS = 1_000;

/** Duration of the quarantine of a suspect that may not be the cause. */
const AMBIGUOUS_MS = 1_000;

/** Duration of the first quarantine. */
const QUARANTINE_MS = 120_000;

/** Records crashes of different servers with the same candidates, and returns the time of the last one. */
function crash(suspects: SuspectRegistry, parts: readonly number[], count: number, from = 0): number {
	for (let index = 0; index < count; index++) {
		suspects.recordCrash({ server: 100 + index, suspects: parts }, from + index * APART_MS);
	}
	return from + (count - 1) * APART_MS;
}

describe('SuspectRegistry', () => {
	test('quarantines a part after three crashes without a surviving response', () => {
		const suspects = SuspectRegistry.create(PROMPT_PART_POLICY);
		expect(suspects.quarantineMs([HARMFUL], crash(suspects, [HARMFUL], 2))).toBe(0);
		suspects.recordCrash({ server: 200, suspects: [HARMFUL] }, 5_000);
		expect(suspects.quarantineMs([HARMFUL], 5_000)).toBe(QUARANTINE_MS);
		expect(suspects.quarantineMs([SYSTEM], 5_000)).toBe(0);
	});

	test('counts the notices of several routers about one crash once', () => {
		const suspects = SuspectRegistry.create(PROMPT_PART_POLICY);
		for (let notice = 0; notice < 5; notice++) {
			suspects.applyCrash({ server: 100, suspects: [HARMFUL] }, notice * 300);
		}
		expect(suspects.quarantineMs([HARMFUL], 1_500)).toBe(0);
	});

	// Guards against quarantining whatever ran when a failure domain lost its power.
	test('counts servers that end at once as one crash', () => {
		const suspects = SuspectRegistry.create(PROMPT_PART_POLICY);
		for (let server = 0; server < 20; server++) {
			suspects.recordCrash({ server, suspects: [DOCUMENT] }, server * 10);
		}
		expect(suspects.quarantineMs([DOCUMENT], 300)).toBe(0);
	});

	test('clears a part that a response has survived, also when a router reports an earlier crash afterwards', () => {
		const suspects = SuspectRegistry.create(PROMPT_PART_POLICY);
		const now = crash(suspects, [HARMFUL, SYSTEM], 3);
		suspects.recordSurvival([SYSTEM], now + 10);
		suspects.applyCrash({ server: 102, suspects: [HARMFUL, SYSTEM] }, now + 20);
		expect(suspects.list(now + 20).map(({ key }) => key)).toEqual([HARMFUL]);
		expect(suspects.quarantineMs([SYSTEM], now + 20)).toBe(0);
	});

	test('reports a part as cleared only while it is suspected', () => {
		const suspects = SuspectRegistry.create(PROMPT_PART_POLICY);
		const cleared: number[] = [];
		suspects.onDidClear((parts) => cleared.push(...parts));
		suspects.recordSurvival([SYSTEM], 0);
		crash(suspects, [SYSTEM], 1);
		suspects.recordSurvival([SYSTEM], 100);
		suspects.recordSurvival([SYSTEM], 200);
		expect(cleared).toEqual([SYSTEM]);
	});

	test('does not quarantine a part whose crashes another part explains', () => {
		const suspects = SuspectRegistry.create(PROMPT_PART_POLICY);
		let now = crash(suspects, [HARMFUL, DOCUMENT], 3);
		now += APART_MS;
		suspects.recordCrash({ server: 200, suspects: [HARMFUL] }, now);
		expect(suspects.quarantineMs([DOCUMENT], now)).toBe(0);
		expect(suspects.quarantineMs([HARMFUL], now)).toBeGreaterThan(0);
	});

	test('lets one prompt at a time test a part after its quarantine, and doubles the quarantine on a crash', () => {
		const suspects = SuspectRegistry.create(PROMPT_PART_POLICY);
		const end = crash(suspects, [HARMFUL], 3) + QUARANTINE_MS;
		expect(suspects.quarantineMs([HARMFUL], end)).toBe(0);
		suspects.recordSent([HARMFUL], end);
		expect(suspects.quarantineMs([HARMFUL], end + 1)).toBeGreaterThan(0);
		suspects.recordCrash({ server: 300, suspects: [HARMFUL] }, end + 100);
		expect(suspects.quarantineMs([HARMFUL], end + 100)).toBe(2 * QUARANTINE_MS);
	});

	// Guards against a part that stays cleared for ever: new weights can make a harmless part harmful.
	test('quarantines a part again that was harmless before', () => {
		const suspects = SuspectRegistry.create(PROMPT_PART_POLICY);
		const before = crash(suspects, [DOCUMENT], 2);
		suspects.recordSurvival([DOCUMENT], before + 10);
		const now = crash(suspects, [DOCUMENT], 3, before + 5 * APART_MS);
		expect(suspects.quarantineMs([DOCUMENT], now)).toBeGreaterThan(0);
	});

	test('applies the quarantine of a peer unless a response has just survived here', () => {
		const suspects = SuspectRegistry.create(PROMPT_PART_POLICY);
		suspects.applyQuarantine({ key: HARMFUL, crashes: 3, quarantineMs: QUARANTINE_MS, ageMs: 0 }, 0);
		expect(suspects.quarantineMs([HARMFUL], 0)).toBe(QUARANTINE_MS);
		crash(suspects, [SYSTEM], 1);
		suspects.recordSurvival([SYSTEM], 1_000);
		const cleared: number[] = [];
		suspects.onDidClear((parts) => cleared.push(...parts));
		suspects.applyQuarantine({ key: SYSTEM, crashes: 3, quarantineMs: QUARANTINE_MS, ageMs: 0 }, 1_100);
		expect(suspects.quarantineMs([SYSTEM], 1_100)).toBe(0);
		expect(cleared).toEqual([SYSTEM]);
	});

	test('forgets the part whose last crash is longest ago when there are too many', () => {
		const suspects = SuspectRegistry.create(PROMPT_PART_POLICY);
		crash(suspects, [HARMFUL], 3);
		suspects.applyCrash({ server: 500, suspects: Array.from({ length: 2_000 }, (_, index) => 1_000 + index) }, 3_000);
		expect(suspects.list(3_000).length).toBeLessThanOrEqual(500);
		expect(suspects.quarantineMs([HARMFUL], 3_000)).toBeGreaterThan(0);
	});
});

describe('SuspectRegistry and the repeated quarantines of peers', () => {
	const PERIOD_MS = 500;
	const LATENCY_MS = 50;

	// Guards against two routers that extend a quarantine for ever, each by the delay of the other's notice.
	test('does not extend a quarantine by the delays of notices', () => {
		const one = SuspectRegistry.create(PROMPT_PART_POLICY);
		const two = SuspectRegistry.create(PROMPT_PART_POLICY);
		let now = crash(one, [HARMFUL], 3);
		const end = now + QUARANTINE_MS;
		for (; now < end; now += PERIOD_MS) {
			one.listQuarantined(now).forEach((status) => two.applyQuarantine(status, now + LATENCY_MS));
			two.listQuarantined(now + LATENCY_MS).forEach((status) => one.applyQuarantine(status, now + 2 * LATENCY_MS));
		}
		expect(one.quarantineMs([HARMFUL], end + 2 * PERIOD_MS)).toBe(0);
		expect(two.quarantineMs([HARMFUL], end + 2 * PERIOD_MS)).toBe(0);
	});

	// Guards against a router that knows a quarantine without its crashes, and lets three more servers end after it.
	test("quarantines a suspect again after one crash, also if the first quarantine was a peer's", () => {
		const suspects = SuspectRegistry.create(REQUEST_POLICY);
		suspects.applyQuarantine({ key: HARMFUL, crashes: 3, quarantineMs: 5_000, ageMs: 55_000 }, 0);
		expect(suspects.quarantineMs([HARMFUL], 5_000)).toBe(0);
		expect(suspects.isAlmostQuarantined(HARMFUL)).toBe(true);
		suspects.recordCrash({ server: 1, suspects: [HARMFUL] }, 6_000);
		expect(suspects.quarantineMs([HARMFUL], 6_000)).toBeGreaterThan(5_000);
	});

	// Guards against a router that was cut off, and repeats a quarantine that has been lifted meanwhile.
	test('tells a peer whose quarantine began before the suspect was cleared', () => {
		const suspects = SuspectRegistry.create(PROMPT_PART_POLICY);
		const now = crash(suspects, [HARMFUL], 3);
		suspects.clear([HARMFUL], now + 1_000);
		const cleared: number[] = [];
		suspects.onDidClear((keys) => cleared.push(...keys));
		const old = { key: HARMFUL, crashes: 3, quarantineMs: 60_000, ageMs: 20_000 };
		expect(suspects.applyQuarantine(old, now + 20_000)).toBe(false);
		expect(cleared).toEqual([HARMFUL]);
		expect(suspects.applyQuarantine({ ...old, ageMs: 100 }, now + 20_000)).toBe(true);
	});
});

describe('SuspectRegistry of whole requests', () => {
	const REQUEST = 10;
	const OTHER_REQUEST = 11;
	const RETRY_MS = 100;

	// Guards against counting a request and its immediate retry as one crash, as for a power failure.
	test('counts servers that end one soon after another', () => {
		const suspects = SuspectRegistry.create(REQUEST_POLICY);
		for (let server = 0; server < 3; server++) {
			suspects.recordCrash({ server, suspects: [REQUEST] }, server * RETRY_MS);
		}
		expect(suspects.quarantineMs([REQUEST], 3 * RETRY_MS)).toBeGreaterThan(0);
	});

	// Guards against a request that is let through since another one was on the same servers and on one more.
	test('quarantines a request whatever else was in progress', () => {
		const suspects = SuspectRegistry.create(REQUEST_POLICY);
		for (let server = 0; server < 4; server++) {
			const keys = server < 3 ? [REQUEST, OTHER_REQUEST] : [OTHER_REQUEST];
			suspects.recordCrash({ server, suspects: keys }, server * APART_MS);
		}
		expect(suspects.quarantineMs([REQUEST], 4 * APART_MS)).toBeGreaterThan(AMBIGUOUS_MS);
		expect(suspects.quarantineMs([OTHER_REQUEST], 4 * APART_MS)).toBeGreaterThan(AMBIGUOUS_MS);
	});

	test('adds up the crashes that different routers report', () => {
		const suspects = SuspectRegistry.create(REQUEST_POLICY);
		suspects.recordCrash({ server: 1, suspects: [REQUEST] }, 0);
		suspects.applyCrash({ server: 2, suspects: [REQUEST] }, 5);
		suspects.applyCrash({ server: 1, suspects: [REQUEST] }, 10);
		expect(suspects.quarantineMs([REQUEST], 10)).toBe(0);
		suspects.applyCrash({ server: 3, suspects: [REQUEST] }, 20);
		expect(suspects.quarantineMs([REQUEST], 20)).toBeGreaterThan(0);
	});
});

describe('SuspectRegistry and the evidence of other routers', () => {
	const LATENCY_MS = 50;
	const REQUEST = 20;

	function passOn(from: SuspectRegistry, to: SuspectRegistry, now: number): void {
		from.listEvidence(now).forEach((evidence) => to.applyEvidence(evidence, now + LATENCY_MS));
	}

	// Guards against a count that begins again when all routers have been replaced before the third crash.
	test('goes on counting where a router that has ended stopped', () => {
		const ended = SuspectRegistry.create(REQUEST_POLICY);
		const next = SuspectRegistry.create(REQUEST_POLICY);
		const now = crash(ended, [REQUEST], 2);
		passOn(ended, next, now + APART_MS);
		expect(next.isAlmostQuarantined(REQUEST)).toBe(true);
		next.recordCrash({ server: 300, suspects: [REQUEST] }, now + 2 * APART_MS);
		expect(next.quarantineMs([REQUEST], now + 2 * APART_MS)).toBeGreaterThan(0);
	});

	// Guards against a count that is too low where a server crashes again before its new start is known.
	test('tells several crashes of one server apart', () => {
		const ended = SuspectRegistry.create(REQUEST_POLICY);
		const next = SuspectRegistry.create(REQUEST_POLICY);
		ended.recordCrash({ server: 100, suspects: [REQUEST] }, 0);
		ended.recordCrash({ server: 100, suspects: [REQUEST] }, 4_000);
		passOn(ended, next, 5_000);
		passOn(ended, next, 5_500);
		expect(next.list(6_000)).toMatchObject([{ key: REQUEST, crashes: 2 }]);
	});

	test('counts a crash once, however often it is repeated and whatever its age is said to be', () => {
		const suspects = SuspectRegistry.create(REQUEST_POLICY);
		suspects.recordCrash({ server: 100, suspects: [REQUEST] }, 0);
		for (let now = 500; now < 20_000; now += 500) {
			const crashes = [{ server: 100, ageMs: now - (now % 4_000) }];
			suspects.applyEvidence({ key: REQUEST, crashes, clearedAgeMs: undefined }, now);
		}
		expect(suspects.list(20_000)).toMatchObject([{ key: REQUEST, crashes: 1 }]);
	});

	// Guards against a harmless request that is suspected again after a restart, since its clearing was told once only.
	test('knows what was cleared before it was suspected', () => {
		const ended = SuspectRegistry.create(REQUEST_POLICY);
		const next = SuspectRegistry.create(REQUEST_POLICY);
		const uninformed = SuspectRegistry.create(REQUEST_POLICY);
		const now = crash(ended, [REQUEST], 2);
		passOn(ended, uninformed, now);
		ended.recordSurvival([REQUEST], now + APART_MS);
		passOn(ended, next, now + 2 * APART_MS);
		passOn(uninformed, next, now + 3 * APART_MS);
		expect(next.list(now + 4 * APART_MS)).toEqual([]);
		passOn(next, uninformed, now + 4 * APART_MS);
		expect(uninformed.list(now + 5 * APART_MS)).toEqual([]);
	});

	test('does not apply a quarantine that was lifted before it started', () => {
		const ended = SuspectRegistry.create(REQUEST_POLICY);
		const next = SuspectRegistry.create(REQUEST_POLICY);
		const now = crash(ended, [REQUEST], 3);
		const [old] = ended.listQuarantined(now);
		ended.recordSurvival([REQUEST], now + APART_MS);
		passOn(ended, next, now + 2 * APART_MS);
		const status = { ...old, key: REQUEST, crashes: 3, quarantineMs: 57_000, ageMs: 3_000 };
		expect(next.applyQuarantine(status, now + 3 * APART_MS)).toBe(false);
		expect(next.quarantineMs([REQUEST], now + 3 * APART_MS)).toBe(0);
	});

	// Guards against a quarantine that grows with each router that starts.
	test('ends a quarantine at the same time, whichever is heard first', () => {
		for (const isEvidenceFirst of [true, false]) {
			const known = SuspectRegistry.create(REQUEST_POLICY);
			const next = SuspectRegistry.create(REQUEST_POLICY);
			const now = crash(known, [REQUEST], 3);
			const later = now + 20_000;
			const expected = known.quarantineMs([REQUEST], later);
			const steps = [
				(): void => passOn(known, next, later),
				(): void => known.listQuarantined(later).forEach((status) => next.applyQuarantine(status, later)),
			];
			(isEvidenceFirst ? steps : [...steps].reverse()).forEach((step) => step());
			expect(Math.abs(next.quarantineMs([REQUEST], later) - expected)).toBeLessThanOrEqual(2 * LATENCY_MS);
		}
	});

	// Guards against the loss of evidence when a failure domain without power makes suspects of all that it was running.
	test('keeps a suspect of two crashes when hundreds of others have one', () => {
		const suspects = SuspectRegistry.create(REQUEST_POLICY);
		const now = crash(suspects, [REQUEST], 2);
		for (let server = 0; server < 30; server++) {
			const others = Array.from({ length: 100 }, (_, index) => 1_000 + 100 * server + index);
			suspects.recordCrash({ server: 500 + server, suspects: others }, now + APART_MS + server);
		}
		expect(suspects.listEvidence(now + 2 * APART_MS)[0]?.key).toBe(REQUEST);
		suspects.recordCrash({ server: 300, suspects: [REQUEST] }, now + 3 * APART_MS);
		expect(suspects.quarantineMs([REQUEST], now + 3 * APART_MS)).toBeGreaterThan(0);
	});
});
