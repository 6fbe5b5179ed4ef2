import { afterEach, describe, expect, test } from '@jest/globals';
import { Effect, Fiber } from 'effect';
import type { KeyValue } from '../../store/common/keyValueStore.js';
import { MemoryStore } from '../../store/test/memoryStore.js';
import type { VersionedServer } from '../common/versionHistory.js';
import type { StreamOrigin } from '../common/streamVersions.js';
import { type StreamRecordFleet, StreamVersionRecords } from '../node/streamVersionRecords.js';

const SERVICE = 'drafts';
const LIFETIME_MS = 10_000;

/** Longer than the interval at which records are written. */
const WRITTEN_MS = 700;

/** Longer than the time for which a read shows that there is one version. */
const LATER_MS = 100;

/** Stands for the registrations of all servers. */
const REGISTRATIONS_KEY = 'servers';

type FixtureRecords = StreamVersionRecords & { readonly kill: () => void; readonly registry: MemoryStore };

/** Time in milliseconds for which a router may rely on one read of the records while there is one version. */
const READ_VALID_MS = 50;

const stops: (() => void)[] = [];

afterEach(() => stops.splice(0).forEach((stop) => stop()));

/** Starts the records of one router process. */
function startRecords(
	store: MemoryStore,
	instance: string,
	overrides: Partial<StreamRecordFleet> = {},
): FixtureRecords {
	const fleet: StreamRecordFleet = {
		instance,
		countRouters: () => 2,
		writesPerSecond: 400,
		isHistoryWriter: () => true,
		readRegistrations: () => Effect.map(store.get(REGISTRATIONS_KEY), (item) => serversOf(...decodeVersions(item))),
		isInStep: () => false,
		longestRequestMs: () => LIFETIME_MS,
		...overrides,
	};
	const clock = { now: () => performance.now() };
	const records = StreamVersionRecords.create(store, fleet, clock, () => Date.now(), { write: () => undefined });
	const fiber = Effect.runFork(records.run());
	const kill = (): void => void Effect.runFork(Fiber.interrupt(fiber));
	stops.push(kill);
	return Object.assign(records, { kill, registry: store });
}

/** Registers servers; only the given router hears of them. */
function register(records: FixtureRecords, ...versions: readonly string[]): void {
	const value = Buffer.from(versions.join(' '));
	records.registry.items.set(REGISTRATIONS_KEY, { key: REGISTRATIONS_KEY, revision: 1, value });
	records.setRegistered(serversOf(...versions));
}

function serversOf(...versions: readonly string[]): readonly VersionedServer[] {
	return versions.map((softwareVersion) => ({ service: SERVICE, softwareVersion }));
}

function decodeVersions(item: KeyValue | undefined): readonly string[] {
	return item === undefined ? [] : Buffer.from(item.value).toString().split(' ');
}

function begin(records: StreamVersionRecords, attempt: string, version: string, account = 'harbour'): void {
	records.recordBegin({ account, attempt }, version, LIFETIME_MS);
}

function find(records: StreamVersionRecords, attempt: string | undefined, account = 'harbour'): Promise<StreamOrigin> {
	return Effect.runPromise(records.findOrigin(SERVICE, { account, attempt }));
}

const sleep = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds));

describe('StreamVersionRecords', () => {
	// Guards against streams that are joined or lost when all routers are killed at once during a release.
	test('a new router knows the streams of routers that were killed', async () => {
		const store = MemoryStore.create();
		const before = ['router-1', 'router-2'].map((instance) => startRecords(store, instance));
		before.forEach((records) => register(records, 'v1', 'v2'));
		before.forEach((records, index) => begin(records, `old-${index}`, 'v1'));
		before.forEach((records, index) => begin(records, `new-${index}`, 'v2'));
		await sleep(WRITTEN_MS);
		before.forEach(({ kill }) => kill());
		const after = startRecords(store, 'router-1');
		register(after, 'v2');
		expect(await find(after, 'old-1')).toEqual({ kind: 'known', version: 'v1', source: 'record' });
		expect(await find(after, 'new-0')).toEqual({ kind: 'known', version: 'v2', source: 'record' });
		expect(await find(after, 'never-begun')).toEqual({ kind: 'unknown', isTemporary: false });
		expect(await find(after, 'old-1', 'another account')).toMatchObject({ kind: 'unknown' });
		expect(await find(after, undefined)).toMatchObject({ kind: 'unknown' });
	});

	test('streams that began before a second version came are recorded too', async () => {
		const store = MemoryStore.create();
		const before = startRecords(store, 'router-1');
		register(before, 'v1');
		begin(before, 'old', 'v1');
		await sleep(WRITTEN_MS);
		register(before, 'v1', 'v2');
		await sleep(WRITTEN_MS);
		before.kill();
		const after = startRecords(store, 'router-2');
		register(after, 'v2');
		expect(await find(after, 'old')).toMatchObject({ version: 'v1' });
	});

	test('while there is one version, streams cost no calls and any router knows it', async () => {
		const store = MemoryStore.create();
		const before = startRecords(store, 'router-1');
		register(before, 'v1');
		await sleep(WRITTEN_MS);
		const { reads, writes } = store;
		for (let index = 0; index < 50; index++) {
			begin(before, `stream-${index}`, 'v1');
			await sleep(10);
		}
		const after = startRecords(store, 'router-2');
		register(after, 'v1');
		const takenUpAt = performance.now();
		for (let index = 0; index < 50; index++) {
			expect(await find(after, `stream-${index}`)).toEqual({ kind: 'known', version: 'v1', source: 'single-version' });
		}
		expect(store.writes - writes).toBeLessThanOrEqual(1);
		const validPeriods = Math.floor((performance.now() - takenUpAt) / READ_VALID_MS);
		expect(store.reads - reads).toBeLessThanOrEqual(2 + validPeriods);
	});

	// Guards against guessing the version that is registered when the old one left while nobody ran.
	test('a router that starts after the old version has left does not guess', async () => {
		const store = MemoryStore.create();
		const before = startRecords(store, 'router-1');
		register(before, 'v1');
		begin(before, 'old', 'v1');
		await sleep(WRITTEN_MS);
		before.kill();
		const after = startRecords(store, 'router-1');
		register(after, 'v2');
		expect(await find(after, 'old')).toEqual({ kind: 'unknown', isTemporary: false });
	});

	test('a router that cannot read the records does not guess, and says that it may know later', async () => {
		const store = MemoryStore.create();
		const before = startRecords(store, 'router-1');
		register(before, 'v1', 'v2');
		begin(before, 'old', 'v1');
		await sleep(WRITTEN_MS);
		store.isDown = true;
		const after = startRecords(store, 'router-2');
		register(after, 'v2');
		expect(await find(after, 'old')).toEqual({ kind: 'unknown', isTemporary: true });
		expect(await find(before, 'old')).toMatchObject({ version: 'v1', source: 'own' });
		store.isDown = false;
		expect(await find(after, 'old')).toMatchObject({ version: 'v1', source: 'record' });
	});

	// Guards against a router that has not heard of a version whose streams no other router has recorded yet.
	test('a router that has missed the registration of a version does not guess', async () => {
		const store = MemoryStore.create();
		const behind = startRecords(store, 'router-1');
		register(behind, 'v1');
		register(startRecords(store, 'router-2', { isHistoryWriter: () => false }), 'v1', 'v2');
		expect(await find(behind, 'any')).toMatchObject({ kind: 'unknown' });
	});

	test('a router that is in step with the others knows the only version while the store is away', async () => {
		const store = MemoryStore.create();
		const records = startRecords(store, 'router-1', { isInStep: () => true });
		register(records, 'v1');
		await find(records, 'any');
		store.isDown = true;
		await sleep(WRITTEN_MS);
		expect(await find(records, 'any')).toEqual({ kind: 'known', version: 'v1', source: 'single-version' });
	});

	// Guards against a router that has just read the records, and takes the only version that it has heard of for certain.
	test('a router that has not heard of a new version finds the version of its streams', async () => {
		const store = MemoryStore.create();
		const behind = startRecords(store, 'router-1');
		register(behind, 'v1');
		const other = startRecords(store, 'router-2');
		register(other, 'v1');
		await sleep(WRITTEN_MS);
		await find(behind, 'any');
		register(other, 'v1', 'v2');
		begin(other, 'new', 'v2');
		await sleep(WRITTEN_MS);
		expect(await find(behind, 'new')).toMatchObject({ version: 'v2', source: 'record' });
	});

	// Guards against a router that is cut off, and falls back on the only version that it has heard of.
	test('a router that is cut off from the store does not guess', async () => {
		const store = MemoryStore.create();
		const cutOff = startRecords(store, 'router-1');
		register(cutOff, 'v1');
		await sleep(WRITTEN_MS);
		await find(cutOff, 'any');
		store.isDown = true;
		await sleep(LATER_MS);
		expect(await find(cutOff, 'new')).toEqual({ kind: 'unknown', isTemporary: true });
	});

	// Guards against records that are missing for good after the store was restored from an older copy.
	test('the records are written again when the store has lost them', async () => {
		const store = MemoryStore.create();
		const before = startRecords(store, 'router-1');
		register(before, 'v1', 'v2');
		begin(before, 'old', 'v1');
		await sleep(WRITTEN_MS);
		store.items.clear();
		begin(before, 'next', 'v2');
		await sleep(WRITTEN_MS);
		const after = startRecords(store, 'router-2');
		register(after, 'v2');
		expect(await find(after, 'old')).toMatchObject({ version: 'v1' });
	});

	test('many requests that take streams up at once share one read', async () => {
		const store = MemoryStore.create();
		const records = startRecords(store, 'router-1');
		register(records, 'v1', 'v2');
		await Promise.all(Array.from({ length: 500 }, (_, index) => find(records, `unknown-${index}`)));
		expect(store.reads).toBeLessThanOrEqual(2);
	});
});
