import { afterEach, describe, expect, test } from '@jest/globals';
import { systemClock } from '../../base/common/clock.js';
import { isStoreReader } from '../node/storeReaders.js';
import { disposeRouters, type FixtureRouter, startLargeFleet, startPair, until } from './fleetFixture.js';

const NETWORK = '127.0.207';
const READERS = 9;

afterEach(disposeRouters);

function readersOf(routers: readonly FixtureRouter[]): readonly FixtureRouter[] {
	return routers.filter(({ duties, exchange }) => isStoreReader(duties, exchange));
}

describe('isStoreReader', () => {
	// The store can refuse a third of the routers; with all nine readers among them, nobody would learn of changes.
	test('all routers of a large fleet read while none of the readers can, and only these once one can', async () => {
		const routers = await startLargeFleet(NETWORK);
		expect(readersOf(routers)).toHaveLength(routers.length);
		const [reader] = routers.filter(({ duties }) => duties.isAmong('store', READERS));
		if (reader === undefined) {
			throw new Error('nobody reads the store');
		}
		reader.contact.since = systemClock.now();
		await until(() => readersOf(routers).length === READERS);
		reader.contact.since = undefined;
		await until(() => readersOf(routers).length === routers.length);
	});

	test('all routers of a small fleet read', async () => {
		const pair = await startPair(NETWORK);
		expect(readersOf(pair)).toHaveLength(2);
	});
});
