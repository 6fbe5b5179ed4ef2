import { afterEach, describe, expect, test } from '@jest/globals';
import { Effect, Fiber } from 'effect';
import { MemoryStore } from '../../store/test/memoryStore.js';
import { createSuspects, type Suspects } from '../common/suspectRegistry.js';
import { QuarantineRecords } from '../node/quarantineRecords.js';

const REQUEST = 0xab_cdef;
const CRASHES = 3;

/** Longer than the interval at which changes are written. */
const WRITTEN_MS = 600;

/** Longer than the interval at which evidence is written. */
const EVIDENCE_WRITTEN_MS = 1_500;

/** Longer than the interval at which the store is compared. */
const COMPARED_MS = 11_000;

interface FixtureRouter {
	readonly suspects: Suspects;
	readonly now: () => number;
	readonly advance: (milliseconds: number) => void;
	readonly kill: () => void;
}

const stops: (() => void)[] = [];

afterEach(() => stops.splice(0).forEach((stop) => stop()));

/** Starts the records of one router process, whose clock can be advanced. */
function startRouter(store: MemoryStore, isWriter = true): FixtureRouter {
	const suspects = createSuspects();
	let advanced = 0;
	const now = (): number => performance.now() + advanced;
	const log = { write: () => undefined };
	const records = QuarantineRecords.create(
		store,
		suspects,
		() => isWriter,
		{ now },
		() => Date.now(),
		log,
	);
	const fiber = Effect.runFork(records.run());
	const kill = (): void => void Effect.runFork(Fiber.interrupt(fiber));
	stops.push(kill);
	return { suspects, now, advance: (milliseconds) => (advanced += milliseconds), kill };
}

function crashByRequest({ suspects, now }: FixtureRouter): void {
	for (let server = 0; server < CRASHES; server++) {
		suspects.request.recordCrash({ server, suspects: [REQUEST] }, now());
	}
}

function isRefused({ suspects, now }: FixtureRouter): boolean {
	return suspects.request.quarantineMs([REQUEST], now()) > 0;
}

function revisionOf(store: MemoryStore): number {
	return Math.max(0, ...[...store.items.values()].map(({ revision }) => revision));
}

function pause(milliseconds: number): Promise<void> {
	return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

describe('QuarantineRecords', () => {
	// Guards against a quarantine that is lost with the routers that know of it.
	test('quarantines outlive the loss of all routers', async () => {
		const store = MemoryStore.create();
		const router = startRouter(store);
		await pause(WRITTEN_MS);
		crashByRequest(router);
		await pause(WRITTEN_MS);
		router.kill();
		const next = startRouter(store, false);
		await pause(WRITTEN_MS);
		expect(isRefused(next)).toBe(true);
	});

	test('a router that starts while the store is away reads the quarantines afterwards', async () => {
		const store = MemoryStore.create();
		const router = startRouter(store);
		crashByRequest(router);
		await pause(WRITTEN_MS);
		router.kill();
		store.isDown = true;
		const next = startRouter(store);
		await pause(WRITTEN_MS);
		expect(isRefused(next)).toBe(false);
		store.isDown = false;
		await pause(2 * WRITTEN_MS);
		expect(isRefused(next)).toBe(true);
	});

	test('a suspect that is cleared is removed from the store', async () => {
		const store = MemoryStore.create();
		const router = startRouter(store);
		crashByRequest(router);
		await pause(WRITTEN_MS);
		router.suspects.request.clear([REQUEST], router.now());
		await pause(WRITTEN_MS);
		const next = startRouter(store);
		await pause(WRITTEN_MS);
		expect(isRefused(next)).toBe(false);
	});

	test('quarantines that a restored store lacks are written again', async () => {
		const store = MemoryStore.create();
		const router = startRouter(store);
		crashByRequest(router);
		await pause(WRITTEN_MS);
		store.items.clear();
		router.advance(COMPARED_MS);
		await pause(WRITTEN_MS);
		const next = startRouter(store);
		await pause(WRITTEN_MS);
		expect(isRefused(next)).toBe(true);
	});

	test.each(['[{"kind":"request","key":"x"}, 7, null]', '{}', 'not JSON'])(
		'an entry of another writer is replaced: %s',
		async (text) => {
			const store = MemoryStore.create();
			Effect.runSync(store.compareAndSwap('masticloom/quarantines', 0, Buffer.from(text)));
			const router = startRouter(store);
			crashByRequest(router);
			await pause(WRITTEN_MS);
			const next = startRouter(store);
			await pause(WRITTEN_MS);
			expect(isRefused(next)).toBe(true);
		},
	);

	test('nothing is written while nothing is quarantined', async () => {
		const store = MemoryStore.create();
		const router = startRouter(store);
		router.advance(COMPARED_MS);
		await pause(WRITTEN_MS);
		expect(store.writes).toBe(0);
	});

	// Guards against a count that begins again when all routers are lost before the third crash.
	test('crashes before a quarantine outlive the loss of all routers, one by one', async () => {
		const store = MemoryStore.create();
		for (let server = 0; server < CRASHES; server++) {
			const router = startRouter(store);
			await pause(WRITTEN_MS);
			expect(isRefused(router)).toBe(false);
			router.suspects.request.recordCrash({ server, suspects: [REQUEST] }, router.now());
			await pause(EVIDENCE_WRITTEN_MS);
			router.kill();
		}
		const next = startRouter(store, false);
		await pause(WRITTEN_MS);
		expect(isRefused(next)).toBe(true);
	}, 20_000);

	// Guards against a harmless request that is refused since a router had not heard that it was cleared.
	test('what has been cleared outlives the loss of all routers', async () => {
		const store = MemoryStore.create();
		const router = startRouter(store);
		crashByRequest(router);
		await pause(WRITTEN_MS);
		router.suspects.request.recordSurvival([REQUEST], router.now());
		await pause(EVIDENCE_WRITTEN_MS);
		router.kill();
		const next = startRouter(store);
		await pause(WRITTEN_MS);
		const heard = { key: REQUEST, crashes: CRASHES, quarantineMs: 50_000, ageMs: 10_000 };
		expect(next.suspects.request.applyQuarantine(heard, next.now())).toBe(false);
		expect(isRefused(next)).toBe(false);
	}, 20_000);

	// Guards against calls to the store for each request that a crash has ended, or that a server has survived afterwards.
	test('evidence is written once a second at most', async () => {
		const store = MemoryStore.create();
		const router = startRouter(store);
		await pause(WRITTEN_MS);
		const before = revisionOf(store);
		for (let server = 0; server < 20; server++) {
			router.suspects.request.recordCrash({ server, suspects: [1_000 + server] }, router.now());
			await pause(50);
			router.suspects.request.recordSurvival([1_000 + server], router.now());
		}
		await pause(EVIDENCE_WRITTEN_MS);
		expect(revisionOf(store) - before).toBeLessThanOrEqual(3);
	}, 20_000);
});
