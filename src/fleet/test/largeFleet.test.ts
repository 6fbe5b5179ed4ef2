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
	// With 142 or more routers, usage was sent at longer intervals than it stays valid, so accounts exceeded their share.
	test('usage of accounts adds up over all failure domains and stays constant', async () => {
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

	test('the reports that a keeper sends about its engines reach all routers', async () => {
		const routers = await startLargeFleet();
		const [queueOwner] = routers.filter(({ assignments }) => assignments.ownsQueueOf('engine-1'));
		const now = systemClock.now();
		const prompt = { parts: [], promptTokens: 90_000, tokensPerEvent: 5, pauseAimMs: Infinity };
		const [option] = queueOwner?.engines.rankedOptions('drafts', prompt, new Set(), now) ?? [];
		if (queueOwner === undefined || option === undefined) {
			throw new Error('no keeper');
		}
		queueOwner.engines.place(option, prompt, now);
		const waitAt = ({ engines }: FixtureRouter): number =>
			engines.rankedOptions('drafts', { ...prompt, promptTokens: 100 }, new Set(), systemClock.now())[0]?.waitMs ?? 0;
		await waitUntil(() => routers.every((router) => waitAt(router) > 100), 2_000);
	});

	// Guards against every router that learns of a change fetching it from the one router that has read it.
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

	test('a router that is leaving no longer counts at any other router', async () => {
		const routers = await startLargeFleet();
		const [leavingRouter, ...others] = [...routers].reverse();
		leavingRouter?.exchange.leave();
		await waitUntil(() => others.every(({ exchange }) => exchange.routerCount === LARGE_FLEET_ROUTERS - 1), 2_000);
	});

	// Guards against a broadcast outbox that is never emptied: the router sent to its relays every 10 ms from then on.
	test('a router that placed requests before it knew the others does not send continuously', async () => {
		const routers = await startLargeFleet();
		const newRouter = await startRouter('router-new', '127.0.209');
		const now = systemClock.now();
		const prompt = { parts: [], promptTokens: 600, tokensPerEvent: 5, pauseAimMs: Infinity };
		for (let request = 0; request < 100; request++) {
			const [option] = newRouter.engines.rankedOptions('drafts', prompt, new Set(), now);
			if (option === undefined) {
				throw new Error('no engine');
			}
			newRouter.engines.place(option, prompt, now);
		}
		routers.slice(0, 3).forEach((seed) => newRouter.exchange.introduce(seed.datagramAddress));
		await waitUntil(() => newRouter.exchange.routerCount === LARGE_FLEET_ROUTERS + 1);
		await new Promise((resolve) => setTimeout(resolve, 1_000));
		const before = newRouter.exchange.sentCount;
		await new Promise((resolve) => setTimeout(resolve, 1_000));
		expect(newRouter.exchange.sentCount - before).toBeLessThan(200);
	});
});
