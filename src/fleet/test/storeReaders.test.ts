import { afterEach, describe, expect, test } from '@jest/globals';
import { systemClock } from '../../base/common/clock.js';
import { StoreReaders } from '../node/storeReaders.js';
import { disposeRouters, type FixtureRouter, startLargeFleet, startPair, until } from './fleetFixture.js';

const NETWORK = '127.0.207';
const READERS = 9;
/** Time after which all routers of the test's fleet read, in milliseconds: 9 routers, 18, and then all. */
const ALL_READ_AFTER_MS = 4_000;

afterEach(disposeRouters);

describe('StoreReaders', () => {
	// The store can refuse a third of the routers; with all nine readers among them, nobody would learn of changes.
	// When it is away for all, calls of all routers at once cost more than anything else that they do.
	test('more and more routers of a large fleet read while none can, and only nine once one can', async () => {
		const routers = await startLargeFleet(NETWORK);
		const clock = { passed: 0, now: () => systemClock.now() + clock.passed };
		const readers = routers.map(({ duties, exchange }) => StoreReaders.create(duties, exchange, clock));
		const count = (): number => readers.filter(({ isReader }) => isReader).length;
		expect(count()).toBe(READERS);
		clock.passed = ALL_READ_AFTER_MS / 2;
		expect(count()).toBe(2 * READERS);
		clock.passed = ALL_READ_AFTER_MS;
		expect(count()).toBe(routers.length);
		const [reader] = routers.filter(({ duties }) => duties.isAmong('store', READERS));
		if (reader === undefined) {
			throw new Error('nobody reads the store');
		}
		reader.contact.since = systemClock.now();
		await until(() => readers.filter((one) => one.isReader).length === READERS);
		reader.contact.since = undefined;
		await until(() => routers.every(({ exchange }) => !exchange.isReadByPeers));
		expect(count()).toBe(READERS);
		clock.passed += ALL_READ_AFTER_MS;
		await until(() => count() === routers.length);
	});

	test('all routers of a small fleet read', async () => {
		const pair = await startPair(NETWORK);
		const isReader = ({ duties, exchange }: FixtureRouter): boolean =>
			StoreReaders.create(duties, exchange, systemClock).isReader;
		expect(pair.every(isReader)).toBe(true);
	});
});
