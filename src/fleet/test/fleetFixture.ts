import { createSuspects, type Suspects } from '../../backends/common/suspectRegistry.js';
import { systemClock } from '../../base/common/clock.js';
import { MAXIMUM_SMALL_FLEET_ROUTERS } from '../../base/common/fleetSize.js';
import { DisposableStore } from '../../base/common/lifecycle.js';
import type { PromptWork } from '../../engines/common/engineChoice.js';
import { EngineFleet } from '../../engines/common/engineFleet.js';
import { engineWith } from '../../engines/test/engineFixture.js';
import type { SocketAddress } from '../../settings/common/settings.js';
import { FleetShares } from '../../shares/common/fleetShares.js';
import { Effect } from 'effect';
import type { IRevisionedStore } from '../../store/common/revisionedStore.js';
import { PrefixFollower } from '../../store/node/prefixFollower.js';
import { FleetAssignments } from '../common/fleetAssignments.js';
import { FleetExchange } from '../node/fleetExchange.js';
import { QueueReservations } from '../node/queueReservations.js';
import { SnapshotExchange } from '../node/snapshotExchange.js';

/** The only backend server of the test fleets. */
export const server = engineWith('engine-1');

/** A short prompt. */
export const shortPrompt: PromptWork = {
	parts: [
		{ key: 11, tokens: 500 },
		{ key: 12, tokens: 100 },
	],
	promptTokens: 600,
	tokensPerEvent: 5,
	pauseAimMs: 500,
};

/** Exchange of a test router and the components whose state it exchanges. */
export interface FixtureRouter {
	readonly exchange: FleetExchange;
	readonly engines: EngineFleet;
	readonly assignments: FleetAssignments;
	readonly reservations: QueueReservations;
	readonly shares: FleetShares;
	readonly suspects: Suspects;
	readonly follower: PrefixFollower;
	readonly datagramAddress: SocketAddress;
	readonly events: string[];
	/** Monotonic milliseconds since which the router has read the store; undefined while it does not. */
	readonly contact: { since: number | undefined };
	readonly owner: DisposableStore;
}

// Each test file has its own addresses and ports below the ephemeral range, so parallel tests cannot take them.
const DATAGRAM_PORT = 17_400;
const PEER_PORT = 18_785;

const FAILURE_DOMAINS = ['a', 'b', 'c'];

const routers: FixtureRouter[] = [];
let started = 0;

/** Disposes of all routers of a test. */
export function disposeRouters(): void {
	routers.splice(0).forEach(({ owner }) => owner.dispose());
}

/**
 * @param instance name of the router
 * @param network first three bytes of its address, which no other test file uses
 * @param reservationTimeoutMs longest wait for a queue owner's response, in milliseconds; the product's by default
 * @param failureDomain of the router
 * @returns a running router that knows no peers
 */
export async function startRouter(
	instance: string,
	network: string,
	reservationTimeoutMs?: number,
	failureDomain = 'a',
): Promise<FixtureRouter> {
	const owner = DisposableStore.create();
	const events: string[] = [];
	const contact: FixtureRouter['contact'] = { since: undefined };
	const log = { write: (event: string) => void events.push(event) };
	const assignments = FleetAssignments.create(instance);
	const engines = EngineFleet.create(instance, failureDomain, assignments);
	engines.setServers([server], systemClock.now());
	const shares = FleetShares.create({ nominalCapacityPerSecond: () => 250, load: () => undefined }, () => 2, 4_000);
	const suspects = createSuspects();
	const unreachableStore: IRevisionedStore = {
		get: () => Effect.never,
		compareAndSwap: () => Effect.never,
		remove: () => Effect.never,
		grantLease: () => Effect.never,
		keepAlive: () => Effect.never,
		readAll: () => Effect.never,
		waitForChanges: () => Effect.never,
	};
	const follower = owner.add(PrefixFollower.create('servers/', unreachableStore, systemClock, log));
	const host = `${network}.${++started}`;
	const datagramAddress = { host, port: DATAGRAM_PORT };
	const peerAddress = { host, port: PEER_PORT };
	const exchange = owner.add(
		FleetExchange.create(
			{ instance, failureDomain, peerAddress, datagramAddress },
			{
				engines,
				shares,
				suspects,
				assignments,
				isRelieved: () => false,
				contactSince: () => contact.since,
				followedRevisions: () => [follower.lastChangeRevision],
			},
			systemClock,
			log,
		),
	);
	const reservations = owner.add(
		QueueReservations.create(assignments, engines, shares, exchange, systemClock, log, reservationTimeoutMs),
	);
	const snapshots = owner.add(SnapshotExchange.create([follower], exchange, systemClock, log));
	await exchange.listen();
	await snapshots.listen(peerAddress);
	const router = {
		exchange,
		engines,
		assignments,
		reservations,
		shares,
		suspects,
		follower,
		datagramAddress,
		events,
		contact,
		owner,
	};
	routers.push(router);
	return router;
}

/**
 * @param network first three bytes of the addresses, which no other test file uses
 * @returns two routers that know each other
 */
export async function startPair(network: string): Promise<readonly [FixtureRouter, FixtureRouter]> {
	const one = await startRouter('router-1', network);
	const two = await startRouter('router-2', network);
	one.exchange.introduce(two.datagramAddress);
	await waitUntil(() => one.exchange.peers.length === 1 && two.exchange.peers.length === 1);
	return [one, two];
}

/** Number of routers in the large test fleet, enough for queues to be divided among them. */
export const LARGE_FLEET_ROUTERS = MAXIMUM_SMALL_FLEET_ROUTERS + 3;

/**
 * @param network first three bytes of the addresses, which no other test file uses
 * @param reservationTimeoutMs longest wait for a queue owner's response, in milliseconds; the product's by default
 * @returns a fleet that divides its queues, in which all routers know each other
 */
export async function startLargeFleet(
	network: string,
	reservationTimeoutMs?: number,
): Promise<readonly FixtureRouter[]> {
	const routers: FixtureRouter[] = [];
	for (let index = 0; index < LARGE_FLEET_ROUTERS; index++) {
		const failureDomain = FAILURE_DOMAINS[index % FAILURE_DOMAINS.length];
		routers.push(await startRouter(`router-${index}`, network, reservationTimeoutMs, failureDomain));
	}
	// As on the platform, all routers know a few seeds.
	for (const one of routers) {
		routers.slice(0, 3).forEach((seed) => one.exchange.introduce(seed.datagramAddress));
	}
	await waitUntil(() => routers.every(({ exchange }) => exchange.routerCount === LARGE_FLEET_ROUTERS), 10_000);
	return routers;
}

/**
 * Waits until a condition holds.
 *
 * @param isMet returns whether the condition holds
 * @param limitMs longest wait in milliseconds
 */
export async function waitUntil(isMet: () => boolean, limitMs = 4_000): Promise<void> {
	for (const end = Date.now() + limitMs; !isMet();) {
		if (Date.now() > end) {
			throw new Error(`condition not met within ${limitMs} ms`);
		}
		await new Promise((resolve) => setTimeout(resolve, 10));
	}
}
