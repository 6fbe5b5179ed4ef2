import { type FleetPeer, isServing } from './fleetPeer.js';
import {
	HEARTBEAT_INTERVAL_MS,
	LATE_TICK_THRESHOLD_MS,
	MEMBERS_PER_DATAGRAM,
	MEMBER_REFRESH_PERIOD_MS,
	PEER_TIMEOUT_MS,
	MAXIMUM_PROBED_PEERS,
	INDIRECT_TIMEOUT_MS,
} from './fleetTiming.js';
import { RelaySelection } from './relaySelection.js';
import { type MemberUpdate, MemberList } from './memberList.js';

/** Interval at which {@link FleetMembership.tick} is to be called. */
export const TICK_INTERVAL_MS = HEARTBEAT_INTERVAL_MS / 2;

/** Entries about other routers that a router sends without a request, and their receivers. */
export interface Announcement {
	/** Names of the receivers. */
	readonly to: readonly string[];
	/** Routers whose entries are sent. */
	readonly members: readonly FleetPeer[];
}

/** Changes found at a tick. */
export interface TickResult {
	readonly updates: readonly MemberUpdate[];
	/** Names of the routers that were removed. */
	readonly removed: readonly string[];
}

/**
 * Tracks which routers serve. In a small fleet every router sends heartbeats to all others. In a large one each sends
 * them to the relays of its failure domain, which forward changes to each other and to the routers of their domain. A
 * router is lost when the relays of its domain have received nothing from it for three heartbeats.
 *
 * Load pattern: with 195 routers, heartbeats from each router to all others would be 76,000 datagrams a second, more
 * than the requests.
 */
export class FleetMembership {
	public readonly members = MemberList.create();
	public readonly relaySelection: RelaySelection;
	private isLarge = false;
	private relaySince: number | undefined;
	/** Monotonic milliseconds before which this router could not receive datagrams. */
	private receivingSince = 0;
	private lastTickAt: number | undefined;
	private lastReceivedAt = 0;

	private constructor(
		private readonly ownName: string,
		private readonly ownDomain: string,
		private readonly random: () => number,
	) {
		this.relaySelection = RelaySelection.create(ownName, ownDomain, this.members);
	}

	/**
	 * @param ownName name of this router
	 * @param ownDomain its failure domain
	 * @param random returns numbers from 0 to 1, which select the lost routers to probe
	 * @returns the membership of a router that knows no other
	 */
	public static create(ownName: string, ownDomain: string, random: () => number = Math.random): FleetMembership {
		return new FleetMembership(ownName, ownDomain, random);
	}

	/** Whether this router is a relay, which reports the routers of its domain to others. */
	public get isRelay(): boolean {
		return this.isLarge && this.relaySelection.isRelay;
	}

	/**
	 * @param isLarge whether the fleet is large enough to use relays
	 * @param now monotonic milliseconds
	 */
	public setLarge(isLarge: boolean, now: number): void {
		if (isLarge !== this.isLarge) {
			this.isLarge = isLarge;
			this.updateRelays(now);
		}
	}

	/**
	 * Records the sender of a datagram.
	 *
	 * @param peer the sender
	 * @returns the change, if any; 'outdated' when a later datagram of the sender has arrived before
	 */
	public recordDirect(peer: FleetPeer): MemberUpdate | undefined | 'outdated' {
		this.lastReceivedAt = peer.heardAt;
		const update = this.members.recordDirect(peer);
		if (update !== undefined && update !== 'outdated') {
			this.updateRelays(peer.heardAt);
		}
		return update;
	}

	/**
	 * Records entries about third routers that another router has sent.
	 *
	 * @param entries of the third routers
	 * @param now monotonic milliseconds
	 * @returns the changes
	 */
	public recordIndirect(entries: readonly FleetPeer[], now: number): readonly MemberUpdate[] {
		// Relays forward the changes they receive; other routers send only those they have observed directly.
		const updates = entries
			.filter(({ instance }) => instance !== this.ownName)
			.flatMap((peer) => this.members.recordIndirect(peer, now, this.isRelay) ?? []);
		if (updates.length > 0) {
			this.updateRelays(now);
		}
		return updates;
	}

	/**
	 * Marks routers that have stopped sending as lost, removes those that have been lost for long and selects the relays.
	 *
	 * @param now monotonic milliseconds
	 * @returns the changes
	 */
	public tick(now: number): TickResult {
		if (this.lastTickAt === undefined || now - this.lastTickAt > TICK_INTERVAL_MS + LATE_TICK_THRESHOLD_MS) {
			this.receivingSince = now;
		}
		this.lastTickAt = now;
		// A router that receives nothing is cut off itself, and must not report the others as lost.
		const isCutOff = this.isLarge && this.silenceMs(this.lastReceivedAt, now) > PEER_TIMEOUT_MS;
		const updates = this.members.all
			.filter((peer) => !peer.lost && (isCutOff || this.isSilent(peer, now)))
			.flatMap((peer) => this.members.markLost(peer.instance, !isCutOff && this.monitors(peer)) ?? []);
		const removed = this.members.removeExpired(now);
		this.updateRelays(now);
		return { updates, removed };
	}

	/**
	 * @returns the entries to send now, at each heartbeat and soon after a change; pending updates count as sent
	 * afterwards
	 */
	public announcements(): readonly Announcement[] {
		const { members, relaySelection } = this;
		const others = (names: readonly string[]): readonly string[] => names.filter((name) => name !== this.ownName);
		const pending = members.takePendingUpdates();
		if (!this.isLarge) {
			return [{ to: members.all.filter(({ lost }) => !lost).map(({ instance }) => instance), members: [] }];
		}
		if (!relaySelection.isRelay) {
			return [{ to: others(relaySelection.ownRelays), members: pending }];
		}
		const pendingNames = new Set(pending.map(({ instance }) => instance));
		const batchSize = Math.ceil((members.size * TICK_INTERVAL_MS) / MEMBER_REFRESH_PERIOD_MS);
		const batch = members.nextRoundRobin(batchSize).filter(({ instance }) => !pendingNames.has(instance));
		const isSameDomain = ({ failureDomain }: FleetPeer): boolean => failureDomain === this.ownDomain;
		const domainPeers = members.all.filter((peer) => !peer.lost && isSameDomain(peer)).map(({ instance }) => instance);
		return [
			{ to: domainPeers, members: [...pending, ...batch] },
			{ to: relaySelection.otherRelays, members: [...pending, ...batch.filter(isSameDomain)] },
		];
	}

	/** @returns the routers whose entries are sent to a router after its first datagram */
	public membersForNewPeer(): readonly FleetPeer[] {
		return this.isRelay ? this.members.all.filter(isServing) : this.members.nextRoundRobin(MEMBERS_PER_DATAGRAM);
	}

	/**
	 * @returns names of lost or silent routers to probe in case they are reachable again; a random selection when there
	 * are more than {@link MAXIMUM_PROBED_PEERS}
	 */
	public probeTargets(): readonly string[] {
		const lost = this.members.all.filter((peer) => peer.lost).map(({ instance }) => instance);
		const names = [...lost, ...this.relaySelection.silent];
		return names.length <= MAXIMUM_PROBED_PEERS
			? names
			: names.filter(() => this.random() < MAXIMUM_PROBED_PEERS / names.length);
	}

	/** Whether this router receives the heartbeats of a peer and decides whether it is lost. */
	private monitors({ failureDomain }: FleetPeer): boolean {
		return !this.isLarge || (this.relaySince !== undefined && failureDomain === this.ownDomain);
	}

	private isSilent(peer: FleetPeer, now: number): boolean {
		return this.monitors(peer)
			? this.silenceMs(Math.max(peer.heardAt, this.relaySince ?? 0), now) > PEER_TIMEOUT_MS
			: this.silenceMs(peer.heardAt, now) > INDIRECT_TIMEOUT_MS;
	}

	private silenceMs(heardAt: number, now: number): number {
		return now - Math.max(heardAt, this.receivingSince);
	}

	private updateRelays(now: number): void {
		if (this.isLarge) {
			this.relaySelection.update(now, this.receivingSince);
		}
		this.relaySince = this.isRelay ? (this.relaySince ?? now) : undefined;
	}
}
