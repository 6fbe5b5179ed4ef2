import { afterEach, describe, expect, test } from '@jest/globals';
import { systemClock } from '../../base/common/clock.js';
import { StoreReaderSelection } from '../node/storeReaderSelection.js';
import { disposeRouters, type FixtureRouter, startLargeFleet, startPair, waitUntil } from './fleetFixture.js';

const NETWORK = '127.0.207';
const READERS = 9;
/** Milliseconds after which all routers of the test's fleet read the store: first 9, then 18, then all. */
const ALL_READ_AFTER_MS = 4_000;

afterEach(disposeRouters);

describe('StoreReaders', () => {
	// The store can refuse a third of the routers; with all nine readers among them, no router would receive changes.
	// When it is unavailable to all, calls of all routers at once cost more than all their other work.
	test('more and more routers of a large fleet read the store while none can, and only nine once one can', async () => {
		const routers = await startLargeFleet(NETWORK);
		const clock = { passed: 0, now: () => systemClock.now() + clock.passed };
		const readers = routers.map(({ assignments, exchange }) =>
			StoreReaderSelection.create(assignments, exchange, clock),
		);
		const count = (): number => readers.filter(({ isReader }) => isReader).length;
		expect(count()).toBe(READERS);
		clock.passed = ALL_READ_AFTER_MS / 2;
		expect(count()).toBe(2 * READERS);
		clock.passed = ALL_READ_AFTER_MS;
		expect(count()).toBe(routers.length);
		const [reader] = routers.filter(({ assignments }) => assignments.isAssigned('store', READERS));
		if (reader === undefined) {
			throw new Error('nobody reads the store');
		}
		reader.contact.since = systemClock.now();
		await waitUntil(() => readers.filter((one) => one.isReader).length === READERS);
		reader.contact.since = undefined;
		await waitUntil(() => routers.every(({ exchange }) => !exchange.isStoreReadByPeers));
		expect(count()).toBe(READERS);
		clock.passed += ALL_READ_AFTER_MS;
		await waitUntil(() => count() === routers.length);
	});

	// Guards against a fleet whose readers all notice late that their connections to the store have gone silent.
	test('three readers of a large fleet watch the store at short intervals', async () => {
		const routers = await startLargeFleet(NETWORK);
		const readers = routers.map(({ assignments, exchange }) =>
			StoreReaderSelection.create(assignments, exchange, systemClock),
		);
		const frequent = readers.filter(({ isFrequentReader }) => isFrequentReader);
		expect(frequent).toHaveLength(3);
		expect(frequent.every(({ isReader }) => isReader)).toBe(true);
	});

	test('all routers of a small fleet read the store', async () => {
		const pair = await startPair(NETWORK);
		const isReader = ({ assignments, exchange }: FixtureRouter): boolean =>
			StoreReaderSelection.create(assignments, exchange, systemClock).isReader;
		expect(pair.every(isReader)).toBe(true);
	});
});
