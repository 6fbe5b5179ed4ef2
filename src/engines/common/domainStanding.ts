import { FULL_BATCH_COST_MS } from './engineChoice.js';

/** What a router knows of a server for the comparison of failure domains. */
export interface DomainServer {
	readonly failureDomain: string;
	readonly slots: number;
	/** Current state; undefined when no report of it is recent enough. */
	readonly state: DomainServerState | undefined;
}

/** State of a server for the comparison of failure domains. */
export interface DomainServerState {
	/** Whether the server may receive requests. */
	readonly isUsable: boolean;
	/** Predicted milliseconds until the server starts a request placed now. */
	readonly waitMs: number;
	readonly inProgress: number;
	/** Measured time for a unit of work relative to the nominal time. */
	readonly pace: number;
	/** Fraction of its capacity that a limit or a cold start leaves, from 0 to 1. */
	readonly remainingFraction: number;
}

/** Capacity of a failure domain for a service and how busy its servers are. */
export interface DomainStanding {
	/** Whether the states of servers with at least half of the slots are known. */
	readonly isKnown: boolean;
	/** Slots of the usable servers, scaled by their pace and by what limits and cold starts leave. */
	readonly capacity: number;
	/** Highest recent capacity, at least the present one. */
	readonly referenceCapacity: number;
	/** Cost in milliseconds that the wait and the batch of a mean usable server add to a placement. */
	readonly congestionMs: number;
}

/** Fraction of the slots of a domain whose servers must be known for a comparison. */
const MINIMUM_KNOWN_FRACTION = 0.5;

/** Time constant with which the capacity of lost servers is forgotten, as they may have been removed for good. */
const REFERENCE_PERIOD_MS = 60_000;

/** Servers faster than this count like servers of this pace, as the pace of an idle server is a guess. */
const MINIMUM_PACE = 0.1;

interface DomainSums {
	slots: number;
	knownSlots: number;
	capacity: number;
	weightedCongestion: number;
}

/**
 * Sums up the servers of a service by failure domain.
 *
 * @param servers all registered servers of the service
 * @param references highest recent capacity by domain, which is updated
 * @param elapsedMs milliseconds since the last call with these references
 * @returns the domains that have servers or had some recently
 */
export function summarizeDomains(
	servers: readonly DomainServer[],
	references: Map<string, number>,
	elapsedMs: number,
): ReadonlyMap<string, DomainStanding> {
	const sumsByDomain = new Map<string, DomainSums>();
	for (const server of servers) {
		let sums = sumsByDomain.get(server.failureDomain);
		if (sums === undefined) {
			sums = { slots: 0, knownSlots: 0, capacity: 0, weightedCongestion: 0 };
			sumsByDomain.set(server.failureDomain, sums);
		}
		addServer(sums, server);
	}
	const decay = Math.exp(-Math.max(0, elapsedMs) / REFERENCE_PERIOD_MS);
	const standings = new Map<string, DomainStanding>();
	for (const domain of new Set([...references.keys(), ...sumsByDomain.keys()])) {
		const { slots, knownSlots, capacity, weightedCongestion } = sumsByDomain.get(domain) ?? NO_SERVERS;
		const isKnown = knownSlots >= slots * MINIMUM_KNOWN_FRACTION;
		const before = references.get(domain) ?? 0;
		// An evacuated domain returns sooner or later, and servers without reports are not lost.
		const isForgotten = isKnown && capacity > 0;
		const referenceCapacity = Math.max(capacity, isForgotten ? before * decay : before);
		references.set(domain, referenceCapacity);
		const congestionMs = capacity === 0 ? 0 : weightedCongestion / capacity;
		standings.set(domain, { isKnown, capacity, referenceCapacity, congestionMs });
	}
	return standings;
}

const NO_SERVERS: DomainSums = { slots: 0, knownSlots: 0, capacity: 0, weightedCongestion: 0 };

function addServer(sums: DomainSums, { slots, state }: DomainServer): void {
	sums.slots += slots;
	if (state === undefined) {
		return;
	}
	sums.knownSlots += slots;
	if (!state.isUsable) {
		return;
	}
	const capacity = (slots * state.remainingFraction) / Math.max(MINIMUM_PACE, state.pace);
	sums.capacity += capacity;
	sums.weightedCongestion += capacity * (state.waitMs + (FULL_BATCH_COST_MS * state.inProgress) / slots);
}
