import { FULL_BATCH_COST_MS } from './engineChoice.js';
import { type DomainStanding, type DomainServer, summarizeDomains } from './domainStanding.js';

/**
 * `adaptive` weighs the path to another failure domain against how busy the domains are. `fixed` prefers servers of the
 * same domain by a constant for every request.
 */
export type DomainPolicyMode = 'adaptive' | 'fixed';

/** What determines how much it costs a request to leave the failure domain of its router. */
export interface PathDemand {
	/** Random number from 0 to 1, the same for all attempts of the request. */
	readonly draw: number;
	/** Bytes of the request and of its expected response. */
	readonly bytes: number;
}

/**
 * What the decision for a service rests on. With 'measured', the domains were compared. With 'no-server', the own domain
 * has no usable server. With 'not-compared', no other domain is known well enough. With 'unknown', the own domain is not.
 */
export type DomainBasis = 'measured' | 'no-server' | 'not-compared' | 'unknown';

/** Current decision for a service. */
export interface DomainDecision {
	/** Fraction of the requests that may leave the domain at the price of the path alone, from 0 to 1. */
	readonly fraction: number;
	/** Additional cost of leaving for the other requests, in milliseconds; each has a maximum of its own. */
	readonly holdMs: number;
	readonly basis: DomainBasis;
	/** Cost in milliseconds that the wait and the batch of a mean server of the own domain add; undefined when unknown. */
	readonly ownCongestionMs: number | undefined;
	/** The same for the less congested other domains; undefined when unknown. */
	readonly otherCongestionMs: number | undefined;
}

/** A decision that has changed noticeably. */
export interface DomainDecisionChange {
	readonly service: string;
	readonly decision: DomainDecision;
}

/** Interval at which a decision is recomputed; queue owners report every 500 ms, relays every 250 ms. */
const UPDATE_INTERVAL_MS = 200;

/** Longest time that one update accounts for, so that a pause in traffic does not move the fraction at once. */
const MAXIMUM_STEP_MS = 1_000;

/** Round trip between failure domains of a region in milliseconds, in the slower of the known deployments. */
const ROUND_TRIP_MS = 2.8;

/** A request to another domain takes a round trip for the request and one for the response and its acknowledgement. */
const ROUND_TRIPS_PER_REQUEST = 2;

/**
 * Charge for a byte between domains, an estimate: on the heating oil deployment these bytes took 0.010 of the value and new
 * connections, which cost 10 ms each, 0.015. Several requests leave for each new connection, so a request that leaves costs
 * about 1 ms, and is assumed to carry 10 kB with its response.
 */
const COST_PER_BYTE_MS = 0.0001;

/**
 * The fraction rises while leaving saves more than the upper bound and falls while it saves less than the lower one. Both
 * are above 0, so that requests that may leave keep doing so while the fraction is constant. The difference exceeds one
 * request in a batch of 12, which costs 10 ms.
 */
const RAISE_ABOVE_MS = 25;
const LOWER_BELOW_MS = 8;

/**
 * Change of the fraction per second and per millisecond beyond a bound, and its maximum per second. A change shows in the
 * reports only after some two seconds (the duration of a request and two report intervals), and a faster change overshoots.
 * Falling slowly is cheap, since requests that may leave do so only where it saves more than the path costs.
 */
const RAISE_GAIN = 0.002;
const MAXIMUM_RAISE_PER_SECOND = 0.3;
const LOWER_GAIN = 0.005;
const MAXIMUM_LOWER_PER_SECOND = 0.1;

/** Margin for requests that may not leave: the cost of one request in a batch of 12, by which servers differ at any time. */
const HOLD_MARGIN_MS = 10;

/**
 * Maximum additional cost for requests that may not leave, which rises with the draw from half a full batch to two. A
 * server elsewhere that is better by more is used at once, so that a sudden lack of capacity does not wait for the fraction.
 * With the same maximum for all requests, all of them would leave at once.
 */
const SMALLEST_MAXIMUM_HOLD_MS = FULL_BATCH_COST_MS / 2;
const LARGEST_MAXIMUM_HOLD_MS = FULL_BATCH_COST_MS * 2;

/** A smaller relative loss of capacity is within the error of the measured paces. */
const NEGLIGIBLE_CAPACITY_LOSS = 0.15;

/** Change of the fraction that is reported, and the minimum time between two reports for a service. */
const NOTICEABLE_CHANGE = 0.1;
const NOTICE_INTERVAL_MS = 1_000;

const MILLISECONDS_PER_SECOND = 1_000;

interface ServiceState {
	decision: DomainDecision;
	/** Fraction that follows from the difference in congestion. */
	fraction: number;
	updatedAt: number;
	/** Last decision that {@link DomainPolicy.takeNoticeableChange} has reported. */
	reported: DomainDecision;
	reportedAt: number;
	/** Highest recent capacity by domain. */
	readonly references: Map<string, number>;
}

/**
 * Decides for each service which fraction of a router's requests may leave its failure domain, and what leaving costs a
 * request.
 *
 * Load pattern: a domain has too few servers for its requests, or loses them and gets them back cold. All of its routers
 * see the same reports; if each followed them on its own, all requests would leave and return together.
 */
export class DomainPolicy {
	private readonly services = new Map<string, ServiceState>();

	private constructor(
		private readonly ownDomain: string,
		private readonly mode: DomainPolicyMode,
		private readonly roundTripMs: number,
	) {}

	/**
	 * @param ownDomain failure domain of the router
	 * @param mode whether the policy is in force
	 * @param roundTripMs round trip between failure domains, in milliseconds
	 * @returns a policy without decisions
	 */
	public static create(
		ownDomain: string,
		mode: DomainPolicyMode = 'adaptive',
		roundTripMs: number = ROUND_TRIP_MS,
	): DomainPolicy {
		return new DomainPolicy(ownDomain, mode, roundTripMs);
	}

	/** Whether the policy is in force. */
	public get isAdaptive(): boolean {
		return this.mode === 'adaptive';
	}

	/**
	 * @param service name of a service
	 * @param now monotonic milliseconds
	 * @returns whether the decision for the service has to be recomputed
	 */
	public isUpdateDue(service: string, now: number): boolean {
		const state = this.services.get(service);
		return this.isAdaptive && (state === undefined || now - state.updatedAt >= UPDATE_INTERVAL_MS);
	}

	/**
	 * Recomputes the decision for a service.
	 *
	 * @param service name of the service
	 * @param servers all registered servers of the service
	 * @param now monotonic milliseconds
	 * @returns the decision
	 */
	public update(service: string, servers: readonly DomainServer[], now: number): DomainDecision {
		let state = this.services.get(service);
		if (state === undefined) {
			state = {
				decision: UNDECIDED,
				fraction: 0,
				updatedAt: now,
				reported: UNDECIDED,
				reportedAt: -Infinity,
				references: new Map(),
			};
			this.services.set(service, state);
		}
		const elapsedMs = Math.min(MAXIMUM_STEP_MS, Math.max(0, now - state.updatedAt));
		const standings = summarizeDomains(servers, state.references, now - state.updatedAt);
		state.updatedAt = now;
		state.decision = this.decide(state, standings, elapsedMs);
		return state.decision;
	}

	/**
	 * @param service name of a service
	 * @returns the current decision; undefined before the first update
	 */
	public decisionOf(service: string): DomainDecision | undefined {
		return this.services.get(service)?.decision;
	}

	/**
	 * @param service name of a service
	 * @param now monotonic milliseconds
	 * @returns whether the decision differs noticeably from the last one for which this was true
	 */
	public takeNoticeableChange(service: string, now: number): boolean {
		const state = this.services.get(service);
		if (state === undefined || now - state.reportedAt < NOTICE_INTERVAL_MS) {
			return false;
		}
		const { decision, reported } = state;
		const hasReachedEnd =
			decision.fraction !== reported.fraction && (decision.fraction === 0 || decision.fraction === 1);
		const change = Math.abs(decision.fraction - reported.fraction);
		if (decision.basis === reported.basis && !hasReachedEnd && change < NOTICEABLE_CHANGE) {
			return false;
		}
		state.reported = decision;
		state.reportedAt = now;
		return true;
	}

	/**
	 * @param service name of the service of a request
	 * @param demand the request
	 * @returns placement cost in milliseconds of each server outside the own domain; undefined when the policy has no
	 * decision, so that the constant applies
	 */
	public costMs(service: string, { draw, bytes }: PathDemand): number | undefined {
		const decision = this.services.get(service)?.decision;
		if (!this.isAdaptive || decision === undefined || decision.basis === 'unknown') {
			return undefined;
		}
		const pathMs = this.pathMs + bytes * COST_PER_BYTE_MS;
		if (draw < decision.fraction) {
			return pathMs;
		}
		const rank = decision.fraction < 1 ? (draw - decision.fraction) / (1 - decision.fraction) : 0;
		const maximumHoldMs = SMALLEST_MAXIMUM_HOLD_MS + rank * (LARGEST_MAXIMUM_HOLD_MS - SMALLEST_MAXIMUM_HOLD_MS);
		return pathMs + Math.min(decision.holdMs, maximumHoldMs);
	}

	private get pathMs(): number {
		return ROUND_TRIPS_PER_REQUEST * this.roundTripMs;
	}

	private decide(
		state: ServiceState,
		standings: ReadonlyMap<string, DomainStanding>,
		elapsedMs: number,
	): DomainDecision {
		const own = standings.get(this.ownDomain);
		const others = [...standings].filter(([domain]) => domain !== this.ownDomain).map(([, standing]) => standing);
		if (own?.isKnown === false) {
			return { ...UNDECIDED, fraction: state.fraction };
		}
		const known = others.filter(({ isKnown }) => isKnown);
		const usable = known.filter(({ capacity }) => capacity > 0);
		if (own === undefined || own.capacity === 0) {
			const otherCongestionMs = meanCongestionMs(usable);
			return { fraction: 1, holdMs: 0, basis: 'no-server', ownCongestionMs: undefined, otherCongestionMs };
		}
		const ownCongestionMs = own.congestionMs;
		const lessCongested = usable.filter(({ congestionMs }) => congestionMs < ownCongestionMs);
		const otherCongestionMs = meanCongestionMs(lessCongested.length > 0 ? lessCongested : usable);
		if (otherCongestionMs === undefined) {
			const { fraction } = state;
			return { fraction, holdMs: 0, basis: 'not-compared', ownCongestionMs, otherCongestionMs };
		}
		const advantageMs = ownCongestionMs - otherCongestionMs;
		const changed = state.fraction + changePerSecond(advantageMs - this.pathMs) * (elapsedMs / MILLISECONDS_PER_SECOND);
		state.fraction = Math.min(1, Math.max(0, changed));
		const fraction = Math.max(state.fraction, capacityLoss(own, usable));
		const holdMs = HOLD_MARGIN_MS + Math.max(0, advantageMs);
		return { fraction, holdMs, basis: 'measured', ownCongestionMs, otherCongestionMs };
	}
}

const UNDECIDED: DomainDecision = {
	fraction: 0,
	holdMs: 0,
	basis: 'unknown',
	ownCongestionMs: undefined,
	otherCongestionMs: undefined,
};

/**
 * @param savingMs what a mean request saves by leaving, in milliseconds
 * @returns change of the fraction per second
 */
function changePerSecond(savingMs: number): number {
	if (savingMs > RAISE_ABOVE_MS) {
		return Math.min(MAXIMUM_RAISE_PER_SECOND, RAISE_GAIN * (savingMs - RAISE_ABOVE_MS));
	}
	return savingMs < LOWER_BELOW_MS ? -Math.min(MAXIMUM_LOWER_PER_SECOND, LOWER_GAIN * (LOWER_BELOW_MS - savingMs)) : 0;
}

/**
 * Computes which fraction of its recent capacity the own domain lacks compared to other domains that have servers. When
 * servers become slower in all domains alike, leaving helps nobody.
 */
function capacityLoss(own: DomainStanding, others: readonly DomainStanding[]): number {
	const otherReference = others.reduce((sum, { referenceCapacity }) => sum + referenceCapacity, 0);
	const otherCapacity = others.reduce((sum, { capacity }) => sum + capacity, 0);
	const loss = 1 - own.capacity / own.referenceCapacity / (otherCapacity / otherReference);
	return loss > NEGLIGIBLE_CAPACITY_LOSS ? loss : 0;
}

function meanCongestionMs(standings: readonly DomainStanding[]): number | undefined {
	const capacity = standings.reduce((sum, standing) => sum + standing.capacity, 0);
	return capacity === 0
		? undefined
		: standings.reduce((sum, standing) => sum + standing.capacity * standing.congestionMs, 0) / capacity;
}
