import { rendezvousWeight, shortKey } from '../../base/common/shortKey.js';
import { isServing } from './fleetPeer.js';
import { RELAY_TIMEOUT_MS } from './fleetTiming.js';
import type { MemberList } from './memberList.js';

/**
 * Relays of each failure domain. Half of the routers can lose their power at once, and all three relays of a domain are
 * among them then in one case of eight.
 */
const RELAYS_PER_DOMAIN = 3;

const RELAY_KEY = shortKey('relay');

interface Candidate {
	readonly name: string;
	readonly weight: number;
}

/**
 * Agrees with the other routers on the relays of each failure domain, by rendezvous hashing over the routers that
 * serve. A router tells the relays of its domain of itself; these tell each other and the routers of their domain. So a
 * router exchanges a few datagrams a second, however large the fleet is.
 *
 * A relay that is due to speak to this router and does not is passed over before it counts as lost.
 */
export class RelaySelection {
	private readonly weights = new Map<string, number>();
	/** Since when each relay is due to speak to this router, in monotonic milliseconds. */
	private expectedSince = new Map<string, number>();
	private relaysByDomain = new Map<string, readonly string[]>();
	private passedOver: string[] = [];

	private constructor(
		private readonly own: string,
		private readonly ownDomain: string,
		private readonly members: MemberList,
	) {}

	/**
	 * @param own name of this router
	 * @param ownDomain its failure domain
	 * @param members routers of the fleet
	 * @returns roles of a fleet of one router
	 */
	public static create(own: string, ownDomain: string, members: MemberList): RelaySelection {
		return new RelaySelection(own, ownDomain, members);
	}

	/** Whether this router is a relay of its domain. */
	public get isRelay(): boolean {
		return this.ownRelays.includes(this.own);
	}

	/** Names of the relays of the own failure domain, which can include this router. */
	public get ownRelays(): readonly string[] {
		return this.relaysByDomain.get(this.ownDomain) ?? [this.own];
	}

	/** Names of the relays of the other failure domains. */
	public get otherRelays(): readonly string[] {
		return [...this.relaysByDomain].flatMap(([domain, relays]) => (domain === this.ownDomain ? [] : relays));
	}

	/** Names of routers that serve and are passed over since they have fallen silent. */
	public get silent(): readonly string[] {
		return this.passedOver;
	}

	/**
	 * Chooses anew.
	 *
	 * @param now monotonic milliseconds
	 * @param quietSince monotonic milliseconds before which this router could not hear anybody
	 */
	public update(now: number, quietSince: number): void {
		const wasRelay = this.isRelay;
		const domains = new Map<string, Candidate[]>([[this.ownDomain, [this.candidate(this.own)]]]);
		for (const peer of this.members.all) {
			if (isServing(peer)) {
				const candidates = domains.get(peer.failureDomain) ?? [];
				candidates.push(this.candidate(peer.instance));
				domains.set(peer.failureDomain, candidates);
			}
		}
		const expectedBefore = this.expectedSince;
		this.expectedSince = new Map();
		this.passedOver = [];
		this.relaysByDomain = new Map();
		for (const [domain, candidates] of domains) {
			candidates.sort((one, other) => other.weight - one.weight || (one.name < other.name ? 1 : -1));
			const relays: string[] = [];
			this.relaysByDomain.set(domain, relays);
			for (const { name } of candidates) {
				if (relays.length === RELAYS_PER_DOMAIN) {
					break;
				}
				// Other domains' relays speak to relays only.
				const speaksHere = name !== this.own && (domain === this.ownDomain || wasRelay);
				const expectedSince = expectedBefore.get(name) ?? now;
				if (speaksHere) {
					this.expectedSince.set(name, expectedSince);
				}
				const heardAt = Math.max(this.members.lastDirectContactAt(name) ?? 0, expectedSince, quietSince);
				if (speaksHere && now - heardAt > RELAY_TIMEOUT_MS) {
					this.passedOver.push(name);
				} else {
					relays.push(name);
				}
			}
		}
	}

	private candidate(name: string): Candidate {
		let weight = this.weights.get(name);
		if (weight === undefined) {
			weight = rendezvousWeight(RELAY_KEY, shortKey(name));
			this.weights.set(name, weight);
		}
		return { name, weight };
	}
}
