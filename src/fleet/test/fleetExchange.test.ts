import { createSocket } from 'node:dgram';
import { afterEach, describe, expect, test } from '@jest/globals';
import { systemClock } from '../../base/common/clock.js';
import { shortKey } from '../../base/common/shortKey.js';
import type { EngineOption } from '../../engines/common/engineChoice.js';
import {
	disposeRouters,
	type FixtureRouter,
	startPair as startPairOn,
	startRouter,
	waitUntil,
	shortPrompt,
} from './fleetFixture.js';

afterEach(disposeRouters);

const startPair = (): Promise<readonly [FixtureRouter, FixtureRouter]> => startPairOn('127.0.205');

const HARMFUL_REQUEST = shortKey('a request that crashes engines');
const CRASHES = 3;

function crashByRequest({ suspects }: FixtureRouter): void {
	for (let server = 0; server < CRASHES; server++) {
		suspects.request.recordCrash({ server, suspects: [HARMFUL_REQUEST] }, systemClock.now());
	}
}

function isRequestRefused({ suspects }: FixtureRouter): boolean {
	return suspects.request.quarantineMs([HARMFUL_REQUEST], systemClock.now()) > 0;
}

describe('FleetExchange', () => {
	test('an introduction makes both routers known to each other', async () => {
		const [one, two] = await startPair();
		expect(one.exchange.routerCount).toBe(2);
		expect(two.exchange.routerCount).toBe(2);
		expect(one.events).toContain('peer-found');
	});

	test('a placement counts as queued work at the peer until its first event', async () => {
		const [one, two] = await startPair();
		const now = systemClock.now();
		const [option] = one.engines.rankedOptions('drafts', { ...shortPrompt, promptTokens: 60_000 }, new Set(), now);
		if (option === undefined) {
			throw new Error('no engine');
		}
		const sequence = one.engines.place(option, shortPrompt, now);
		const waitAt = (): number =>
			two.engines.rankedOptions('drafts', shortPrompt, new Set(), systemClock.now())[0]?.waitMs ?? 0;
		await waitUntil(() => waitAt() > 100);
		one.engines.recordFirstEvent('engine-1', sequence, systemClock.now());
		await waitUntil(() => waitAt() === 0);
	});

	// After the loss of all routers, each one that started placed prompts as if the engines were idle, on top of the work
	// of those that had started before it; after the restart of one, it sent documents to engines that had not cached them.
	test('a router that has just started learns the queued prompts and the cached parts from its peer', async () => {
		const [one, two] = await startPair();
		const now = systemClock.now();
		const documents = Array.from({ length: 200 }, (_, key) => ({ key: key + 100, tokens: 500 }));
		const long = { ...shortPrompt, parts: [...documents, { key: 12, tokens: 100 }], promptTokens: 100_100 };
		const bestOptionOf = ({ engines }: FixtureRouter): EngineOption => {
			const [best] = engines.rankedOptions('drafts', long, new Set(), systemClock.now());
			if (best === undefined) {
				throw new Error('no engine');
			}
			return best;
		};
		const option = bestOptionOf(one);
		one.engines.place(option, long, now);
		// Until its notice has been sent, the placement would reach the new router in any case.
		await waitUntil(() => bestOptionOf(two).workMs < option.workMs / 10);
		const late = await startRouter('router-3', '127.0.205');
		late.exchange.introduce(one.datagramAddress);
		await waitUntil(() => bestOptionOf(late).workMs < option.workMs / 10);
		const waitMs = late.engines.rankedOptions('drafts', shortPrompt, new Set(), systemClock.now())[0]?.waitMs;
		expect(waitMs).toBeGreaterThan(option.workMs / 2);
		expect(late.engines.ownInProgressAt('engine-1')).toBe(0);
	});

	test('usage of accounts adds up over routers', async () => {
		const [one, two] = await startPair();
		const account = shortKey('harbour');
		one.shares.recordAdmitted(account, 300, systemClock.now());
		two.shares.recordAdmitted(account, 200, systemClock.now());
		await waitUntil(() => two.shares.shareStatusOf(account, systemClock.now()).admitted === 500);
	});

	test('a request that crashed engines elsewhere is refused here', async () => {
		const [one, two] = await startPair();
		crashByRequest(one);
		await waitUntil(() => isRequestRefused(two));
	});

	test('a server that has ended is known to all routers', async () => {
		const [one, two] = await startPair();
		const heard: number[] = [];
		two.owner.add(two.exchange.onDidHearCrash((server) => heard.push(server)));
		one.suspects.request.recordCrash({ server: 77, suspects: [HARMFUL_REQUEST] }, systemClock.now());
		await waitUntil(() => heard.includes(77));
	});

	// Guards against a notice that is sent once: a router that started later spent more engines on the request.
	test('a request that crashed engines is refused at a router that starts later', async () => {
		const [one, two] = await startPair();
		crashByRequest(one);
		await waitUntil(() => isRequestRefused(two));
		const late = await startRouter('router-3', '127.0.205');
		late.exchange.introduce(one.datagramAddress);
		await waitUntil(() => isRequestRefused(late));
	});

	// Guards against a notice that is sent once: a router that was frozen, or cut off, when it came never learned of it.
	test('a request that crashed engines is refused at a router that missed the notice of it', async () => {
		const [one, two] = await startPair();
		const status = { key: HARMFUL_REQUEST, crashes: 3, quarantineMs: 60_000, ageMs: 0 };
		one.suspects.request.applyQuarantine(status, systemClock.now());
		await waitUntil(() => isRequestRefused(two));
	});

	// Guards against a count of crashes that begins again when routers are replaced one after the other.
	test('crashes before a quarantine are known to a router that starts later', async () => {
		const [one] = await startPair();
		one.suspects.request.recordCrash({ server: 1, suspects: [HARMFUL_REQUEST] }, systemClock.now());
		one.suspects.request.recordCrash({ server: 2, suspects: [HARMFUL_REQUEST] }, systemClock.now());
		const three = await startRouter('router-4', '127.0.205');
		three.exchange.introduce(one.datagramAddress);
		await waitUntil(() => three.suspects.request.isAlmostQuarantined(HARMFUL_REQUEST));
		expect(isRequestRefused(three)).toBe(false);
	});

	// Guards against a router that was frozen when a crash was told, and lets one more server end.
	test('crashes before a quarantine are known to a router that missed the notices of them', async () => {
		const [one, two] = await startPair();
		const crashes = [1, 2].map((crashed) => ({ server: crashed, ageMs: 0 }));
		const evidence = { key: HARMFUL_REQUEST, crashes, clearedAgeMs: undefined };
		one.suspects.request.applyEvidence(evidence, systemClock.now());
		await waitUntil(() => two.suspects.request.isAlmostQuarantined(HARMFUL_REQUEST));
	});

	// Guards against routers that each see too few of the prompts to find the part that crashes engines.
	test('a part of prompts that crashed engines at several routers is refused at all, also at one that starts later', async () => {
		const [one, two] = await startPair();
		const part = shortKey('harmful part');
		const isRefused = ({ suspects }: FixtureRouter): boolean =>
			suspects.part.quarantineMs([part], systemClock.now()) > 0;
		for (const [index, router] of [one, two, one].entries()) {
			router.suspects.part.recordCrash({ server: index, suspects: [part] }, systemClock.now());
			await new Promise((resolve) => setTimeout(resolve, 300));
		}
		await waitUntil(() => isRefused(one) && isRefused(two));
		const late = await startRouter('router-3', '127.0.205');
		late.exchange.introduce(one.datagramAddress);
		late.exchange.introduce(two.datagramAddress);
		await waitUntil(() => isRefused(late));
		two.suspects.part.recordSurvival([part], systemClock.now());
		await waitUntil(() => !isRefused(one) && !isRefused(late));
	});

	test('a peer that stays silent is lost, together with its work and usage', async () => {
		const [one, two] = await startPair();
		two.shares.recordAdmitted(1, 200, systemClock.now());
		await waitUntil(() => one.shares.shareStatusOf(1, systemClock.now()).admitted === 200);
		two.owner.dispose();
		await waitUntil(() => one.exchange.peers[0]?.lost === true);
		expect(one.shares.shareStatusOf(1, systemClock.now()).admitted).toBe(0);
		expect(one.exchange.routerCount).toBe(1);
		expect(one.events).toContain('peer-lost');
	});

	test('a datagram that cannot be decoded is logged and does no harm', async () => {
		const [one, two] = await startPair();
		const socket = createSocket('udp4');
		const { host, port } = one.datagramAddress;
		socket.send(Buffer.from([0xff, 0xff, 0xff]), port, host, () => socket.close());
		await waitUntil(() => one.events.includes('datagram-unreadable'));
		expect(one.exchange.peers[0]?.instance).toBe('router-2');
		expect(two.exchange.peers).toHaveLength(1);
	});

	// The store can refuse a third of the routers while engines are leaving; these routers need the changes from peers.
	test('a router that cannot read the store fetches a snapshot from its peer', async () => {
		const [one, two] = await startPair();
		one.follower.apply({
			entries: [{ key: 'servers/engine-1', revision: 7, value: Buffer.from('{}') }],
			revision: 9,
		});
		await waitUntil(() => two.follower.snapshot()?.revision === 9);
		expect(two.follower.snapshot()?.entries).toHaveLength(1);
	});
});

describe('a router that is in step with the others', () => {
	// Guards against a router that takes what it has last heard for what is, after it was cut off.
	test('is no longer when it does not hear them', async () => {
		const [one, two] = await startPair();
		await waitUntil(() => one.exchange.isInStep);
		two.owner.dispose();
		await waitUntil(() => !one.exchange.isInStep, 1_000);
	});

	test('is no longer when another one knows of a later change, until it has the change', async () => {
		const [one, two] = await startPair();
		await waitUntil(() => two.exchange.isInStep);
		const isInStepAtUpdates: boolean[] = [];
		two.owner.add(two.exchange.onDidUpdatePeer(() => isInStepAtUpdates.push(two.exchange.isInStep)));
		one.follower.apply({
			entries: [{ key: 'servers/engine-1', revision: 7, value: Buffer.from('{}') }],
			revision: 9,
		});
		one.exchange.announce();
		await waitUntil(() => isInStepAtUpdates.includes(false));
		await waitUntil(() => two.exchange.isInStep);
		expect(two.follower.snapshot()?.revision).toBe(9);
	});

	test('is never when it is alone', async () => {
		const alone = await startRouter('router-1', '127.0.205');
		await new Promise((resolve) => setTimeout(resolve, 300));
		expect(alone.exchange.isInStep).toBe(false);
	});
});
