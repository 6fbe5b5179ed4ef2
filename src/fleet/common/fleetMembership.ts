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

/** What a router sends without being asked, and to whom. */
export interface Announcement {
	/** Names of the receivers. */
	readonly to: readonly string[];
	/** Other routers of which it tells. */
	readonly members: readonly FleetPeer[];
}

/** What has changed at a tick. */
export interface TickResult {
	readonly updates: readonly MemberUpdate[];
	/** Routers that are no longer known. */
	readonly removed: readonly string[];
}

/**
 * Knows which routers serve. In a small fleet every router speaks to all others. In a larger one each speaks to the
 * relays of its failure domain, which tell each other and the routers of their domain what is new. A router is lost
 * when the relays of its domain have not heard it for some heartbeats.
 *
 * Load pattern: messages of each router to all others are 76,000 a second at 195 routers, more than the requests.
 */
export class FleetMembership {
	public readonly members = MemberList.create();
	public readonly relaySelection: RelaySelection;
	private large = false;
	private relaySince: number | undefined;
	/** Before, this router could not hear others. */
	private quietSince = 0;
	private tickedAt: number | undefined;
	private heardAnyAt = 0;

	private constructor(
		private readonly own: string,
		private readonly ownDomain: string,
		private readonly random: () => number,
	) {
		this.relaySelection = RelaySelection.create(own, ownDomain, this.members);
	}

	/**
	 * @param own name of this router
	 * @param ownDomain its failure domain
	 * @param random numbers from 0 to 1, by which lost routers are chosen to be spoken to
	 * @returns the membership of a router that knows no other
	 */
	public static create(own: string, ownDomain: string, random: () => number = Math.random): FleetMembership {
		return new FleetMembership(own, ownDomain, random);
	}

	/** Whether this router tells others of the routers of its domain. */
	public get isRelay(): boolean {
		return this.large && this.relaySelection.isRelay;
	}

	/**
	 * @param isLarge whether the fleet has so many routers that relays are used
	 * @param now monotonic milliseconds
	 */
	public setLarge(isLarge: boolean, now: number): void {
		if (isLarge !== this.large) {
			this.large = isLarge;
			this.updateRoles(now);
		}
	}

	/**
	 * Takes over what a datagram says of its sender.
	 *
	 * @param peer the sender
	 * @returns what is new; 'outdated' when a later datagram of the sender has arrived before
	 */
	public recordDirect(peer: FleetPeer): MemberUpdate | undefined | 'outdated' {
		this.heardAnyAt = peer.heardAt;
		const news = this.members.recordDirect(peer);
		if (news !== undefined && news !== 'outdated') {
			this.updateRoles(peer.heardAt);
		}
		return news;
	}

	/**
	 * Takes over what another router tells of third ones.
	 *
	 * @param told the third routers
	 * @param now monotonic milliseconds
	 * @returns what is new
	 */
	public recordIndirect(told: readonly FleetPeer[], now: number): readonly MemberUpdate[] {
		// Relays tell on what they are told; others only what they meet themselves.
		const news = told
			.filter(({ instance }) => instance !== this.own)
			.flatMap((peer) => this.members.recordIndirect(peer, now, this.isRelay) ?? []);
		if (news.length > 0) {
			this.updateRoles(now);
		}
		return news;
	}

	/**
	 * Finds routers that have fallen silent, and chooses relays.
	 *
	 * @param now monotonic milliseconds
	 * @returns what has changed
	 */
	public tick(now: number): TickResult {
		if (this.tickedAt === undefined || now - this.tickedAt > TICK_INTERVAL_MS + LATE_TICK_THRESHOLD_MS) {
			this.quietSince = now;
		}
		this.tickedAt = now;
		// A router that hears nobody is cut off itself, and has nothing to tell of the others.
		const isCutOff = this.large && this.silentMs(this.heardAnyAt, now) > PEER_TIMEOUT_MS;
		const updates = this.members.all
			.filter((peer) => !peer.lost && (isCutOff || this.isSilent(peer, now)))
			.flatMap((peer) => this.members.markLost(peer.instance, !isCutOff && this.watches(peer)) ?? []);
		const removed = this.members.removeExpired(now);
		this.updateRoles(now);
		return { updates, removed };
	}

	/** @returns what this router sends at intervals, and as soon as there is news */
	public announcements(): readonly Announcement[] {
		const { members, relaySelection } = this;
		const others = (names: readonly string[]): readonly string[] => names.filter((name) => name !== this.own);
		const news = members.takePendingUpdates();
		if (!this.large) {
			return [{ to: members.all.filter(({ lost }) => !lost).map(({ instance }) => instance), members: [] }];
		}
		if (!relaySelection.isRelay) {
			return [{ to: others(relaySelection.ownRelays), members: news }];
		}
		const told = new Set(news.map(({ instance }) => instance));
		const turnSize = Math.ceil((members.size * TICK_INTERVAL_MS) / MEMBER_REFRESH_PERIOD_MS);
		const turn = members.nextRoundRobin(turnSize).filter(({ instance }) => !told.has(instance));
		const isNear = ({ failureDomain }: FleetPeer): boolean => failureDomain === this.ownDomain;
		const domain = members.all.filter((peer) => !peer.lost && isNear(peer)).map(({ instance }) => instance);
		return [
			{ to: domain, members: [...news, ...turn] },
			{ to: relaySelection.otherRelays, members: [...news, ...turn.filter(isNear)] },
		];
	}

	/** @returns routers of which one hears that speaks to this router for the first time */
	public membersForNewPeer(): readonly FleetPeer[] {
		return this.isRelay ? this.members.all.filter(isServing) : this.members.nextRoundRobin(MEMBERS_PER_DATAGRAM);
	}

	/** @returns some routers that are lost or silent, which are to be spoken to in case they can hear again */
	public probeTargets(): readonly string[] {
		const lost = this.members.all.filter((peer) => peer.lost).map(({ instance }) => instance);
		const names = [...lost, ...this.relaySelection.silent];
		return names.length <= MAXIMUM_PROBED_PEERS
			? names
			: names.filter(() => this.random() < MAXIMUM_PROBED_PEERS / names.length);
	}

	/** Whether this router hears the heartbeats of a peer, and answers for it. */
	private watches({ failureDomain }: FleetPeer): boolean {
		return !this.large || (this.relaySince !== undefined && failureDomain === this.ownDomain);
	}

	private isSilent(peer: FleetPeer, now: number): boolean {
		return this.watches(peer)
			? this.silentMs(Math.max(peer.heardAt, this.relaySince ?? 0), now) > PEER_TIMEOUT_MS
			: this.silentMs(peer.heardAt, now) > INDIRECT_TIMEOUT_MS;
	}

	private silentMs(heardAt: number, now: number): number {
		return now - Math.max(heardAt, this.quietSince);
	}

	private updateRoles(now: number): void {
		if (this.large) {
			this.relaySelection.update(now, this.quietSince);
		}
		this.relaySince = this.isRelay ? (this.relaySince ?? now) : undefined;
	}
}
