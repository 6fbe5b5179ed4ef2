import { Emitter, type Event } from '../../base/common/event.js';
import { shortKey } from '../../base/common/shortKey.js';
import type { RegisteredServer } from './directory.js';
import { DomainDecisions } from './domainDecisions.js';
import type { DomainDecision, DomainDecisionChange, DomainPolicyMode } from './domainPolicy.js';
import { type EngineOption, isAcceptable, type PromptWork } from './engineChoice.js';
import { EngineRanking, type RequestOrigin, reservedTokens } from './engineRanking.js';
import type { EngineReport } from './engineState.js';
import type {
	EndNotice,
	FirstEventNotice,
	PlacementNotice,
	RequestEnd,
	Reservation,
	ReservationAnswer,
	ReservationRequest,
} from './placementMessages.js';
import { type IQueueOwnership, fullQueueOwnership } from './queueDivision.js';
import { nominalTokens } from './prefillTime.js';
import { type KnownServer, ServerStates } from './serverStates.js';
import type { ServerOutcome } from './serverOutcomes.js';
import { slotLoad } from './slotLoad.js';
import { SlotTimes } from './slotTimes.js';

/** Sequence number of notices about cached parts, which belong to no request; those of requests are higher. */
const CACHE_NOTICE_SEQUENCE = 0;

/** Maximum number of parts in a notice about cached parts. */
const PARTS_PER_CACHE_NOTICE = 16;

/**
 * Tracks the queued work and the cached prompt parts of each backend server. In a small fleet every router is notified
 * of all placements. In a large one each router is notified of those on the few servers whose queues it owns, and
 * relies on the reports of the queue owners for the others.
 *
 * Load pattern: requests with prompt lengths that differ by 100 to 1 share a few hundred long documents, through many
 * routers.
 */
export class EngineFleet extends ServerStates {
	private readonly slotTimes = SlotTimes.create();
	private readonly placeEmitter = Emitter.create<PlacementNotice>();
	private readonly firstEventEmitter = Emitter.create<FirstEventNotice>();
	private readonly endEmitter = Emitter.create<EndNotice>();
	private sequence = 0;

	/** Fires for placements that no other router has been notified of. */
	public readonly onDidPlace: Event<PlacementNotice> = this.placeEmitter.event;
	public readonly onDidReceiveFirstEvent: Event<FirstEventNotice> = this.firstEventEmitter.event;
	public readonly onDidEndRequest: Event<EndNotice> = this.endEmitter.event;

	/** This router. */
	private readonly localOrigin: RequestOrigin;
	private readonly domainDecisions: DomainDecisions;
	private readonly ranking: EngineRanking;

	private constructor(
		private readonly router: string,
		failureDomain: string,
		private readonly queues: IQueueOwnership,
		isConnectedTo: (server: RegisteredServer) => boolean,
		heardFraction: () => number,
		domainPolicyMode: DomainPolicyMode,
	) {
		super(heardFraction);
		const { slotTimes, prefixCache, plainSlotTimes } = this;
		this.domainDecisions = DomainDecisions.create(failureDomain, domainPolicyMode, {
			queues,
			slotTimes,
			heardFraction,
			measuresSpeed: (service) => this.measuresSpeed(service),
			serversOf: (service) => this.byService.get(service) ?? [],
		});
		this.ranking = EngineRanking.create({
			queues,
			prefixCache,
			slotTimes,
			plainSlotTimes,
			reportsSpeed: (service) => this.reportsSpeed(service),
			countedMemoryOf: (service) => this.countedMemoryOf(service),
		});
		this.localOrigin = { failureDomain, isConnectedTo: ({ server }) => isConnectedTo(server) };
	}

	/**
	 * @param router name of this router
	 * @param failureDomain failure domain of this router
	 * @param queues determines which servers' queues this router owns
	 * @param isConnectedTo whether this router has an idle connection to a server
	 * @param heardFraction returns the fraction of the routers whose placements this router learns of, from 0 to 1
	 * @param domainPolicyMode how requests to services that report their speed leave the failure domain
	 * @returns a fleet without servers
	 */
	public static create(
		router: string,
		failureDomain: string,
		queues: IQueueOwnership = fullQueueOwnership,
		isConnectedTo: (server: RegisteredServer) => boolean = () => false,
		heardFraction: () => number = () => 1,
		domainPolicyMode: DomainPolicyMode = 'adaptive',
	): EngineFleet {
		return new EngineFleet(router, failureDomain, queues, isConnectedTo, heardFraction, domainPolicyMode);
	}

	/**
	 * Lists the engines of a service for a request.
	 *
	 * @param service name of the service
	 * @param work prompt of the request
	 * @param excluded identifiers of servers that must not receive the request again
	 * @param now monotonic milliseconds
	 * @returns engines by ascending cost; an engine that must not be used now has `health.usable` set to false
	 */
	public rankedOptions(
		service: string,
		work: PromptWork,
		excluded: ReadonlySet<string>,
		now: number,
	): readonly EngineOption[] {
		const all = this.byService.get(service) ?? [];
		const known = excluded.size === 0 ? all : all.filter(({ server }) => !excluded.has(server.id));
		const requestOrigin = { ...this.localOrigin, domainCostMs: this.domainCostMs(service, work, now) };
		const options = this.ranking.rank(known, work, requestOrigin, now);
		return known.every(({ state }) => state.notices.allowsRequest(now, state.ownInProgress))
			? options
			: options.map((option) => this.applyNotices(option, now));
	}

	/** Fires when the fraction of requests that may leave the failure domain, or its basis, has changed noticeably. */
	public get onDidChangeDomainDecision(): Event<DomainDecisionChange> {
		return this.domainDecisions.onDidChange;
	}

	/**
	 * Computes what it costs a request of this router to leave its failure domain.
	 *
	 * @param service name of the service
	 * @param work prompt of the request and what it sends along the path
	 * @param now monotonic milliseconds
	 * @returns placement cost in milliseconds of servers in other domains; undefined when the constant applies
	 */
	public domainCostMs(service: string, work: PromptWork, now: number): number | undefined {
		return this.domainDecisions.costMs(service, work, now);
	}

	/**
	 * @param service name of a service
	 * @param now monotonic milliseconds
	 * @returns which of its requests may leave the failure domain; undefined when the policy is not in force
	 */
	public domainDecision(service: string, now: number): DomainDecision | undefined {
		return this.domainDecisions.decisionOf(service, now);
	}

	/**
	 * @param server identifier of a server
	 * @param now monotonic milliseconds
	 * @returns whether the notices of the server allow the request that this router has just placed there
	 */
	public allowsRequest(server: string, now: number): boolean {
		const state = this.states.get(server);
		return state === undefined || state.notices.allowsRequest(now, Math.max(0, state.ownInProgress - 1));
	}

	/**
	 * Lists the servers whose notices forbid requests of this router, so that the queue owner can exclude them.
	 *
	 * @param server identifier of a server
	 * @param now monotonic milliseconds
	 * @returns identifiers of such servers in the same queue group
	 */
	public blockedInGroupOf(server: string, now: number): readonly string[] {
		const group = this.queues.queueGroupOf(server);
		return [...this.states]
			.filter(([id, { notices, ownInProgress }]) => {
				return !notices.allowsRequest(now, ownInProgress) && this.queues.queueGroupOf(id) === group;
			})
			.map(([id]) => id);
	}

	/**
	 * @param server identifier of a server
	 * @returns short keys of the servers in its queue group to which this router has an idle connection
	 */
	public connectedInGroupOf(server: string): readonly number[] {
		const group = this.queues.queueGroupOf(server);
		const service = this.byService.get(this.byId.get(server)?.server.service ?? '') ?? [];
		return service
			.filter((known) => this.queues.queueGroupOf(known.server.id) === group && this.localOrigin.isConnectedTo(known))
			.map(({ key }) => key);
	}

	/** Failure domain of this router. */
	public get failureDomain(): string {
		return this.localOrigin.failureDomain;
	}

	/** @returns sequence number for a new placement of this router */
	public nextSequence(): number {
		return ++this.sequence;
	}

	/**
	 * Records that this router sends a request to a server.
	 *
	 * @param option the chosen server, as returned by {@link rankedOptions}
	 * @param work prompt of the request
	 * @param now monotonic milliseconds
	 * @param reservation place in the server queue if another router owns it
	 * @returns sequence number of the placement
	 */
	public place(option: EngineOption, work: PromptWork, now: number, reservation?: Reservation): number {
		const { id } = option.server;
		const sequence = reservation?.sequence ?? this.nextSequence();
		const workMs = reservation?.workMs ?? option.workMs;
		const state = this.states.get(id);
		state?.addOwnRequest(workMs, reservation?.confirmed === true, now, sequence, reservedTokens(work));
		const parts = work.parts.map(({ key }) => key);
		const shared = parts.slice(0, -1);
		if (work.promptTokens > 0) {
			state?.queue.place({ router: this.router, sequence }, now, workMs, reservation?.delayMs ?? option.delayMs);
			this.prefixCache.record(id, parts, this.ranking.memoryTokensOf(option.server.service));
		}
		// Peers have to know of all requests to a server whose rate is limited.
		const isRateLimited = this.isRequestLimited(id) || state?.cold.isLimited(now) === true;
		const isCounted = work.promptTokens > 0 || !this.queues.ownsQueueOf(id) || isRateLimited;
		if (reservation?.confirmed !== true && isCounted) {
			this.placeEmitter.fire({ server: id, sequence, workMs, parts: shared, at: now });
		}
		return sequence;
	}

	/**
	 * Releases a reserved place that is not needed.
	 *
	 * @param server identifier of the server
	 * @param sequence sequence number of the placement
	 * @param now monotonic milliseconds
	 */
	public abandonReservation(server: string, sequence: number, now: number): void {
		this.firstEventEmitter.fire({ server, sequence, abandoned: true, at: now });
		this.endEmitter.fire({ server, outcome: undefined });
	}

	/**
	 * Records the first event of a request of this router.
	 *
	 * @param server identifier of the server
	 * @param sequence sequence number of the placement
	 * @param now monotonic milliseconds
	 */
	public recordFirstEvent(server: string, sequence: number, now: number): void {
		this.states.get(server)?.recordFirstEvent({ router: this.router, sequence }, now, this.queues.ownsQueueOf(server));
		this.firstEventEmitter.fire({ server, sequence, abandoned: false, at: now });
	}

	/**
	 * Records the end of a request of this router.
	 *
	 * @param server identifier of the server
	 * @param sequence sequence number of the placement
	 * @param end how it ended
	 * @param now monotonic milliseconds
	 */
	public recordEnd(server: string, sequence: number, end: RequestEnd, now: number): void {
		const state = this.states.get(server);
		state?.removeOwnRequest(sequence);
		const known = this.byId.get(server);
		if (end.slotTimeMs !== undefined && known !== undefined) {
			const { service } = known.server;
			if (state?.load.slotTimeMs !== undefined) {
				this.plainSlotTimes.record(service, state.load, end.slotTimeMs, now);
			}
			this.slotTimes.record(service, end.slotTimeMs);
		}
		if (!end.hadFirstEvent) {
			state?.queue.remove({ router: this.router, sequence }, now);
			this.firstEventEmitter.fire({ server, sequence, abandoned: true, at: now });
		}
		if (end.outcome !== undefined) {
			state?.outcomes.record(end.outcome, now);
		}
		this.endEmitter.fire({ server, outcome: end.outcome });
	}

	/**
	 * @param services names of services
	 * @param now monotonic milliseconds
	 * @returns mean load of their usable servers, from 0 to 1; undefined when there is none
	 */
	public meanLoad(services: readonly string[], now: number): number | undefined {
		const loads = services.flatMap((service) => {
			const measuresSpeed = this.measuresSpeed(service);
			return (this.byService.get(service) ?? []).flatMap(({ server }) => {
				const view = this.states.get(server.id)?.view(this.queues.ownsQueueOf(server.id), now);
				if (view?.health.usable !== true) {
					return [];
				}
				return measuresSpeed ? Math.max(view.load, slotLoad(view.inProgress, server.slots)) : view.load;
			});
		});
		return meanOf(loads);
	}

	/**
	 * @param services names of services
	 * @param now monotonic milliseconds
	 * @returns mean fraction of the capacity of their servers that the limits of these leave, from 0 to 1
	 */
	public remainingFraction(services: readonly string[], now: number): number {
		const fractions = services
			.flatMap((service) => this.byService.get(service) ?? [])
			.map(({ server: { id } }) => this.states.get(id)?.remainingFraction(this.queues.ownsQueueOf(id), now) ?? 1);
		return meanOf(fractions) ?? 1;
	}

	/**
	 * @param service short key of a service
	 * @returns fraction of its servers whose queues this router owns, from 0 to 1
	 */
	public ownedQueueFraction(service: number): number {
		const known = this.serversOf(service);
		return known.filter(({ server }) => this.queues.ownsQueueOf(server.id)).length / Math.max(1, known.length);
	}

	/**
	 * @param server identifier of a server
	 * @returns requests in progress at the server from this router
	 */
	public ownInProgressAt(server: string): number {
		return this.states.get(server)?.ownInProgress ?? 0;
	}

	/**
	 * Returns what the requests of this router reserve at a server, for a message that is sent now to the queue owner.
	 *
	 * @param server identifier of the server
	 * @param now monotonic milliseconds
	 * @returns tokens; 0 where the memory of servers is not counted
	 */
	public takeHeldTokensReport(server: string, now: number): number {
		const state = this.states.get(server);
		if (state === undefined || this.countedMemoryOf(this.serviceOf(server)) === undefined) {
			return 0;
		}
		state.memory.recordReport(now);
		return state.memory.ownHeldTokens;
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns identifiers of the servers at which the requests of this router hold memory that the queue owners have not
	 * heard of for some time
	 */
	public heldTokensReportsDue(now: number): readonly string[] {
		return [...this.states]
			.filter(([id, { memory }]) => memory.isReportDue(now) && this.countedMemoryOf(this.serviceOf(id)) !== undefined)
			.map(([id]) => id);
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns the highest fraction of a server's memory that is reserved, as far as this router knows; 0 when none is counted
	 */
	public highestReservedFraction(now: number): number {
		const fractions = [...this.byId].map(([id, { server }]) => {
			const memoryTokens = this.countedMemoryOf(server.service);
			const heldTokens = this.states.get(id)?.view(this.queues.ownsQueueOf(id), now).heldTokens ?? 0;
			return memoryTokens === undefined ? 0 : heldTokens / memoryTokens;
		});
		return Math.max(0, ...fractions);
	}

	/** @returns requests in progress from this router, by server identifier */
	public ownInProgress(): ReadonlyMap<string, number> {
		return new Map([...this.states].map(([id, state]) => [id, state.ownInProgress]));
	}

	/** @returns prompts of this router that await their first event, for routers that become owners of the queues */
	public pendingPlacements(): readonly PlacementNotice[] {
		return [...this.states].flatMap(([server, { queue }]) =>
			queue
				.placementsOf(this.router)
				.map(({ sequence, workMs, sentAt }) => ({ server, sequence, workMs, parts: [], at: sentAt })),
		);
	}

	/**
	 * Lists the prompt parts that engines are assumed to have cached, for a router that has just started.
	 *
	 * @param now monotonic milliseconds
	 * @returns notices without a request, each with a few parts of one engine
	 */
	public cacheNotices(now: number): readonly PlacementNotice[] {
		const notices: PlacementNotice[] = [];
		for (const { engine, parts } of this.prefixCache.cachedParts) {
			for (let start = 0; start < parts.length; start += PARTS_PER_CACHE_NOTICE) {
				notices.push({
					server: engine,
					sequence: CACHE_NOTICE_SEQUENCE,
					workMs: 0,
					parts: parts.slice(start, start + PARTS_PER_CACHE_NOTICE),
					at: now,
				});
			}
		}
		return notices;
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns state of the servers whose queues this router owns, by short key
	 */
	public ownedQueueReports(now: number): ReadonlyMap<number, EngineReport> {
		return this.reportsOf(
			[...this.byId.values()].filter(({ server }) => this.queues.ownsQueueOf(server.id)),
			now,
		);
	}

	/**
	 * Applies a report of a queue owner.
	 *
	 * @param server short key of the server
	 * @param report state of the server
	 * @param reportedAt monotonic milliseconds at which the owner created the report
	 */
	public applyReport(server: number, report: EngineReport, reportedAt: number): void {
		const state = this.stateByKey(server);
		if (report.workTime !== undefined) {
			this.addSpeedReporting(this.idByKey.get(server) ?? '');
		}
		state?.applyReport(report, reportedAt);
		if (!this.queues.ownsQueueOf(this.idByKey.get(server) ?? '')) {
			state?.limit.applyReport(report.requestsPerSecond, reportedAt);
		}
	}

	/**
	 * Handles the reservation request of a peer and, if it is accepted, records the placement.
	 *
	 * Load pattern: 70 routers place prompts on the same engines within milliseconds of each other, so that reports of the
	 * engines' state would be outdated on arrival.
	 *
	 * @param router name of the peer
	 * @param request the reservation request
	 * @param now monotonic milliseconds
	 * @returns the response; undefined when this router owns no queue of an eligible server
	 */
	public reserve(router: string, request: ReservationRequest, now: number): ReservationAnswer | undefined {
		const { work, sequence } = request;
		const excluded = new Set(request.excluded);
		const owned = this.serversOf(request.service).filter(
			({ server, key }) => this.queues.ownsQueueOf(server.id) && !excluded.has(key),
		);
		const connected = new Set(request.connected);
		const isConnectedTo = ({ key }: KnownServer): boolean => connected.has(key);
		const { failureDomain, domainCostMs } = request;
		const options = this.ranking.rank(owned, work, { failureDomain, domainCostMs, isConnectedTo }, now);
		const [first] = options;
		if (first === undefined) {
			return undefined;
		}
		const accepted = options.find((option) => isAcceptable(option, request));
		if (accepted !== undefined) {
			const parts = work.parts.map(({ key }) => key);
			const server = shortKey(accepted.server.id);
			const { workMs, delayMs } = accepted;
			this.applyPlacement(router, { server, sequence, workMs, parts, delayMs, unsharedTokens: 0 }, now);
			if (this.countedMemoryOf(accepted.server.service) !== undefined) {
				this.stateByKey(server)?.memory.grant(router, sequence, reservedTokens(work), now);
			}
		}
		const { waitMs, delayMs, workMs, memoryWaitMs: roomMs } = accepted ?? first;
		const reports = this.reportsOf(owned, now);
		return { server: accepted?.server.id, waitMs, delayMs, workMs, reports, memoryWaitMs: roomMs };
	}

	/**
	 * Applies a placement of a peer.
	 *
	 * @param router name of the peer
	 * @param notice the placement, with short keys as identifiers
	 * @param now monotonic milliseconds
	 */
	public applyPlacement(
		router: string,
		notice: {
			readonly server: number;
			readonly sequence: number;
			readonly workMs: number;
			readonly parts: readonly number[];
			/** Tokens of the prompt that are in none of the parts; by default all that the engine prefills. */
			readonly unsharedTokens?: number;
			/** Milliseconds until the prompt is sent. */
			readonly delayMs?: number;
			/** Milliseconds since the placement. */
			readonly ageMs?: number;
		},
		now: number,
	): void {
		const id = this.idByKey.get(notice.server);
		const state = this.stateByKey(notice.server);
		if (id === undefined || state === undefined) {
			return;
		}
		const unsharedTokens = notice.unsharedTokens ?? nominalTokens(notice.workMs);
		const service = this.byId.get(id)?.server.service ?? '';
		this.prefixCache.record(id, notice.parts, this.ranking.memoryTokensOf(service), unsharedTokens);
		if (notice.sequence === CACHE_NOTICE_SEQUENCE) {
			return;
		}
		if (notice.workMs > 0) {
			state.queue.place(
				{ router, sequence: notice.sequence },
				now,
				notice.workMs,
				(notice.delayMs ?? 0) - (notice.ageMs ?? 0),
			);
		}
		state.memory.confirmGrant(router, notice.sequence, false);
		// The next report of the peer replaces this count and so accounts for requests that have ended.
		state.addPeerRequest(router, now);
	}

	/**
	 * Applies the first event or the abandonment of a peer's prompt.
	 *
	 * @param router name of the peer
	 * @param notice the prompt, with short keys as identifiers
	 * @param now monotonic milliseconds
	 */
	public applyFirstEvent(
		router: string,
		notice: {
			readonly server: number;
			readonly sequence: number;
			readonly abandoned: boolean;
			/** Milliseconds since the first event or the abandonment. */
			readonly ageMs?: number;
		},
		now: number,
	): void {
		const state = this.stateByKey(notice.server);
		const id = { router, sequence: notice.sequence };
		state?.memory.confirmGrant(router, notice.sequence, notice.abandoned);
		if (notice.abandoned) {
			state?.queue.remove(id, now);
		} else {
			state?.recordFirstEvent(id, now, true, now - (notice.ageMs ?? 0));
		}
	}

	/**
	 * Applies the outcome of a peer's request.
	 *
	 * @param server short key of the server
	 * @param outcome outcome of the request
	 * @param now monotonic milliseconds
	 */
	public applyOutcome(server: number, outcome: ServerOutcome, now: number): void {
		this.stateByKey(server)?.outcomes.record(outcome, now);
	}

	/**
	 * Applies the number of requests that a peer has in progress.
	 *
	 * @param router name of the peer
	 * @param streams number of requests by short key of the server
	 * @param isComplete whether the peer has no requests at servers that are not listed
	 * @param now monotonic milliseconds
	 * @param heldTokens tokens that the requests reserve, by short key of the server
	 */
	public applyInProgress(
		router: string,
		streams: ReadonlyMap<number, number>,
		isComplete = true,
		now = 0,
		heldTokens: ReadonlyMap<number, number> = new Map(),
	): void {
		if (isComplete) {
			for (const [id, state] of this.states) {
				const key = shortKey(id);
				state.setPeerRequests(router, streams.get(key) ?? 0);
				state.memory.applyPeerReport(router, heldTokens.get(key) ?? 0, now);
			}
			return;
		}
		for (const [server, requests] of streams) {
			const state = this.stateByKey(server);
			state?.setPeerRequests(router, requests);
			state?.memory.applyPeerReport(router, heldTokens.get(server) ?? 0, now);
		}
	}

	/**
	 * Removes the placements and requests of a peer that has stopped or is unreachable.
	 *
	 * @param router name of the peer
	 * @param now monotonic milliseconds
	 */
	public removeRouter(router: string, now: number): void {
		for (const state of this.states.values()) {
			state.removePeer(router, now);
		}
	}

	private reportsOf(known: readonly KnownServer[], now: number): ReadonlyMap<number, EngineReport> {
		const reports = new Map<number, EngineReport>();
		for (const { server, key } of known) {
			const state = this.states.get(server.id);
			if (state !== undefined) {
				reports.set(key, state.createReport(now, this.countedMemoryOf(server.service) !== undefined));
			}
		}
		return reports;
	}

	private applyNotices(option: EngineOption, now: number): EngineOption {
		const state = this.states.get(option.server.id);
		if (state === undefined || state.notices.allowsRequest(now, state.ownInProgress)) {
			return option;
		}
		const unusableMs = Math.max(option.health.unusableMs, state.notices.blockedMs(now));
		return { ...option, health: { ...option.health, usable: false, unusableMs } };
	}
}

function meanOf(values: readonly number[]): number | undefined {
	return values.length === 0 ? undefined : values.reduce((sum, value) => sum + value, 0) / values.length;
}
