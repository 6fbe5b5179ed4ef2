import { Emitter, type Event } from '../../base/common/event.js';
import { type DomainDecision, type DomainDecisionChange, DomainPolicy, type DomainPolicyMode } from './domainPolicy.js';
import type { DomainServer } from './domainStanding.js';
import { type PromptWork, slotWaitMs } from './engineChoice.js';
import type { IQueueOwnership } from './queueDivision.js';
import type { KnownServer } from './serverStates.js';
import type { SlotTimes } from './slotTimes.js';

/** What a router knows of the servers that its domain decisions compare. */
export interface DomainInputs {
	readonly queues: IQueueOwnership;
	readonly slotTimes: SlotTimes;
	/** Returns the fraction of the routers whose placements this router learns of, from 0 to 1. */
	readonly heardFraction: () => number;
	/** Returns whether the servers of a service are placed by their measured speed, memory and failure domain. */
	readonly measuresSpeed: (service: string) => boolean;
	/** Returns the servers of a service that may receive requests. */
	readonly serversOf: (service: string) => readonly KnownServer[];
}

const MILLISECONDS_PER_SECOND = 1_000;

/** A router that hears fewer of the others knows too little of the servers whose queues it owns to compare domains. */
const MINIMUM_HEARD_FRACTION = 0.5;

/** Applies the {@link DomainPolicy} to the servers that a router knows. */
export class DomainDecisions {
	private readonly changeEmitter = Emitter.create<DomainDecisionChange>();

	/** Fires when the fraction of requests that may leave the failure domain, or its basis, has changed noticeably. */
	public readonly onDidChange: Event<DomainDecisionChange> = this.changeEmitter.event;

	private constructor(
		private readonly policy: DomainPolicy,
		private readonly inputs: DomainInputs,
	) {}

	/**
	 * @param failureDomain failure domain of the router
	 * @param mode how requests to services that report their speed leave the failure domain
	 * @param inputs what the router knows of the servers
	 * @returns an instance without decisions
	 */
	public static create(failureDomain: string, mode: DomainPolicyMode, inputs: DomainInputs): DomainDecisions {
		return new DomainDecisions(DomainPolicy.create(failureDomain, mode), inputs);
	}

	/**
	 * Computes what it costs a request of this router to leave its failure domain.
	 *
	 * @param service name of the service
	 * @param work prompt of the request and what it sends along the path
	 * @param now monotonic milliseconds
	 * @returns placement cost in milliseconds of servers in other domains; undefined when the constant applies
	 */
	public costMs(service: string, work: PromptWork, now: number): number | undefined {
		return work.path === undefined || this.decisionOf(service, now) === undefined
			? undefined
			: this.policy.costMs(service, work.path);
	}

	/**
	 * @param service name of a service
	 * @param now monotonic milliseconds
	 * @returns which of its requests may leave the failure domain; undefined when the policy is not in force
	 */
	public decisionOf(service: string, now: number): DomainDecision | undefined {
		if (!this.policy.isAdaptive || !this.inputs.measuresSpeed(service)) {
			return undefined;
		}
		if (this.policy.isUpdateDue(service, now)) {
			const decision = this.policy.update(service, this.domainServersOf(service, now), now);
			if (this.policy.takeNoticeableChange(service, now)) {
				this.changeEmitter.fire({ service, decision });
			}
		}
		return this.policy.decisionOf(service);
	}

	private domainServersOf(service: string, now: number): readonly DomainServer[] {
		const { queues, slotTimes, heardFraction } = this.inputs;
		const isCutOff = heardFraction() < MINIMUM_HEARD_FRACTION;
		return this.inputs.serversOf(service).map(({ server, state }) => {
			const { failureDomain, slots } = server;
			const ownsQueue = queues.ownsQueueOf(server.id);
			const view = state.view(ownsQueue, now);
			// That a server is unusable is known first-hand too.
			const isKnown = !view.health.usable || (ownsQueue ? !isCutOff : state.hasRecentReport(now));
			if (!isKnown) {
				return { failureDomain, slots, state: undefined };
			}
			const slotTimeMs = slotTimes.meanMs(service, true);
			const coldRequests = (state.cold.requestsPerSecondAt(now) * slotTimeMs) / MILLISECONDS_PER_SECOND;
			const { inProgress, pace, health } = view;
			const waitMs = view.waitMs + slotWaitMs({ server, view, slotTimeMs });
			// A cold server that has reached its rate limit is excluded for a moment, but its capacity is not lost.
			const isUsable = health.usable || state.cold.isLimited(now);
			const remainingFraction = Math.min(1, coldRequests / slots, state.remainingFraction(ownsQueue, now));
			return { failureDomain, slots, state: { isUsable, waitMs, inProgress, pace, remainingFraction } };
		});
	}
}
