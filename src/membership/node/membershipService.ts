import { Effect, Fiber } from 'effect';
import { type IClock, systemClock } from '../../base/common/clock.js';
import { Emitter } from '../../base/common/event.js';
import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import { rendezvous } from '../../base/common/shortKey.js';
import { getLogger } from '../../base/node/log.js';
import type { IPeerNetwork, PeerStatus } from '../../peers/common/peerNetwork.js';
import type { IInstanceList, ListedInstance } from '../../store/common/instanceList.js';
import type { IMembershipService, RouterStatus } from '../common/membershipService.js';

const LIST_POLL_INTERVAL_MS = 1_000;

/** After this time, a listed router that has not been reached no longer delays the readiness of this one. */
const CONNECT_TIMEOUT_MS = 3_000;

const log = getLogger('membership');

/** Identity of this router. */
export interface LocalRouter {
	readonly instance: string;
	readonly incarnation: string;
	readonly failureDomain: string;
}

/** Combines the instance list, which is updated with a delay, with the state of the peer streams. */
export class MembershipService extends Disposable implements IMembershipService {
	private readonly changeEmitter = this.register(Emitter.create<readonly RouterStatus[]>());
	private listedInstances: readonly ListedInstance[] = [];
	private hasReadList = false;
	private readonly listedSinceMs = new Map<string, number>();
	private isLocalLeaving = false;
	private fingerprint = '';

	public readonly onDidChange = this.changeEmitter.event;

	private constructor(
		private readonly local: LocalRouter,
		private readonly network: IPeerNetwork,
		private readonly list: IInstanceList,
		private readonly clock: IClock,
	) {
		super();
		this.register(network.onDidChangePeer(() => this.fireIfChanged()));
	}

	/**
	 * @param local identity of this router
	 * @param network streams to peers
	 * @param list the platform's instance list
	 * @param clock time source
	 * @returns a service that has not read the list yet; {@link start} begins to poll it
	 */
	public static create(
		local: LocalRouter,
		network: IPeerNetwork,
		list: IInstanceList,
		clock: IClock = systemClock,
	): MembershipService {
		return new MembershipService(local, network, list, clock);
	}

	/** Polls the instance list until disposed. */
	public start(): void {
		const fiber = Effect.runFork(this.pollList());
		this.register(toDisposable(() => Effect.runFork(Fiber.interrupt(fiber))));
	}

	/** Stops taking roles and announces this to the peers. */
	public leave(): void {
		this.isLocalLeaving = true;
		this.network.announce({ leaving: true });
		this.fireIfChanged();
	}

	public liveRouters(): readonly RouterStatus[] {
		const routers = this.network.peers().filter(isLive).map(toRouterStatus);
		if (this.isLocalLeaving && routers.length > 0) {
			return routers;
		}
		return [...routers, { ...this.local, configurationVersion: 0, local: true }];
	}

	public countUnreachableRouters(): number {
		const names = new Set(this.listedInstances.filter((item) => !item.leaving).map((item) => item.name));
		return this.network.peers().filter((peer) => mayStillBeRunning(peer) && names.has(peer.instance)).length;
	}

	public ownerOf(key: string): string {
		const names = this.liveRouters().map((router) => router.instance);
		return rendezvous(key, names) ?? this.local.instance;
	}

	public isLeaving(backendServer: string): boolean {
		return this.listedInstances.some((item) => item.role === 'backend' && item.name === backendServer && item.leaving);
	}

	public isInitialized(): boolean {
		const now = this.clock.now();
		// Only one router of each pair opens the stream, so this router may never try to connect to one that is dead.
		const isAttempted = (peer: PeerStatus): boolean =>
			peer.state !== 'connecting' || now - (this.listedSinceMs.get(peer.instance) ?? now) > CONNECT_TIMEOUT_MS;
		const peers = this.network.peers();
		// While the list is unavailable, a restarted router has only the peers that connect to it.
		const hasDiscoveredPeers = this.hasReadList || peers.some((peer) => peer.state === 'connected');
		return hasDiscoveredPeers && peers.every(isAttempted);
	}

	private pollList(): Effect.Effect<never> {
		const self = this;
		return Effect.gen(function* () {
			for (;;) {
				const result = yield* Effect.exit(self.list.fetch());
				if (result._tag === 'Success') {
					self.applyList(result.value);
				} else {
					log.debug('The instance list cannot be read.');
				}
				yield* Effect.sleep(LIST_POLL_INTERVAL_MS);
			}
		});
	}

	private applyList(listed: readonly ListedInstance[]): void {
		this.listedInstances = listed;
		this.hasReadList = true;
		this.recordListed(listed);
		const others = listed.filter((item) => item.role === 'router' && item.name !== this.local.instance);
		this.network.setEndpoints(others.map((item) => ({ instance: item.name, address: item.address })));
		this.fireIfChanged();
	}

	private recordListed(listed: readonly ListedInstance[]): void {
		const names = new Set(listed.map((item) => item.name));
		for (const name of [...this.listedSinceMs.keys()].filter((known) => !names.has(known))) {
			this.listedSinceMs.delete(name);
		}
		for (const name of names) {
			this.listedSinceMs.set(name, this.listedSinceMs.get(name) ?? this.clock.now());
		}
	}

	private fireIfChanged(): void {
		const live = this.liveRouters().map((router) => `${router.instance}/${router.incarnation}`);
		const leaving = this.listedInstances.filter((item) => item.leaving).map((item) => item.name);
		const fingerprint = JSON.stringify([live.sort(), leaving.sort(), this.countUnreachableRouters()]);
		if (fingerprint === this.fingerprint) {
			return;
		}
		this.fingerprint = fingerprint;
		this.changeEmitter.fire(this.liveRouters());
	}
}

function isLive(peer: PeerStatus): boolean {
	return peer.state === 'connected' && !peer.leaving;
}

/** Whether a router that was connected before may still be running requests without contact to this router. */
function mayStillBeRunning(peer: PeerStatus): boolean {
	return peer.incarnation !== '' && peer.state !== 'connected' && !peer.refused && !peer.leaving;
}

function toRouterStatus(peer: PeerStatus): RouterStatus {
	const { instance, incarnation, failureDomain, configurationVersion } = peer;
	return { instance, incarnation, failureDomain, configurationVersion, local: false };
}
