import { describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { Emitter } from '../../base/common/event.js';
import type { IPeerNetwork, PeerMessage, PeerStatus } from '../../peers/common/peerNetwork.js';
import type { ListedInstance } from '../../store/common/instanceList.js';
import { MembershipService } from '../node/membershipService.js';

function createPeer(instance: string, changes: Partial<PeerStatus> = {}): PeerStatus {
	return {
		instance,
		address: '127.0.0.1:1',
		state: 'connected',
		incarnation: `${instance}-1`,
		failureDomain: 'east-1',
		configurationVersion: 1,
		leaving: false,
		session: 1,
		refused: false,
		...changes,
	};
}

function createListedRouter(name: string): ListedInstance {
	return { name, role: 'router', address: '127.0.0.1:1', failureDomain: 'east-1', leaving: false };
}

interface Fixture {
	readonly membership: MembershipService;
	peers: readonly PeerStatus[];
	nowMs: number;
	/** Makes the service read the list once. */
	readList(names: readonly string[]): Promise<void>;
}

function createFixture(): Fixture {
	let names: readonly string[] = [];
	const network: IPeerNetwork = {
		onDidChangePeer: Emitter.create<PeerStatus>().event,
		onDidReceive: Emitter.create<PeerMessage>().event,
		send: () => true,
		peers: () => fixture.peers,
		setEndpoints: () => undefined,
		announce: () => undefined,
	};
	const list = { fetch: () => Effect.sync(() => names.map(createListedRouter)) };
	const local = { instance: 'router-9', incarnation: 'local', failureDomain: 'east-1' };
	const membership = MembershipService.create(local, network, list, { now: () => fixture.nowMs });
	const fixture: Fixture = {
		membership,
		peers: [],
		nowMs: 0,
		readList: async (listedNames) => {
			names = listedNames;
			const read = new Promise<void>((resolve) => membership.onDidChange(() => resolve()));
			membership.start();
			await read;
			membership.dispose();
		},
	};
	return fixture;
}

describe('membership', () => {
	// Guards against a router that never becomes ready because a dead router with a lower name, which would have to open
	// the stream, is still in the instance list.
	test('is initialized although a listed router is never reached', async () => {
		const fixture = createFixture();
		fixture.peers = [createPeer('router-1', { state: 'connecting', incarnation: '' })];
		await fixture.readList(['router-1', 'router-9']);
		expect(fixture.membership.isInitialized()).toBe(false);
		fixture.nowMs = 3_001;
		expect(fixture.membership.isInitialized()).toBe(true);
	});

	// Guards against two sides of a partition that together lease more slots than there are, and against slots reserved
	// for routers that are dead, were never connected, left, or are no longer listed.
	test('reserves slots only for listed routers that may still run', async () => {
		const fixture = createFixture();
		fixture.peers = [
			createPeer('router-1', { state: 'silent' }),
			createPeer('router-2', { state: 'gone' }),
			createPeer('router-3', { state: 'gone', refused: true }),
			createPeer('router-4', { state: 'silent', incarnation: '' }),
			createPeer('router-5', { state: 'gone', leaving: true }),
			createPeer('router-6', { state: 'silent' }),
		];
		await fixture.readList(['router-1', 'router-2', 'router-3', 'router-4', 'router-5', 'router-9']);
		expect(fixture.membership.countUnreachableRouters()).toBe(2);
	});

	// Guards against a role that moves away from a working router because the instance list does not show it yet.
	test('counts a connected router that the list does not show', async () => {
		const fixture = createFixture();
		fixture.peers = [createPeer('router-1')];
		await fixture.readList(['router-9']);
		expect(fixture.membership.liveRouters().map((router) => router.instance)).toEqual(['router-1', 'router-9']);
	});
});
