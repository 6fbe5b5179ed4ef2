import { Effect } from 'effect';
import { CrashSuspects } from '../../backends/common/crashSuspects.js';
import { BackendMonitor } from '../../backends/node/backendMonitor.js';
import { HttpBackendClient } from '../../backends/node/httpBackendClient.js';
import { SuspectExchange } from '../../backends/node/suspectExchange.js';
import { systemClock } from '../../base/common/clock.js';
import { DisposableStore } from '../../base/common/lifecycle.js';
import { CallerServer } from '../../callers/node/callerServer.js';
import { ConfigurationFollower } from '../../configuration/node/configurationFollower.js';
import { DispatchService } from '../../dispatch/node/dispatchService.js';
import { IdempotencyService } from '../../idempotency/node/idempotencyService.js';
import { MembershipService } from '../../membership/node/membershipService.js';
import { GrpcPeerNetwork } from '../../peers/node/grpcPeerNetwork.js';
import { createMutualTls, INSECURE_PEERS } from '../../peers/node/peerSecurity.js';
import { EtcdStore } from '../../store/node/etcdStore.js';
import { HttpInstanceList } from '../../store/node/httpInstanceList.js';
import { SlotService } from '../../scheduling/node/slotService.js';
import { formatAddress, type Settings } from '../../settings/common/settings.js';
import type { StartupInputs } from './startUp.js';
import { DispatchCounters } from './dispatchCounters.js';

/** Connected components of one router, which are disposed with the owner passed to {@link createComponents}. */
export interface RouterComponents {
	readonly store: EtcdStore;
	readonly network: GrpcPeerNetwork;
	readonly membership: MembershipService;
	readonly follower: ConfigurationFollower;
	readonly monitor: BackendMonitor;
	readonly slots: SlotService;
	readonly suspects: CrashSuspects;
	readonly dispatch: DispatchService;
	readonly callers: CallerServer;
	readonly counters: DispatchCounters;
}

/**
 * Creates the components of a router and connects them. They do not listen or call the platform yet.
 *
 * @param inputs validated settings and certificates
 * @param owner disposes the components
 * @returns the components
 */
export function createComponents({ settings, certificates }: StartupInputs, owner: DisposableStore): RouterComponents {
	const { instance, peers, platform } = settings;
	const store = EtcdStore.create(platform.storeUrl);
	const network: GrpcPeerNetwork = owner.add(
		GrpcPeerNetwork.create({
			...(certificates === undefined ? INSECURE_PEERS : createMutualTls(certificates)),
			instance: instance.name,
			failureDomain: instance.failureDomain,
			address: formatAddress(peers.address),
			serveConfiguration: ({ haveVersion }) => follower.documentFor(haveVersion),
		}),
	);
	const local = { instance: instance.name, incarnation: network.incarnation, failureDomain: instance.failureDomain };
	const instanceList = HttpInstanceList.create(platform.instanceListUrl);
	const membership = owner.add(MembershipService.create(local, network, instanceList));
	const follower = owner.add(createFollower(settings, store, network, membership));
	const monitor = owner.add(BackendMonitor.create(follower, membership, instance.name));
	const slots = owner.add(
		SlotService.create({
			local,
			configuration: follower,
			membership,
			network,
			slotLimit: (server, configured) => monitor.slotLimit(server, configured),
			onBackendFailure: (server) => monitor.recordRequestFailure(server),
		}),
	);
	owner.add(monitor.onDidChange(() => slots.refreshLimits()));
	const suspects = CrashSuspects.create(instance.name, systemClock);
	owner.add(SuspectExchange.create(suspects, network));
	const counters = DispatchCounters.create();
	const dispatch = DispatchService.create({
		configuration: follower,
		slots,
		client: counters.countAttempts(owner.add(HttpBackendClient.create())),
		suspects,
		idempotency: counters.countClaims(IdempotencyService.create(store)),
	});
	const callers = owner.add(CallerServer.create(follower, dispatch));
	return { store, network, membership, follower, monitor, slots, suspects, dispatch, callers, counters };
}

function createFollower(
	{ instance }: Settings,
	store: EtcdStore,
	network: GrpcPeerNetwork,
	membership: MembershipService,
): ConfigurationFollower {
	const follower = ConfigurationFollower.create({
		store,
		self: { name: instance.name, failureDomain: instance.failureDomain },
		liveRouters: () =>
			membership.liveRouters().map((router) => ({ name: router.instance, failureDomain: router.failureDomain })),
		fetchDocument: (peer, haveVersion) =>
			Effect.map(network.fetchConfiguration(peer, haveVersion), ({ document }) =>
				document.length > 0 ? document : undefined,
			),
	});
	network.onDidChangePeer((peer) => {
		if (peer.state === 'connected') {
			follower.recordPeerVersion(peer.instance, peer.configurationVersion);
		} else {
			follower.removePeer(peer.instance);
		}
	});
	follower.onDidChange(({ version }) => network.announce({ configurationVersion: version }));
	return follower;
}
