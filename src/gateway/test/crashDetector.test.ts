import { describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import type { ProbeResult } from '../../backends/common/serverProbe.js';
import { createSuspects, type Suspects } from '../../backends/common/suspectRegistry.js';
import { CrashDetector, type RunningServer, serverKeyOf } from '../common/crashDetector.js';
import { pause } from './gatewayFixture.js';

const REQUEST = 7;
const PROBE_MS = 20;
const CRASHES_UNTIL_KNOWN = 3;

const EVIDENCE = { request: REQUEST, parts: [] };

interface FixtureDetector {
	readonly detector: CrashDetector;
	readonly suspects: Suspects;
	readonly probes: { count: number };
}

/** @param results of the probes in order; the last one applies to all further probes */
function detectorWith(...results: readonly ProbeResult[]): FixtureDetector {
	const suspects = createSuspects();
	const probes = { count: 0 };
	const detector = CrashDetector.create({
		suspects,
		probe: () =>
			Effect.delay(
				Effect.sync(() => results[Math.min(probes.count++, results.length - 1)] ?? 'unknown'),
				PROBE_MS,
			),
		clock: { now: () => performance.now() },
		reportCrash: () => undefined,
		reportProbe: () => undefined,
	});
	return { detector, suspects, probes };
}

function serverWith(index: number, startedAt = 1): RunningServer {
	return { id: `engine-${index}`, url: `http://10.0.0.${index}:80`, startedAt };
}

function isQuarantined({ detector }: FixtureDetector): boolean {
	return detector.requestQuarantineMs(() => REQUEST) > 0;
}

describe('CrashDetector', () => {
	// Guards against a router on a lossy link that never sees that the servers have ended.
	test('counts crashes that other routers have found, before or after the connection breaks here', () => {
		const fixture = detectorWith('unknown');
		for (let index = 0; index < CRASHES_UNTIL_KNOWN; index++) {
			const server = serverWith(index);
			if (index === 0) {
				fixture.detector.recordEnd(serverKeyOf(server));
				fixture.detector.recordBrokenConnection(server, EVIDENCE);
			} else {
				fixture.detector.recordBrokenConnection(server, EVIDENCE);
				fixture.detector.recordEnd(serverKeyOf(server));
			}
		}
		expect(isQuarantined(fixture)).toBe(true);
	});

	test('probes a server again that does not reply', async () => {
		const fixture = detectorWith('unknown', 'unknown', 'refusing');
		fixture.detector.recordBrokenConnection(serverWith(1), EVIDENCE);
		await pause(5 * PROBE_MS);
		expect(fixture.probes.count).toBe(3);
		expect(fixture.suspects.request.hasSuspects).toBe(true);
	});

	// Guards against servers that start again before they can be probed, each of which looked as if it had never ended.
	test.each([
		['under its identifier', (index: number) => serverWith(index, 2)],
		['under another identifier', (index: number) => ({ ...serverWith(index), id: `next-engine-${index}` })],
	])('counts a crash whose server is back at once %s', async (_, replace) => {
		const fixture = detectorWith('accepting');
		for (let index = 0; index < CRASHES_UNTIL_KNOWN; index++) {
			fixture.detector.recordBrokenConnection(serverWith(index), EVIDENCE);
			await pause(2 * PROBE_MS);
			fixture.detector.recordRegistration(replace(index));
		}
		expect(isQuarantined(fixture)).toBe(true);
	});

	// Guards against an address that cannot be probed: the error ended the process.
	test('takes a probe that fails unexpectedly for one without a reply', async () => {
		const results: ProbeResult[] = [];
		const detector = CrashDetector.create({
			suspects: createSuspects(),
			probe: () => Effect.die(new Error('invalid address')),
			clock: { now: () => performance.now() },
			reportCrash: () => undefined,
			reportProbe: (_, result) => results.push(result),
		});
		detector.recordBrokenConnection(serverWith(1), EVIDENCE);
		await pause(PROBE_MS);
		expect(new Set(results)).toEqual(new Set(['unknown']));
	});

	test('does not count connections that break while their server runs on', async () => {
		const fixture = detectorWith('accepting');
		for (let index = 0; index < CRASHES_UNTIL_KNOWN + 1; index++) {
			fixture.detector.recordBrokenConnection(serverWith(index), EVIDENCE);
			await pause(2 * PROBE_MS);
			fixture.detector.recordRegistration(serverWith(index));
		}
		expect(fixture.suspects.request.hasSuspects).toBe(false);
	});

	// Guards against sending a request to a fourth server before it is known that the third one has ended.
	test('lets a request wait for the evidence that would quarantine it, and no other one', async () => {
		const fixture = detectorWith('refusing');
		const wait = async (server: RunningServer): Promise<void> => {
			fixture.detector.recordBrokenConnection(server, EVIDENCE);
			await Effect.runPromise(fixture.detector.awaitEvidence(server, () => REQUEST));
		};
		await wait(serverWith(1));
		expect(fixture.suspects.request.hasSuspects).toBe(false);
		await pause(2 * PROBE_MS);
		await wait(serverWith(2));
		await pause(2 * PROBE_MS);
		expect(isQuarantined(fixture)).toBe(false);
		await wait(serverWith(3));
		expect(isQuarantined(fixture)).toBe(true);
	});
});
