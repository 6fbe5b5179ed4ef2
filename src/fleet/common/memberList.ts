import { type FleetPeer, isServing } from './fleetPeer.js';
import { LOST_PEER_RETENTION_MS, PEER_TIMEOUT_MS } from './fleetTiming.js';

/** A router is lost after twice this silence, and its last datagrams reach others within less. */
const LIFE_SIGN_MS = PEER_TIMEOUT_MS / 2;

/** A router of which others tell nothing else is noted to live this often. */
const REFRESH_MS = 1_000;

/** What has become of a peer. */
export type PeerChange = 'found' | 'restarted' | 'regained' | 'leaving' | 'lost' | 'contact' | 'rotation';

/** A peer and what is new about it. */
export interface MemberUpdate {
	readonly peer: FleetPeer;
	readonly change: PeerChange;
}

interface DirectContact {
	readonly incarnation: number;
	readonly sequence: number;
	readonly at: number;
}

/**
 * Knows the routers of the fleet, from what they say themselves and from what others tell of them. Entries of one
 * incarnation are ordered by the sequence of its datagrams, so that old news that arrives late by another way changes
 * nothing; of two incarnations the one that was heard later counts, and so it is when one side takes a router for lost.
 *
 * Load pattern: hundreds of routers, half of which lose their power and come back within seconds.
 */
export class MemberList {
	private readonly peers = new Map<string, FleetPeer>();
	private readonly direct = new Map<string, DirectContact>();
	private readonly untold = new Set<string>();
	private rotation: string[] = [];

	private constructor() {}

	/** @returns members that know of no other router */
	public static create(): MemberList {
		return new MemberList();
	}

	/** Routers that are known, without this one. */
	public get all(): readonly FleetPeer[] {
		return [...this.peers.values()];
	}

	/** Routers that are known, with lost ones, without this one. */
	public get size(): number {
		return this.peers.size;
	}

	/** Whether something has changed that was not told to others. */
	public get hasPendingUpdates(): boolean {
		return this.untold.size > 0;
	}

	/**
	 * @param instance name of a router
	 * @returns what is known of it
	 */
	public get(instance: string): FleetPeer | undefined {
		return this.peers.get(instance);
	}

	/**
	 * @param instance name of a router
	 * @returns monotonic milliseconds of its last datagram to this router
	 */
	public lastDirectContactAt(instance: string): number | undefined {
		return this.direct.get(instance)?.at;
	}

	/**
	 * @param peer the sender of a datagram
	 * @returns whether the same incarnation has spoken to this router before
	 */
	public hasDirectContact({ instance, incarnation }: FleetPeer): boolean {
		return this.direct.get(instance)?.incarnation === incarnation;
	}

	/**
	 * Takes over what a datagram says of its sender.
	 *
	 * @param peer the sender
	 * @returns what is new; 'outdated' when a later datagram of the sender has arrived before
	 */
	public recordDirect(peer: FleetPeer): MemberUpdate | undefined | 'outdated' {
		const contact = this.direct.get(peer.instance);
		if (contact?.incarnation === peer.incarnation && peer.sequence <= contact.sequence) {
			return 'outdated';
		}
		this.direct.set(peer.instance, { incarnation: peer.incarnation, sequence: peer.sequence, at: peer.heardAt });
		const before = this.peers.get(peer.instance);
		const isLater = before?.incarnation === peer.incarnation && before.sequence > peer.sequence;
		// Others have told of a later datagram; only what they do not tell is taken.
		return this.replace(
			before,
			isLater ? { ...before, heardAt: peer.heardAt, lost: false, followedRevisions: peer.followedRevisions } : peer,
			true,
		);
	}

	/**
	 * Takes over what another router tells of a third one.
	 *
	 * @param told the third router
	 * @param now monotonic milliseconds
	 * @param isRetold whether others have to hear of what is new
	 * @returns what is new
	 */
	public recordIndirect(told: FleetPeer, now: number, isRetold: boolean): MemberUpdate | undefined {
		const before = this.peers.get(told.instance);
		if (before === undefined) {
			return told.lost || now - told.heardAt > LOST_PEER_RETENTION_MS
				? undefined
				: this.replace(undefined, told, isRetold);
		}
		const isSame = before.incarnation === told.incarnation;
		if (!isSame) {
			const isLater = told.heardAt > before.heardAt && !told.lost;
			return isLater ? this.replace(before, { ...told, followedRevisions: [] }, isRetold) : undefined;
		}
		if (before.lost === told.lost && told.heardAt - before.heardAt < REFRESH_MS && !isDifferent(before, told)) {
			return undefined;
		}
		const lost = isLostByBoth(before, told);
		if (told.lost && !lost) {
			// Who tells that a router is lost has missed what this one has heard of it.
			this.untold.add(told.instance);
		}
		const latest = told.sequence > before.sequence ? { ...told, followedRevisions: before.followedRevisions } : before;
		return this.replace(before, { ...latest, lost, heardAt: Math.max(told.heardAt, before.heardAt) }, isRetold);
	}

	/**
	 * Takes a router to be lost.
	 *
	 * @param instance its name
	 * @param isTold whether others have to hear of it
	 * @returns what is new
	 */
	public markLost(instance: string, isTold: boolean): MemberUpdate | undefined {
		const before = this.peers.get(instance);
		return before === undefined || before.lost ? undefined : this.replace(before, { ...before, lost: true }, isTold);
	}

	/**
	 * Forgets routers that have been lost for long.
	 *
	 * @param now monotonic milliseconds
	 * @returns names of the routers
	 */
	public removeExpired(now: number): readonly string[] {
		const old = this.all.filter(({ lost, heardAt }) => lost && now - heardAt > LOST_PEER_RETENTION_MS);
		for (const { instance } of old) {
			this.peers.delete(instance);
			this.direct.delete(instance);
			this.untold.delete(instance);
		}
		return old.map(({ instance }) => instance);
	}

	/** @returns routers of which others have to hear, each once */
	public takePendingUpdates(): readonly FleetPeer[] {
		const news = [...this.untold].flatMap((instance) => this.peers.get(instance) ?? []);
		this.untold.clear();
		return news;
	}

	/**
	 * Takes turns through the routers that serve, so that whoever missed news of one hears of it again.
	 *
	 * @param count of routers
	 * @returns the next ones
	 */
	public nextRoundRobin(count: number): readonly FleetPeer[] {
		if (this.rotation.length === 0) {
			this.rotation = [...this.peers.keys()];
		}
		const turn: FleetPeer[] = [];
		while (turn.length < count) {
			const instance = this.rotation.pop();
			if (instance === undefined) {
				break;
			}
			const peer = this.peers.get(instance);
			if (peer !== undefined && !peer.lost) {
				turn.push(peer);
			}
		}
		return turn;
	}

	private replace(before: FleetPeer | undefined, peer: FleetPeer, isTold: boolean): MemberUpdate | undefined {
		this.peers.set(peer.instance, peer);
		const change = changeOf(before, peer);
		if (change === undefined) {
			return undefined;
		}
		if (isTold) {
			this.untold.add(peer.instance);
		}
		return { peer, change };
	}
}

/** Of a router that one side takes for lost, only signs of life well after the other's last one show that it lives. */
function isLostByBoth(one: FleetPeer, other: FleetPeer): boolean {
	if (one.lost === other.lost) {
		return one.lost;
	}
	const [lost, living] = one.lost ? [one, other] : [other, one];
	return living.heardAt - lost.heardAt < LIFE_SIGN_MS;
}

function changeOf(before: FleetPeer | undefined, peer: FleetPeer): PeerChange | undefined {
	if (before === undefined) {
		return 'found';
	}
	if (before.incarnation !== peer.incarnation) {
		return 'restarted';
	}
	if (before.lost !== peer.lost) {
		return peer.lost ? 'lost' : 'regained';
	}
	if (isServing(before) !== isServing(peer)) {
		return 'leaving';
	}
	if (before.isRelieved !== peer.isRelieved) {
		return 'rotation';
	}
	return isDifferent(before, peer) ? 'contact' : undefined;
}

function isDifferent(one: FleetPeer, other: FleetPeer): boolean {
	const isRotationSame = one.isRelieved === other.isRelieved;
	return (
		!isRotationSame ||
		one.leaving !== other.leaving ||
		(one.contactSince === undefined) !== (other.contactSince === undefined)
	);
}
