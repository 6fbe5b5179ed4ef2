import { Emitter, type Event } from '../../base/common/event.js';
import { rendezvousWeight, shortKey } from '../../base/common/shortKey.js';
import type { RegisteredServer } from './registeredServer.js';
import { type EngineOption, isAcceptable, optionOf, type PromptWork } from './engineChoice.js';
import { type EngineReport, EngineState } from './engineState.js';
import type {
	EndNotice,
	FirstEventNotice,
	PlacementNotice,
	RequestEnd,
	Reservation,
	ReservationAnswer,
	ReservationRequest,
} from './placementMessages.js';
import { PrefixCacheIndex, type PromptPart } from './prefixCacheIndex.js';
import { type IQueueOwnership, fullQueueOwnership } from './queueOwnership.js';
import { longestBurstMs, prefillMs } from './prefillTime.js';
import type { ServerOutcome, ServerOutcomes } from './serverOutcomes.js';

interface KnownServer {
	readonly server: RegisteredServer;
	readonly key: number;
}

/** A router that is to send a request. */
interface Sender {
	readonly failureDomain: string;
	readonly isConnectedTo: (known: KnownServer) => boolean;
}

/** What the engines of a service are taken to hold of a prompt. */
interface Holding {
	readonly heldTokens: number;
	readonly mostHeldTokens: number;
	readonly rank: number;
}

/**
 * Part of the shared tokens that a server of another router is presumed to hold, by the rank of its group for the prompt:
 * the first group has read them, and the second one when the first was full.
 */
const PRESUMED_PARTS = [1, 0.5];

/** Weight of one request in the mean time for which a request holds its slot. */
const SLOT_TIME_GAIN = 0.05;

/** Time for which a stream of generated tokens holds its slot before any was observed. */
const FIRST_STREAM_SLOT_TIME_MS = 2_000;

/** Time for which a plain request holds its slot before any was observed. */
const FIRST_PLAIN_SLOT_TIME_MS = 50;

/** The state of a server that is not registered is kept this long, because its entry may come back. */
const UNREGISTERED_KEPT_MS = 10_000;

/**
 * Knows how much work is ahead of a new request at each backend server, and which prompt parts each holds. In a small
 * fleet every router hears of all placements. In a larger one each router does so for the few servers whose queue it
 * keeps, and knows of the others what their keepers report.
 *
 * Load pattern: requests whose prompts differ by 100 to 1 share a few hundred long documents, through many routers.
 */
export class EngineFleet {
	private readonly states = new Map<string, EngineState>();
	private readonly forgetAt = new Map<string, number>();
	private readonly slotTimes = new Map<string, number>();
	private readonly cache = PrefixCacheIndex.create();
	private readonly placeEmitter = Emitter.create<PlacementNotice>();
	private readonly firstEventEmitter = Emitter.create<FirstEventNotice>();
	private readonly endEmitter = Emitter.create<EndNotice>();
	private readonly leaveEmitter = Emitter.create<string>();
	private readonly hearLeavingEmitter = Emitter.create<string>();
	private byId = new Map<string, KnownServer>();
	private byService = new Map<string, KnownServer[]>();
	private nameByKey = new Map<number, string>();
	private sequence = 0;

	/** Fires for placements that no other router knows of. */
	public readonly onDidPlace: Event<PlacementNotice> = this.placeEmitter.event;
	public readonly onDidReceiveFirstEvent: Event<FirstEventNotice> = this.firstEventEmitter.event;
	public readonly onDidEndRequest: Event<EndNotice> = this.endEmitter.event;
	/** Fires with the identifier of a server when this router learns from its answers, or from a peer, that it leaves. */
	public readonly onDidDetectLeaving: Event<string> = this.leaveEmitter.event;
	/** Fires with the identifier of a server that has told this router that it leaves. */
	public readonly onDidReceiveLeavingNotice: Event<string> = this.hearLeavingEmitter.event;

	/** This router. */
	private readonly sender: Sender;

	private constructor(
		private readonly router: string,
		failureDomain: string,
		private readonly queues: IQueueOwnership,
		isConnectedTo: (server: RegisteredServer) => boolean,
	) {
		this.sender = { failureDomain, isConnectedTo: ({ server }) => isConnectedTo(server) };
	}

	/**
	 * @param router name of this router
	 * @param failureDomain where it runs
	 * @param queues which routers keep the queues of which servers
	 * @param isConnectedTo whether this router has an idle connection to a server
	 * @returns a fleet without servers
	 */
	public static create(
		router: string,
		failureDomain: string,
		queues: IQueueOwnership = fullQueueOwnership,
		isConnectedTo: (server: RegisteredServer) => boolean = () => false,
	): EngineFleet {
		return new EngineFleet(router, failureDomain, queues, isConnectedTo);
	}

	/**
	 * Sets the servers that may get requests.
	 *
	 * @param servers registered and not leaving
	 * @param now monotonic milliseconds
	 */
	public setServers(servers: readonly RegisteredServer[], now: number): void {
		const known = servers.map((server) => ({ server, key: shortKey(server.id) }));
		const before = this.byId;
		this.byId = new Map(known.map((item) => [item.server.id, item]));
		this.byService = new Map();
		for (const item of known) {
			const { server } = item;
			const others = this.byService.get(server.service);
			if (others === undefined) {
				this.byService.set(server.service, [item]);
			} else {
				others.push(item);
			}
			const state = this.states.get(server.id);
			// A server that does not say when it started is taken for another incarnation when it comes back.
			const isUntold = server.startedAt === undefined && !before.has(server.id);
			if (state !== undefined && (isUntold || state.startedAt !== server.startedAt)) {
				this.states.delete(server.id);
				this.cache.forgetEngine(server.id);
			}
			if (!this.states.has(server.id)) {
				this.states.set(server.id, EngineState.create(server));
			}
			this.forgetAt.delete(server.id);
		}
		this.forgetUnregistered(now);
		this.nameByKey = new Map([...this.states.keys()].map((id) => [shortKey(id), id]));
	}

	/**
	 * Lists the engines that could take a prompt, the best one first.
	 *
	 * @param service name of the service
	 * @param work what the prompt asks of an engine
	 * @param excluded identifiers of servers that the request must not reach again
	 * @param now monotonic milliseconds
	 * @returns usable engines by ascending cost
	 */
	public rankedOptions(
		service: string,
		work: PromptWork,
		excluded: ReadonlySet<string>,
		now: number,
	): readonly EngineOption[] {
		const known = (this.byService.get(service) ?? []).filter(({ server }) => !excluded.has(server.id));
		return this.optionsOf(known, work, this.sender, now).map((option) => this.withNotices(option, now));
	}

	/**
	 * @param server identifier of a server
	 * @param now monotonic milliseconds
	 * @returns whether the server takes requests of this router, by what it has told it
	 */
	public allowsRequest(server: string, now: number): boolean {
		const state = this.states.get(server);
		return state === undefined || state.notices.allowsRequest(now, Math.max(0, state.ownInProgress - 1));
	}

	/**
	 * Lists the servers that want no requests of this router, for those who choose servers for it.
	 *
	 * @param server identifier of a server
	 * @param now monotonic milliseconds
	 * @returns identifiers of servers of the same group
	 */
	public blockedInGroupOf(server: string, now: number): readonly string[] {
		const group = this.queues.queueGroupOf(server);
		return [...this.states]
			.filter(([id, { notices, ownInProgress }]) => {
				return !notices.allowsRequest(now, ownInProgress) && this.queues.queueGroupOf(id) === group;
			})
			.map(([id]) => id);
	}

	/** Identifiers of servers that have said that they leave. */
	public get leaving(): readonly string[] {
		return [...this.states].filter(([, { notices }]) => notices.isLeaving).map(([id]) => id);
	}

	/**
	 * Notes that a server has told this router that it leaves.
	 *
	 * @param server its identifier
	 */
	public recordLeaving(server: string): void {
		if (this.states.get(server)?.notices.markLeaving() === true) {
			this.hearLeavingEmitter.fire(server);
			this.leaveEmitter.fire(server);
		}
	}

	/**
	 * Notes that a server is cold.
	 *
	 * @param server its identifier
	 * @param leftMs milliseconds for which it stays so
	 * @param requestsPerSecond that it bears meanwhile, of all routers
	 * @param now monotonic milliseconds
	 */
	public recordCold(server: string, leftMs: number, requestsPerSecond: number, now: number): void {
		this.states.get(server)?.cold.extend(leftMs, requestsPerSecond, now);
	}

	/**
	 * Notes that a server has told this router that it wants no requests of it.
	 *
	 * @param server its identifier
	 * @param milliseconds for which it wants none
	 * @param now monotonic milliseconds
	 */
	public recordBackoff(server: string, milliseconds: number, now: number): void {
		this.states.get(server)?.notices.rest(milliseconds, now, Math.random());
	}

	/**
	 * Takes over that a server has told a peer that it leaves.
	 *
	 * @param server short key of the server
	 */
	public applyLeaving(server: number): void {
		const id = this.nameByKey.get(server);
		if (id !== undefined && this.states.get(id)?.notices.markLeaving() === true) {
			this.leaveEmitter.fire(id);
		}
	}

	/**
	 * @param server identifier of a server
	 * @returns short keys of the servers of its group to which this router has an idle connection
	 */
	public connectedInGroupOf(server: string): readonly number[] {
		const group = this.queues.queueGroupOf(server);
		const service = this.byService.get(this.byId.get(server)?.server.service ?? '') ?? [];
		return service
			.filter((known) => this.queues.queueGroupOf(known.server.id) === group && this.sender.isConnectedTo(known))
			.map(({ key }) => key);
	}

	/** Failure domain of this router. */
	public get failureDomain(): string {
		return this.sender.failureDomain;
	}

	/** @returns number for a new placement of this router */
	public nextSequence(): number {
		return ++this.sequence;
	}

	/**
	 * Notes that this router sends a request to a server.
	 *
	 * @param option the server, as {@link rankedOptions} gave it
	 * @param work what the request asks
	 * @param now monotonic milliseconds
	 * @param reservation place in the queue of a server that another router keeps
	 * @returns number of the placement
	 */
	public place(option: EngineOption, work: PromptWork, now: number, reservation?: Reservation): number {
		const { id } = option.server;
		const sequence = reservation?.sequence ?? this.nextSequence();
		const workMs = reservation?.workMs ?? option.workMs;
		const state = this.states.get(id);
		state?.addOwn(workMs, reservation?.confirmed === true, now);
		const parts = work.parts.map(({ key }) => key);
		const shared = parts.slice(0, -1);
		if (work.promptTokens > 0) {
			state?.queue.place({ router: this.router, sequence }, now, workMs, reservation?.delayMs ?? option.delayMs);
			this.cache.record(id, parts, now);
		}
		if (reservation?.confirmed !== true && (work.promptTokens > 0 || !this.queues.ownsQueueOf(id))) {
			this.placeEmitter.fire({ server: id, sequence, workMs, parts: shared, at: now });
		}
		return sequence;
	}

	/**
	 * Gives back a place that was reserved and is not needed.
	 *
	 * @param server identifier of the server
	 * @param sequence number of the placement
	 * @param now monotonic milliseconds
	 */
	public abandonReservation(server: string, sequence: number, now: number): void {
		this.firstEventEmitter.fire({ server, sequence, abandoned: true, at: now });
		this.endEmitter.fire({ server, outcome: undefined });
	}

	/**
	 * Notes the first event of a request of this router.
	 *
	 * @param server identifier of the server
	 * @param sequence number of the placement
	 * @param now monotonic milliseconds
	 */
	public recordFirstEvent(server: string, sequence: number, now: number): void {
		this.states
			.get(server)
			?.queue.recordFirstEvent({ router: this.router, sequence }, now, this.queues.ownsQueueOf(server));
		this.firstEventEmitter.fire({ server, sequence, abandoned: false, at: now });
	}

	/**
	 * Notes the end of a request of this router.
	 *
	 * @param server identifier of the server
	 * @param sequence number of the placement
	 * @param end how it ended
	 * @param now monotonic milliseconds
	 */
	public recordEnd(server: string, sequence: number, end: RequestEnd, now: number): void {
		const state = this.states.get(server);
		state?.removeOwn();
		const known = this.byId.get(server);
		if (end.slotTimeMs !== undefined && known !== undefined) {
			const { service } = known.server;
			const meanMs = this.slotTimes.get(service) ?? end.slotTimeMs;
			this.slotTimes.set(service, meanMs + SLOT_TIME_GAIN * (end.slotTimeMs - meanMs));
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
	 * @param server identifier of a server
	 * @returns how its recent requests ended, or undefined for an unknown server
	 */
	public outcomesOf(server: string): ServerOutcomes | undefined {
		return this.states.get(server)?.outcomes;
	}

	/**
	 * @param server short key of a server
	 * @returns its identifier; undefined when it is not known
	 */
	public serverIdOf(server: number): string | undefined {
		return this.nameByKey.get(server);
	}

	/**
	 * @param services names of services
	 * @param now monotonic milliseconds
	 * @returns mean part of the last second in which their usable servers read prompts; undefined when there is none
	 */
	public meanLoad(services: readonly string[], now: number): number | undefined {
		const views = services
			.flatMap((service) => this.byService.get(service) ?? [])
			.flatMap(({ server }) => this.states.get(server.id)?.view(this.queues.ownsQueueOf(server.id), now) ?? [])
			.filter(({ health }) => health.usable);
		return views.length === 0 ? undefined : views.reduce((sum, { load }) => sum + load, 0) / views.length;
	}

	/**
	 * @param service short key of a service
	 * @returns part of its servers whose queues this router keeps
	 */
	public ownedQueueFraction(service: number): number {
		const known = this.knownOf(service);
		return known.filter(({ server }) => this.queues.ownsQueueOf(server.id)).length / Math.max(1, known.length);
	}

	/**
	 * @param server identifier of a server
	 * @returns requests of this router in progress there
	 */
	public ownInProgressAt(server: string): number {
		return this.states.get(server)?.ownInProgress ?? 0;
	}

	/** @returns requests of this router in progress, by server */
	public ownInProgress(): ReadonlyMap<string, number> {
		return new Map([...this.states].map(([id, state]) => [id, state.ownInProgress]));
	}

	/** @returns own prompts that engines have not read, for routers that begin to keep their queues */
	public pendingPlacements(): readonly PlacementNotice[] {
		return [...this.states].flatMap(([server, { queue }]) =>
			queue
				.placementsOf(this.router)
				.map(({ sequence, workMs, sentAt }) => ({ server, sequence, workMs, parts: [], at: sentAt })),
		);
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns state of the servers whose queue this router keeps, by short key
	 */
	public ownedQueueReports(now: number): ReadonlyMap<number, EngineReport> {
		return this.reportsOf(
			[...this.byId.values()].filter(({ server }) => this.queues.ownsQueueOf(server.id)),
			now,
		);
	}

	/**
	 * Takes over what the keeper of a queue tells.
	 *
	 * @param server short key of the server
	 * @param report its state
	 * @param toldAt monotonic milliseconds at which the keeper told it
	 */
	public applyReport(server: number, report: EngineReport, toldAt: number): void {
		this.stateOf(server)?.applyReport(report, toldAt);
	}

	/**
	 * Answers a peer that asks for a place in a queue that this router keeps. The place is taken when it is accepted.
	 *
	 * Load pattern: 70 routers place prompts on the same engines within milliseconds of each other, where reports of an
	 * engine's state would be out of date when they arrive.
	 *
	 * @param router name of the peer
	 * @param request what it asks
	 * @param now monotonic milliseconds
	 * @returns the answer; undefined when this router keeps no queue of the service
	 */
	public reserve(router: string, request: ReservationRequest, now: number): ReservationAnswer | undefined {
		const { work, sequence } = request;
		const excluded = new Set(request.excluded);
		const kept = this.knownOf(request.service).filter(
			({ server, key }) => this.queues.ownsQueueOf(server.id) && !excluded.has(key),
		);
		const connected = new Set(request.connected);
		const isConnectedTo = ({ key }: KnownServer): boolean => connected.has(key);
		const options = this.optionsOf(kept, work, { failureDomain: request.failureDomain, isConnectedTo }, now);
		const [first] = options;
		if (first === undefined) {
			return undefined;
		}
		const accepted = options.find((option) => isAcceptable(option, request));
		if (accepted !== undefined) {
			const parts = work.parts.map(({ key }) => key);
			const server = shortKey(accepted.server.id);
			const { workMs, delayMs } = accepted;
			this.applyPlacement(router, { server, sequence, workMs, parts, delayMs }, now);
		}
		const { waitMs, delayMs, workMs } = accepted ?? first;
		return { server: accepted?.server.id, waitMs, delayMs, workMs, reports: this.reportsOf(kept, now) };
	}

	/**
	 * Takes over a placement of a peer.
	 *
	 * @param router name of the peer
	 * @param notice what it placed; identifiers are short keys
	 * @param now monotonic milliseconds
	 */
	public applyPlacement(
		router: string,
		notice: {
			readonly server: number;
			readonly sequence: number;
			readonly workMs: number;
			readonly parts: readonly number[];
			readonly delayMs?: number;
		},
		now: number,
	): void {
		const id = this.nameByKey.get(notice.server);
		const state = this.stateOf(notice.server);
		if (id === undefined || state === undefined) {
			return;
		}
		if (notice.workMs > 0) {
			state.queue.place({ router, sequence: notice.sequence }, now, notice.workMs, notice.delayMs);
		}
		// The next report of the peer counts the requests that have ended since.
		state.addPeer(router, now);
		this.cache.record(id, notice.parts, now);
	}

	/**
	 * Takes over the end of a peer's prompt.
	 *
	 * @param router name of the peer
	 * @param notice which prompt; identifiers are short keys
	 * @param now monotonic milliseconds
	 */
	public applyFirstEvent(
		router: string,
		notice: { readonly server: number; readonly sequence: number; readonly abandoned: boolean },
		now: number,
	): void {
		const queue = this.stateOf(notice.server)?.queue;
		const id = { router, sequence: notice.sequence };
		if (notice.abandoned) {
			queue?.remove(id, now);
		} else {
			queue?.recordFirstEvent(id, now);
		}
	}

	/**
	 * Takes over how a request of a peer ended.
	 *
	 * @param server short key of the server
	 * @param outcome what the end says of the server
	 * @param now monotonic milliseconds
	 */
	public applyOutcome(server: number, outcome: ServerOutcome, now: number): void {
		this.stateOf(server)?.outcomes.record(outcome, now);
	}

	/**
	 * Takes over how many requests a peer has in progress.
	 *
	 * @param router name of the peer
	 * @param streams requests by short key of the server
	 * @param isComplete whether the peer has no requests at servers that are not named
	 */
	public applyInProgress(router: string, streams: ReadonlyMap<number, number>, isComplete = true): void {
		if (isComplete) {
			for (const [id, state] of this.states) {
				state.setPeer(router, streams.get(shortKey(id)) ?? 0);
			}
			return;
		}
		for (const [server, requests] of streams) {
			this.stateOf(server)?.setPeer(router, requests);
		}
	}

	/**
	 * Forgets the work of a peer that has ended or cannot be heard.
	 *
	 * @param router name of the peer
	 * @param now monotonic milliseconds
	 */
	public removeRouter(router: string, now: number): void {
		for (const state of this.states.values()) {
			state.removePeer(router, now);
		}
	}

	private knownOf(service: number): readonly KnownServer[] {
		return [...this.byService].find(([name]) => shortKey(name) === service)?.[1] ?? [];
	}

	private reportsOf(known: readonly KnownServer[], now: number): ReadonlyMap<number, EngineReport> {
		const reports = new Map<number, EngineReport>();
		for (const { server, key } of known) {
			const state = this.states.get(server.id);
			if (state !== undefined) {
				reports.set(key, state.reportOf(now));
			}
		}
		return reports;
	}

	private stateOf(server: number): EngineState | undefined {
		return this.states.get(this.nameByKey.get(server) ?? '');
	}

	private optionsOf(
		known: readonly KnownServer[],
		work: PromptWork,
		sender: Sender,
		now: number,
	): readonly EngineOption[] {
		const shared = work.parts.slice(0, -1);
		const sharedTokens = shared.reduce((sum, { tokens }) => sum + tokens, 0);
		const ranks = this.ranksOf(known, shared.at(-1) ?? work.parts.at(-1));
		const held = known.map(({ server }, index) => {
			// Where others place prompts unheard, all routers presume the same of a document.
			const presumed = this.queues.ownsQueueOf(server.id) ? 0 : (PRESUMED_PARTS[ranks[index] ?? 0] ?? 0) * sharedTokens;
			return Math.max(presumed, this.cache.heldTokens(server.id, work.parts, now));
		});
		const mostHeldTokens = Math.max(0, ...held);
		return known
			.map((item, index) => {
				const holding = { heldTokens: held[index] ?? 0, mostHeldTokens, rank: ranks[index] ?? 0 };
				return this.optionAt(item, work, holding, sender, now);
			})
			.sort((one, other) => one.cost - other.cost);
	}

	// All routers agree on the order of groups for a document without talking to each other.
	private ranksOf(known: readonly KnownServer[], part: PromptPart | undefined): readonly number[] {
		if (part === undefined) {
			return known.map(() => Infinity);
		}
		const groups = known.map(({ server }) => this.queues.queueGroupOf(server.id));
		const descending = [...new Set(groups)].sort(
			(one, other) => rendezvousWeight(part.key, other) - rendezvousWeight(part.key, one),
		);
		const rankByGroup = new Map(descending.map((group, rank) => [group, rank]));
		return groups.map((group) => rankByGroup.get(group) ?? Infinity);
	}

	private optionAt(known: KnownServer, work: PromptWork, holding: Holding, sender: Sender, now: number): EngineOption {
		const { server } = known;
		const state = this.states.get(server.id) ?? EngineState.create(server);
		const firstSlotTimeMs = work.promptTokens > 0 ? FIRST_STREAM_SLOT_TIME_MS : FIRST_PLAIN_SLOT_TIME_MS;
		const workMs = work.promptTokens > 0 ? prefillMs(work.promptTokens, holding.heldTokens) : 0;
		const demand = { workMs, longestBurstMs: longestBurstMs(work.tokensPerEvent, work.pauseAimMs) };
		return optionOf(work, {
			server,
			workMs,
			view: state.view(this.queues.ownsQueueOf(server.id), now, demand),
			...holding,
			isNear: server.failureDomain === sender.failureDomain,
			isConnected: sender.isConnectedTo(known),
			slotTimeMs: this.slotTimes.get(server.service) ?? firstSlotTimeMs,
		});
	}

	private withNotices(option: EngineOption, now: number): EngineOption {
		const state = this.states.get(option.server.id);
		if (state === undefined || state.notices.allowsRequest(now, state.ownInProgress)) {
			return option;
		}
		const unusableMs = Math.max(option.health.unusableMs, state.notices.closedMs(now));
		return { ...option, health: { ...option.health, usable: false, unusableMs } };
	}

	private forgetUnregistered(now: number): void {
		for (const id of this.states.keys()) {
			if (this.byId.has(id)) {
				continue;
			}
			const at = this.forgetAt.get(id);
			if (at === undefined) {
				this.forgetAt.set(id, now + UNREGISTERED_KEPT_MS);
			} else if (now >= at) {
				this.states.delete(id);
				this.forgetAt.delete(id);
				this.cache.forgetEngine(id);
			}
		}
	}
}
