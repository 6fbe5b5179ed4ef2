import { describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { Emitter } from '../../base/common/event.js';
import type { IPeerNetwork, PeerMessage, PeerStatus } from '../../peers/common/peerNetwork.js';
import type { ListedInstance } from '../../store/common/instanceList.js';
import { MembershipService } from '../node/membershipService.js';

function makePeer(instance: string, changes: Partial<PeerStatus> = {}): PeerStatus {
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

function listed(name: string): ListedInstance {
	return { name, role: 'router', address: '127.0.0.1:1', failureDomain: 'east-1', leaving: false };
}

interface Fixture {
	readonly membership: MembershipService;
	peers: readonly PeerStatus[];
	nowMs: number;
	/** Lets the service read the list once. */
	readList(names: readonly string[]): Promise<void>;
}

function makeFixture(): Fixture {
	let names: readonly string[] = [];
	const network: IPeerNetwork = {
		onDidChangePeer: Emitter.create<PeerStatus>().event,
		onDidReceive: Emitter.create<PeerMessage>().event,
		send: () => true,
		peers: () => fixture.peers,
		setEndpoints: () => undefined,
		announce: () => undefined,
	};
	const list = { fetch: () => Effect.sync(() => names.map(listed)) };
	const local = { instance: 'router-9', incarnation: 'local', failureDomain: 'east-1' };
	const membership = MembershipService.create(local, network, list, { now: () => fixture.nowMs });
	const fixture: Fixture = {
		membership,
		peers: [],
		nowMs: 0,
		readList: async (wanted) => {
			names = wanted;
			const read = new Promise<void>((resolve) => membership.onDidChange(() => resolve()));
			membership.start();
			await read;
			membership.dispose();
		},
	};
	return fixture;
}

describe('membership', () => {
	// Guards against a router that is never ready because a dead router with a lower name, which would open the stream,
	// stays in the late list.
	test('is settled although a listed router is never reached', async () => {
		const fixture = makeFixture();
		fixture.peers = [makePeer('router-1', { state: 'connecting', incarnation: '' })];
		await fixture.readList(['router-1', 'router-9']);
		expect(fixture.membership.isInitialized()).toBe(false);
		fixture.nowMs = 3_001;
		expect(fixture.membership.isInitialized()).toBe(true);
	});

	// Guards against two sides of a partition that lease out more slots than there are, and against slots reserved for
	// routers that are dead, were never seen, left, or are no longer listed.
	test('reserves slots only for listed routers that may still run', async () => {
		const fixture = makeFixture();
		fixture.peers = [
			makePeer('router-1', { state: 'silent' }),
			makePeer('router-2', { state: 'gone' }),
			makePeer('router-3', { state: 'gone', refused: true }),
			makePeer('router-4', { state: 'silent', incarnation: '' }),
			makePeer('router-5', { state: 'gone', leaving: true }),
			makePeer('router-6', { state: 'silent' }),
		];
		await fixture.readList(['router-1', 'router-2', 'router-3', 'router-4', 'router-5', 'router-9']);
		expect(fixture.membership.countUnreachableRouters()).toBe(2);
	});

	// Guards against a role that moves away from a working router because the late list does not show it.
	test('counts a connected router that the list does not show', async () => {
		const fixture = makeFixture();
		fixture.peers = [makePeer('router-1')];
		await fixture.readList(['router-9']);
		expect(fixture.membership.liveRouters().map((router) => router.instance)).toEqual(['router-1', 'router-9']);
	});
});
