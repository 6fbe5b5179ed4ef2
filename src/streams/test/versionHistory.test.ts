import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { VersionHistory, type VersionedServer } from '../common/versionHistory.js';
import { decodeHistory, decodeRecord, encodeHistory, encodeRecord } from '../node/recordCodec.js';

const SERVICE = 'drafts';
const RETENTION_MS = 20_000;
const START_MS = 1_700_000_000_000;

function serversOf(...versions: readonly string[]): readonly VersionedServer[] {
	return versions.map((softwareVersion) => ({ service: SERVICE, softwareVersion }));
}

function historyOf(...versions: readonly string[]): VersionHistory {
	const history = VersionHistory.create(() => RETENTION_MS);
	history.setRegistered(serversOf(...versions), START_MS);
	return history;
}

describe('VersionHistory', () => {
	test('remembers a version until no stream of it can be taken up', () => {
		const history = historyOf('v1', 'v2');
		history.setRegistered(serversOf('v2'), START_MS + 1_000);
		expect(history.possibleVersions(SERVICE, START_MS + 1_000 + RETENTION_MS - 1)).toEqual(['v1', 'v2']);
		expect(history.isAnyMixed(START_MS + 1_000 + RETENTION_MS - 1)).toBe(true);
		expect(history.possibleVersions(SERVICE, START_MS + 1_000 + RETENTION_MS)).toEqual(['v2']);
	});

	// Guards against taking the only registered version for the only possible one after all routers were killed.
	test('takes a version that nobody saw leave for one that has just left', () => {
		const before = historyOf('v1');
		const after = historyOf('v2');
		after.merge(before.toStored(), START_MS + 60_000);
		expect(after.possibleVersions(SERVICE, START_MS + 60_000)).toEqual(['v2', 'v1']);
		// Reading it again does not extend the time for which it is remembered.
		after.merge(before.toStored(), START_MS + 70_000);
		expect(after.possibleVersions(SERVICE, START_MS + 60_000 + RETENTION_MS)).toEqual(['v2']);
	});

	test('needs to be written when a version appears or leaves, and not again', () => {
		const history = historyOf('v1');
		const write = (): void => history.merge(history.toStored(), START_MS);
		expect(history.needsWrite).toBe(true);
		write();
		expect(history.needsWrite).toBe(false);
		history.setRegistered(serversOf('v1', 'v2'), START_MS);
		expect(history.needsWrite).toBe(true);
		write();
		history.setRegistered(serversOf('v2'), START_MS);
		expect(history.needsWrite).toBe(true);
		write();
		expect(history.needsWrite).toBe(false);
	});

	test('is not misled by a clock that is ahead', () => {
		const history = historyOf('v2');
		history.merge({ [SERVICE]: { v1: START_MS + 3_600_000 } }, START_MS);
		expect(history.possibleVersions(SERVICE, START_MS + RETENTION_MS)).toEqual(['v2']);
	});

	test('ignores servers whose version is not known', () => {
		const history = VersionHistory.create(() => RETENTION_MS);
		history.setRegistered([{ service: SERVICE, softwareVersion: undefined }], START_MS);
		expect(history.possibleVersions(SERVICE, START_MS)).toEqual([]);
	});

	// The bound: a version is never left out while one of its streams may be taken up, whatever the order of events.
	test('contains each version that was registered within the retention', () => {
		const steps = fc.array(
			fc.record({
				elapsedMs: fc.nat(15_000),
				versions: fc.uniqueArray(fc.constantFrom('v1', 'v2', 'v3')),
				isRestart: fc.boolean(),
			}),
			{ maxLength: 12 },
		);
		fc.assert(
			fc.property(steps, (all) => {
				let now = START_MS;
				let history = VersionHistory.create(() => RETENTION_MS);
				let stored = {};
				const lastRegistered = new Map<string, number>();
				let registered: readonly string[] = [];
				for (const { elapsedMs, versions, isRestart } of all) {
					now += elapsedMs;
					registered.forEach((version) => lastRegistered.set(version, now));
					registered = versions;
					if (isRestart) {
						history = VersionHistory.create(() => RETENTION_MS);
						history.merge(stored, now);
					}
					history.setRegistered(serversOf(...versions), now);
					stored = history.toStored();
					history.merge(stored, now);
					const expected = [...lastRegistered].filter(([, at]) => now - at < RETENTION_MS).map(([version]) => version);
					expect(history.possibleVersions(SERVICE, now)).toEqual(expect.arrayContaining([...expected, ...versions]));
				}
			}),
		);
	});
});

describe('the values in the store', () => {
	test('are read as they were written', () => {
		const record = { v1: [1, 2 ** 48 - 1], 'v1.2': [7] };
		expect(decodeRecord(encodeRecord(record))).toEqual(record);
		const history = { drafts: { v1: null, v2: START_MS } };
		expect(decodeHistory(encodeHistory(history))).toEqual(history);
	});

	test.each(['', '{', '[]', 'null', '{"v1":7}', '{"drafts":{"v1":"x"}}', '{"drafts":null}'])(
		'%j is read without what cannot be understood',
		(text) => {
			const value = Buffer.from(text);
			expect(Object.values(decodeRecord(value)).flat()).toEqual([]);
			expect(Object.values(decodeHistory(value)).flatMap((versions) => Object.keys(versions))).toEqual([]);
		},
	);
});
