import { type FleetPeer, isServing } from './fleetPeer.js';
import { LOST_PEER_RETENTION_MS, PEER_TIMEOUT_MS } from './fleetTiming.js';

/**
 * When one of two routers considers a third one lost and the other does not, the third one counts as alive if the other
 * knows of a datagram from it that is later by at least this time. A router is lost when it has sent nothing for twice
 * this time, and entries with the time of its last datagram reach all others in less than this time.
 */
const ALIVE_MARGIN_MS = PEER_TIMEOUT_MS / 2;

/** Minimum interval at which the time of the last datagram is updated from entries that contain no other change. */
const HEARD_AT_REFRESH_MS = 1_000;

/**
 * Kind of change of a peer; part of the name of the log event. A change of kind 'contact' concerns the store contact,
 * one of kind 'rotation' the load balancer's rotation.
 */
export type PeerChange = 'found' | 'restarted' | 'regained' | 'leaving' | 'lost' | 'contact' | 'rotation';

/** A peer after a change. */
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
 * Holds the known routers of the fleet, from their own datagrams and from entries that other routers send. Entries of
 * one incarnation (one process of a router) are ordered by the sequence number of its datagrams, so that an old entry
 * that arrives late by another path changes nothing. Of two entries with different incarnations, or of which only one
 * marks the router as lost, the time of the router's last datagram decides which one applies.
 *
 * Load pattern: hundreds of routers, half of which lose power and restart within seconds.
 */
export class MemberList {
	private readonly peers = new Map<string, FleetPeer>();
	private readonly directContacts = new Map<string, DirectContact>();
	private readonly pending = new Set<string>();
	private rotation: string[] = [];

	private constructor() {}

	/** @returns an empty list */
	public static create(): MemberList {
		return new MemberList();
	}

	/** Known routers, without this one. */
	public get all(): readonly FleetPeer[] {
		return [...this.peers.values()];
	}

	/** Number of known routers, including lost ones, without this one. */
	public get size(): number {
		return this.peers.size;
	}

	/** Whether there are changes that have not been sent to others. */
	public get hasPendingUpdates(): boolean {
		return this.pending.size > 0;
	}

	/**
	 * @param instance name of a router
	 * @returns the router; undefined when it is unknown
	 */
	public get(instance: string): FleetPeer | undefined {
		return this.peers.get(instance);
	}

	/**
	 * @param instance name of a router
	 * @returns monotonic milliseconds at which its last datagram to this router arrived
	 */
	public lastDirectContactAt(instance: string): number | undefined {
		return this.directContacts.get(instance)?.at;
	}

	/**
	 * @param peer the sender of a datagram
	 * @returns whether a datagram of the same incarnation has arrived before
	 */
	public hasDirectContact({ instance, incarnation }: FleetPeer): boolean {
		return this.directContacts.get(instance)?.incarnation === incarnation;
	}

	/**
	 * Records the sender of a datagram.
	 *
	 * @param peer the sender
	 * @returns the change, if any; 'outdated' when a later datagram of the sender has arrived before
	 */
	public recordDirect(peer: FleetPeer): MemberUpdate | undefined | 'outdated' {
		const contact = this.directContacts.get(peer.instance);
		if (contact?.incarnation === peer.incarnation && peer.sequence <= contact.sequence) {
			return 'outdated';
		}
		this.directContacts.set(peer.instance, {
			incarnation: peer.incarnation,
			sequence: peer.sequence,
			at: peer.heardAt,
		});
		const before = this.peers.get(peer.instance);
		const isLater = before?.incarnation === peer.incarnation && before.sequence > peer.sequence;
		// If another router has reported a later datagram, only the values that such a report does not contain are applied.
		return this.replace(
			before,
			isLater ? { ...before, heardAt: peer.heardAt, lost: false, followedRevisions: peer.followedRevisions } : peer,
			true,
		);
	}

	/**
	 * Records an entry about a third router that another router has sent.
	 *
	 * @param entry of the third router
	 * @param now monotonic milliseconds
	 * @param isForwarded whether a change is to be forwarded to others
	 * @returns the change, if any
	 */
	public recordIndirect(entry: FleetPeer, now: number, isForwarded: boolean): MemberUpdate | undefined {
		const before = this.peers.get(entry.instance);
		if (before === undefined) {
			return entry.lost || now - entry.heardAt > LOST_PEER_RETENTION_MS
				? undefined
				: this.replace(undefined, entry, isForwarded);
		}
		const isSameIncarnation = before.incarnation === entry.incarnation;
		if (!isSameIncarnation) {
			const isLater = entry.heardAt > before.heardAt && !entry.lost;
			return isLater ? this.replace(before, { ...entry, followedRevisions: [] }, isForwarded) : undefined;
		}
		if (
			before.lost === entry.lost &&
			entry.heardAt - before.heardAt < HEARD_AT_REFRESH_MS &&
			!hasDifferentStatus(before, entry)
		) {
			return undefined;
		}
		const lost = isLostAfterMerge(before, entry);
		if (entry.lost && !lost) {
			// The sender considers the router lost because it does not know of a later datagram, so the entry is sent.
			this.pending.add(entry.instance);
		}
		const latest =
			entry.sequence > before.sequence ? { ...entry, followedRevisions: before.followedRevisions } : before;
		return this.replace(before, { ...latest, lost, heardAt: Math.max(entry.heardAt, before.heardAt) }, isForwarded);
	}

	/**
	 * Marks a router as lost.
	 *
	 * @param instance its name
	 * @param isForwarded whether the change is to be sent to others
	 * @returns the change, if any
	 */
	public markLost(instance: string, isForwarded: boolean): MemberUpdate | undefined {
		const before = this.peers.get(instance);
		return before === undefined || before.lost
			? undefined
			: this.replace(before, { ...before, lost: true }, isForwarded);
	}

	/**
	 * Removes routers that have been lost for long.
	 *
	 * @param now monotonic milliseconds
	 * @returns names of the removed routers
	 */
	public removeExpired(now: number): readonly string[] {
		const expired = this.all.filter(({ lost, heardAt }) => lost && now - heardAt > LOST_PEER_RETENTION_MS);
		for (const { instance } of expired) {
			this.peers.delete(instance);
			this.directContacts.delete(instance);
			this.pending.delete(instance);
		}
		return expired.map(({ instance }) => instance);
	}

	/** @returns the routers with changes that have not been sent to others; the changes count as sent afterwards */
	public takePendingUpdates(): readonly FleetPeer[] {
		const changed = [...this.pending].flatMap((instance) => this.peers.get(instance) ?? []);
		this.pending.clear();
		return changed;
	}

	/**
	 * Iterates round-robin over the routers that are not lost. Their entries are sent repeatedly, so that a router that
	 * missed a change receives it later.
	 *
	 * @param count maximum number of routers
	 * @returns the next routers; fewer at the end of a round
	 */
	public nextRoundRobin(count: number): readonly FleetPeer[] {
		if (this.rotation.length === 0) {
			this.rotation = [...this.peers.keys()];
		}
		const batch: FleetPeer[] = [];
		while (batch.length < count) {
			const instance = this.rotation.pop();
			if (instance === undefined) {
				break;
			}
			const peer = this.peers.get(instance);
			if (peer !== undefined && !peer.lost) {
				batch.push(peer);
			}
		}
		return batch;
	}

	private replace(before: FleetPeer | undefined, peer: FleetPeer, isForwarded: boolean): MemberUpdate | undefined {
		this.peers.set(peer.instance, peer);
		const change = changeOf(before, peer);
		if (change === undefined) {
			return undefined;
		}
		if (isForwarded) {
			this.pending.add(peer.instance);
		}
		return { peer, change };
	}
}

/** Decides whether a router is lost when two entries may disagree; see {@link ALIVE_MARGIN_MS}. */
function isLostAfterMerge(one: FleetPeer, other: FleetPeer): boolean {
	if (one.lost === other.lost) {
		return one.lost;
	}
	const [lost, alive] = one.lost ? [one, other] : [other, one];
	return alive.heardAt - lost.heardAt < ALIVE_MARGIN_MS;
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
	return hasDifferentStatus(before, peer) ? 'contact' : undefined;
}

function hasDifferentStatus(one: FleetPeer, other: FleetPeer): boolean {
	const isRotationSame = one.isRelieved === other.isRelieved;
	return (
		!isRotationSame ||
		one.leaving !== other.leaving ||
		(one.contactSince === undefined) !== (other.contactSince === undefined)
	);
}
