import { afterEach, describe, expect, test } from '@jest/globals';
import { systemClock } from '../../base/common/clock.js';
import {
	disposeRouters,
	LARGE_FLEET_ROUTERS,
	startLargeFleet as startOn,
	startRouter,
	waitUntil,
} from './fleetFixture.js';
import type { FixtureRouter } from './fleetFixture.js';

const ACCOUNT = 77;

afterEach(disposeRouters);

const startLargeFleet = (): Promise<readonly FixtureRouter[]> => startOn('127.0.209');

describe('a large fleet', () => {
	// Usage was told less often than it was valid from 142 routers on, so accounts got more than their share.
	test('usage of accounts adds up over all failure domains, and stays so', async () => {
		const routers = await startLargeFleet();
		const admitted = (router: FixtureRouter): number =>
			router.shares.shareStatusOf(ACCOUNT, systemClock.now()).admitted;
		const total = 100 * LARGE_FLEET_ROUTERS;
		routers.forEach(({ shares }) => shares.recordAdmitted(ACCOUNT, 100, systemClock.now()));
		await waitUntil(() => routers.every((router) => admitted(router) === total), 3_000);
		for (let check = 0; check < 10; check++) {
			await new Promise((resolve) => setTimeout(resolve, 100));
			expect(routers.map(admitted)).toEqual(routers.map(() => total));
		}
	});

	test('what a keeper tells of its engines reaches all routers', async () => {
		const routers = await startLargeFleet();
		const [keeper] = routers.filter(({ assignments: duties }) => duties.ownsQueueOf('engine-1'));
		const now = systemClock.now();
		const work = { parts: [], promptTokens: 90_000, tokensPerEvent: 5, pauseAimMs: Infinity };
		const [option] = keeper?.engines.rankedOptions('drafts', work, new Set(), now) ?? [];
		if (keeper === undefined || option === undefined) {
			throw new Error('no keeper');
		}
		keeper.engines.place(option, work, now);
		const waitAt = ({ engines }: FixtureRouter): number =>
			engines.rankedOptions('drafts', { ...work, promptTokens: 100 }, new Set(), systemClock.now())[0]?.waitMs ?? 0;
		await waitUntil(() => routers.every((router) => waitAt(router) > 100), 2_000);
	});

	// Each router that learned of a change asked the one router that had read it.
	test('a change in the store reaches all routers through the relays', async () => {
		const routers = await startLargeFleet();
		for (const { follower, exchange } of routers) {
			follower.onDidChange(() => {
				if (exchange.isRelay) {
					exchange.announce();
				}
			});
		}
		const reader = routers.find(({ exchange }) => !exchange.isRelay);
		const snapshot = { entries: [{ key: 'servers/engine-1', revision: 7, value: Buffer.from('{}') }], revision: 9 };
		reader?.follower.apply(snapshot);
		reader?.exchange.announce();
		await waitUntil(() => routers.every(({ follower }) => follower.snapshot()?.revision === 9), 2_500);
	});

	test('a router that leaves is no router of the fleet for any other', async () => {
		const routers = await startLargeFleet();
		const [leaver, ...others] = [...routers].reverse();
		leaver?.exchange.leave();
		await waitUntil(() => others.every(({ exchange }) => exchange.routerCount === LARGE_FLEET_ROUTERS - 1), 2_000);
	});

	// What waited for all routers was never taken out, and the router sent to its relays every 10 ms for good.
	test('a router that has placed requests before it met the others does not go on sending', async () => {
		const routers = await startLargeFleet();
		const newcomer = await startRouter('router-new', '127.0.209');
		const now = systemClock.now();
		const work = { parts: [], promptTokens: 600, tokensPerEvent: 5, pauseAimMs: Infinity };
		for (let request = 0; request < 100; request++) {
			const [option] = newcomer.engines.rankedOptions('drafts', work, new Set(), now);
			if (option === undefined) {
				throw new Error('no engine');
			}
			newcomer.engines.place(option, work, now);
		}
		routers.slice(0, 3).forEach((seed) => newcomer.exchange.introduce(seed.datagramAddress));
		await waitUntil(() => newcomer.exchange.routerCount === LARGE_FLEET_ROUTERS + 1);
		await new Promise((resolve) => setTimeout(resolve, 1_000));
		const before = newcomer.exchange.sentCount;
		await new Promise((resolve) => setTimeout(resolve, 1_000));
		expect(newcomer.exchange.sentCount - before).toBeLessThan(200);
	});
});
