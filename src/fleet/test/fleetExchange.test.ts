import { createSocket } from 'node:dgram';
import { afterEach, describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { CrashSuspects } from '../../backends/common/crashSuspects.js';
import { systemClock } from '../../base/common/clock.js';
import { DisposableStore } from '../../base/common/lifecycle.js';
import { shortKey } from '../../base/common/shortKey.js';
import type { RegisteredServer } from '../../engines/common/directory.js';
import { EngineFleet, type PromptWork } from '../../engines/common/engineFleet.js';
import type { SocketAddress } from '../../settings/common/settings.js';
import { FleetShares } from '../../shares/common/fleetShares.js';
import type { IRevisionedStore } from '../../store/common/revisionedStore.js';
import { PrefixFollower } from '../../store/node/prefixFollower.js';
import { FleetExchange } from '../node/fleetExchange.js';
import { SnapshotExchange } from '../node/snapshotExchange.js';

const server: RegisteredServer = {
	id: 'engine-1',
	service: 'drafts',
	address: '10.0.0.1:80',
	failureDomain: 'a',
	slots: 64,
	leaving: false,
	startedAt: 1,
};

const work: PromptWork = {
	parts: [
		{ key: 11, tokens: 500 },
		{ key: 12, tokens: 100 },
	],
	promptTokens: 600,
	tokensPerEvent: 5,
	pauseAimMs: 500,
};

interface Router {
	readonly exchange: FleetExchange;
	readonly engines: EngineFleet;
	readonly shares: FleetShares;
	readonly suspects: CrashSuspects;
	readonly follower: PrefixFollower;
	readonly datagramAddress: SocketAddress;
	readonly events: string[];
	readonly owner: DisposableStore;
}

// Addresses of their own, with ports below those of outgoing connections, cannot be taken by tests that run beside.
const NETWORK = '127.0.205';
const DATAGRAM_PORT = 17_400;
const PEER_PORT = 18_785;

const routers: Router[] = [];
let started = 0;

afterEach(() => routers.splice(0).forEach(({ owner }) => owner.dispose()));

async function startRouter(instance: string): Promise<Router> {
	const owner = DisposableStore.create();
	const events: string[] = [];
	const log = { write: (event: string) => void events.push(event) };
	const engines = EngineFleet.create(instance, 'a');
	engines.setServers([server], systemClock.now());
	const shares = FleetShares.create(4_000, () => 1_000);
	const suspects = CrashSuspects.create(instance, systemClock);
	const unreadable: IRevisionedStore = {
		get: () => Effect.never,
		compareAndSwap: () => Effect.never,
		remove: () => Effect.never,
		grantLease: () => Effect.never,
		keepAlive: () => Effect.never,
		readAll: () => Effect.never,
		waitForChanges: () => Effect.never,
	};
	const follower = owner.add(PrefixFollower.create('servers/', unreadable, systemClock, log));
	const host = `${NETWORK}.${++started}`;
	const datagramAddress = { host, port: DATAGRAM_PORT };
	const peerAddress = { host, port: PEER_PORT };
	const exchange = owner.add(
		FleetExchange.create(
			{ instance, failureDomain: 'a', peerAddress, datagramAddress },
			{
				engines,
				shares,
				suspects,
				contactSince: () => follower.contactSince,
				followedRevisions: () => [follower.lastChangeRevision],
			},
			systemClock,
			log,
		),
	);
	const snapshots = owner.add(SnapshotExchange.create([follower], exchange, systemClock, log));
	await exchange.listen();
	await snapshots.listen(peerAddress);
	const router = { exchange, engines, shares, suspects, follower, datagramAddress, events, owner };
	routers.push(router);
	return router;
}

async function startPair(): Promise<readonly [Router, Router]> {
	const one = await startRouter('router-1');
	const two = await startRouter('router-2');
	one.exchange.introduce(two.datagramAddress);
	await until(() => one.exchange.peers.length === 1 && two.exchange.peers.length === 1);
	return [one, two];
}

async function until(holds: () => boolean, limitMs = 4_000): Promise<void> {
	for (const end = Date.now() + limitMs; !holds();) {
		if (Date.now() > end) {
			throw new Error(`condition not met within ${limitMs} ms`);
		}
		await new Promise((resolve) => setTimeout(resolve, 10));
	}
}

describe('FleetExchange', () => {
	test('a greeting makes both routers known to each other', async () => {
		const [one, two] = await startPair();
		expect(one.exchange.routerCount).toBe(2);
		expect(two.exchange.routerCount).toBe(2);
		expect(one.events).toContain('peer-found');
	});

	test('a placement is work ahead at the peer until its first event', async () => {
		const [one, two] = await startPair();
		const now = systemClock.now();
		const [option] = one.engines.options('drafts', { ...work, promptTokens: 60_000 }, new Set(), now);
		if (option === undefined) {
			throw new Error('no engine');
		}
		const sequence = one.engines.place(option, work, now);
		const waitAt = (): number => two.engines.options('drafts', work, new Set(), systemClock.now())[0]?.waitMs ?? 0;
		await until(() => waitAt() > 100);
		one.engines.recordFirstEvent('engine-1', sequence, systemClock.now());
		await until(() => waitAt() === 0);
	});

	test('usage of accounts adds up over routers', async () => {
		const [one, two] = await startPair();
		const account = shortKey('harbour');
		one.shares.recordAdmitted(account, 300, systemClock.now());
		two.shares.recordAdmitted(account, 200, systemClock.now());
		await until(() => two.shares.standing(account, systemClock.now()).admitted === 500);
	});

	test('a request that crashed engines elsewhere is refused here', async () => {
		const [one, two] = await startPair();
		const fingerprint = 'ab'.repeat(16);
		one.suspects.recordDeath(fingerprint);
		one.suspects.recordDeath(fingerprint);
		await until(() => two.suspects.quarantineOf(fingerprint) > 0);
	});

	test('a peer that falls silent is lost, and its work and usage with it', async () => {
		const [one, two] = await startPair();
		two.shares.recordAdmitted(1, 200, systemClock.now());
		await until(() => one.shares.standing(1, systemClock.now()).admitted === 200);
		two.owner.dispose();
		await until(() => one.exchange.peers[0]?.lost === true);
		expect(one.shares.standing(1, systemClock.now()).admitted).toBe(0);
		expect(one.exchange.routerCount).toBe(1);
		expect(one.events).toContain('peer-lost');
	});

	test('a datagram that cannot be read is noted and does no harm', async () => {
		const [one, two] = await startPair();
		const socket = createSocket('udp4');
		const { host, port } = one.datagramAddress;
		socket.send(Buffer.from([0xff, 0xff, 0xff]), port, host, () => socket.close());
		await until(() => one.events.includes('datagram-unreadable'));
		expect(one.exchange.peers[0]?.instance).toBe('router-2');
		expect(two.exchange.peers).toHaveLength(1);
	});

	// The store can refuse a third of the routers while engines leave.
	test('a router that cannot read the store learns from its peer', async () => {
		const [one, two] = await startPair();
		one.follower.apply({
			entries: [{ key: 'servers/engine-1', revision: 7, value: Buffer.from('{}') }],
			revision: 9,
		});
		await until(() => two.follower.snapshot()?.revision === 9);
		expect(two.follower.snapshot()?.entries).toHaveLength(1);
	});
});
