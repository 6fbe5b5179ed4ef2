import { Effect, Exit, Fiber, Scope } from 'effect';
import type { ReadinessCheck } from '../../admin/common/readiness.js';
import { type AdminSources, serveAdmin } from '../../admin/node/adminServer.js';
import { RouterMetrics } from '../../admin/node/routerMetrics.js';
import { CrashSuspects } from '../../backends/common/crashSuspects.js';
import { BackendMonitor } from '../../backends/node/backendMonitor.js';
import { HttpBackendClient } from '../../backends/node/httpBackendClient.js';
import { SuspectExchange } from '../../backends/node/suspectExchange.js';
import { systemClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import { logOf } from '../../base/node/log.js';
import { CallerServer } from '../../callers/node/callerServer.js';
import { ConfigurationFollower } from '../../configuration/node/configurationFollower.js';
import { DispatchService } from '../../dispatch/node/dispatchService.js';
import { StoredCalls } from '../../idempotency/node/storedCalls.js';
import { MembershipService } from '../../membership/node/membershipService.js';
import { GrpcPeerNetwork } from '../../peers/node/grpcPeerNetwork.js';
import { INSECURE_PEERS } from '../../peers/node/peerSecurity.js';
import { EtcdStore } from '../../platform/node/etcdStore.js';
import { HttpInstanceList } from '../../platform/node/httpInstanceList.js';
import { SlotService } from '../../scheduling/node/slotService.js';
import { formatAddress, type Settings } from '../../settings/common/settings.js';

const log = logOf('daemon');

/** One router: builds its parts, connects them and owns them. */
export class Daemon extends Disposable {
	private constructor(private readonly settings: Settings) {
		super();
	}

	/**
	 * @param settings checked settings
	 * @returns a router that is not started
	 */
	public static create(settings: Settings): Daemon {
		return new Daemon(settings);
	}

	/**
	 * Opens the addresses and starts to follow the platform.
	 *
	 * @throws Error when an address cannot be bound
	 */
	public async start(): Promise<void> {
		const { instance, callers, peers, platform } = this.settings;
		const store = EtcdStore.create(platform.storeUrl);
		const network: GrpcPeerNetwork = this.register(
			GrpcPeerNetwork.create({
				instance: instance.name,
				failureDomain: instance.failureDomain,
				address: formatAddress(peers.address),
				...INSECURE_PEERS,
				serveConfiguration: ({ haveVersion }) => follower.documentFor(haveVersion),
			}),
		);
		const local = {
			instance: instance.name,
			incarnation: network.incarnation,
			failureDomain: instance.failureDomain,
		};
		const list = HttpInstanceList.create(platform.instanceListUrl);
		const membership = this.register(MembershipService.create(local, network, list));
		const follower: ConfigurationFollower = this.register(
			ConfigurationFollower.create({
				store,
				self: { name: instance.name, failureDomain: instance.failureDomain },
				liveRouters: () =>
					membership.liveRouters().map((router) => ({ name: router.instance, failureDomain: router.failureDomain })),
				fetchDocument: (peer, haveVersion) =>
					Effect.map(network.fetchConfiguration(peer, haveVersion), ({ document }) =>
						document.length > 0 ? document : undefined,
					),
			}),
		);
		this.register(
			network.onDidChangePeer((peer) => {
				if (peer.state === 'connected') {
					follower.noticeVersion(peer.instance, peer.configurationVersion);
				} else {
					follower.forgetPeer(peer.instance);
				}
			}),
		);
		this.register(follower.onDidChange(({ version }) => network.announce({ configurationVersion: version })));
		const monitor = this.register(BackendMonitor.create(follower, membership, instance.name));
		const slots = this.register(
			SlotService.create({
				local,
				configuration: follower,
				membership,
				network,
				slotLimit: (server, configured) => monitor.slotLimit(server, configured),
				onBackendFailure: (server) => monitor.signalFailure(server),
			}),
		);
		this.register(monitor.onDidChange(() => slots.refreshLimits()));
		const suspects = CrashSuspects.create(systemClock);
		this.register(SuspectExchange.create(suspects, network));
		const dispatch = DispatchService.create({
			configuration: follower,
			slots,
			client: this.register(HttpBackendClient.create()),
			suspects,
			idempotency: StoredCalls.create(store),
		});
		const server = this.register(CallerServer.create(follower, dispatch));
		const readiness: readonly ReadinessCheck[] = [
			{ name: 'configuration', missing: () => (follower.current ? undefined : 'no configuration was read yet') },
			{ name: 'peers', missing: () => (membership.isSettled() ? undefined : 'listed routers were not tried yet') },
		];
		const sources: AdminSources = {
			readiness,
			dumps: {
				configuration: () => ({ version: follower.current?.version }),
				peers: () => network.peers(),
				scheduling: () => slots.dump(),
				suspects: () => suspects.list(),
			},
			accountFacts: () => undefined,
			metrics: RouterMetrics.create({}),
		};
		await network.listen();
		membership.start();
		const following = Effect.runFork(follower.run());
		this.register(toDisposable(() => Effect.runFork(Fiber.interrupt(following))));
		await this.serveAdmin(sources);
		const port = await server.listen(callers.address.host, callers.address.port);
		log.info(`Router ${instance.name} accepts callers on port ${port}.`);
	}

	private async serveAdmin(sources: AdminSources): Promise<void> {
		const scope = Effect.runSync(Scope.make());
		this.register(toDisposable(() => void Effect.runPromise(Scope.close(scope, Exit.void))));
		await Effect.runPromise(Scope.provide(serveAdmin(this.settings.admin.address, sources), scope));
	}
}
