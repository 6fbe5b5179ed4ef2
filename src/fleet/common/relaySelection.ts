import { rendezvousWeight, shortKey } from '../../base/common/shortKey.js';
import { isServing } from './fleetPeer.js';
import { RELAY_TIMEOUT_MS } from './fleetTiming.js';
import type { MemberList } from './memberList.js';

/**
 * Number of relays in each failure domain. Half of the routers can lose power at once; in one of eight such cases all
 * three relays of a domain are among them.
 */
const RELAYS_PER_DOMAIN = 3;

const RELAY_KEY = shortKey('relay');

interface Candidate {
	readonly name: string;
	readonly weight: number;
}

/**
 * Selects the relays of each failure domain by rendezvous hashing over the serving routers, so that routers that know
 * the same members select the same relays. A router sends its state to the relays of its domain, which forward it to
 * each other and to the routers of their domain. So each router exchanges a few datagrams a second, whatever the size
 * of the fleet.
 *
 * A relay that should send to this router but does not is skipped before it counts as lost.
 */
export class RelaySelection {
	private readonly weights = new Map<string, number>();
	/** Monotonic milliseconds since which each relay is expected to send to this router. */
	private expectedSince = new Map<string, number>();
	private relaysByDomain = new Map<string, readonly string[]>();
	private skipped: string[] = [];

	private constructor(
		private readonly ownName: string,
		private readonly ownDomain: string,
		private readonly members: MemberList,
	) {}

	/**
	 * @param ownName name of this router
	 * @param ownDomain its failure domain
	 * @param members known routers of the fleet
	 * @returns the selection in a fleet of one router
	 */
	public static create(ownName: string, ownDomain: string, members: MemberList): RelaySelection {
		return new RelaySelection(ownName, ownDomain, members);
	}

	/** Whether this router is a relay of its domain. */
	public get isRelay(): boolean {
		return this.ownRelays.includes(this.ownName);
	}

	/** Names of the relays of this router's failure domain, which can include this router. */
	public get ownRelays(): readonly string[] {
		return this.relaysByDomain.get(this.ownDomain) ?? [this.ownName];
	}

	/** Names of the relays of the other failure domains. */
	public get otherRelays(): readonly string[] {
		return [...this.relaysByDomain].flatMap(([domain, relays]) => (domain === this.ownDomain ? [] : relays));
	}

	/** Names of serving routers that are not selected as relays because they have stopped sending to this router. */
	public get silent(): readonly string[] {
		return this.skipped;
	}

	/**
	 * Selects the relays anew.
	 *
	 * @param now monotonic milliseconds
	 * @param receivingSince monotonic milliseconds before which this router could not receive datagrams
	 */
	public update(now: number, receivingSince: number): void {
		const wasRelay = this.isRelay;
		const domains = new Map<string, Candidate[]>([[this.ownDomain, [this.candidate(this.ownName)]]]);
		for (const peer of this.members.all) {
			if (isServing(peer)) {
				const candidates = domains.get(peer.failureDomain) ?? [];
				candidates.push(this.candidate(peer.instance));
				domains.set(peer.failureDomain, candidates);
			}
		}
		const expectedBefore = this.expectedSince;
		this.expectedSince = new Map();
		this.skipped = [];
		this.relaysByDomain = new Map();
		for (const [domain, candidates] of domains) {
			candidates.sort((one, other) => other.weight - one.weight || (one.name < other.name ? 1 : -1));
			const relays: string[] = [];
			this.relaysByDomain.set(domain, relays);
			for (const { name } of candidates) {
				if (relays.length === RELAYS_PER_DOMAIN) {
					break;
				}
				// Relays of other domains send to relays only.
				const isExpectedSender = name !== this.ownName && (domain === this.ownDomain || wasRelay);
				const expectedSince = expectedBefore.get(name) ?? now;
				if (isExpectedSender) {
					this.expectedSince.set(name, expectedSince);
				}
				const silentSince = Math.max(this.members.lastDirectContactAt(name) ?? 0, expectedSince, receivingSince);
				if (isExpectedSender && now - silentSince > RELAY_TIMEOUT_MS) {
					this.skipped.push(name);
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
