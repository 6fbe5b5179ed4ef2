import { Emitter, type Event } from '../../base/common/event.js';
import { rendezvousWeight, shortKey } from '../../base/common/shortKey.js';
import type { RegisteredServer } from './directory.js';
import { type EngineOption, optionOf, type PromptWork } from './engineChoice.js';
import { type EngineReport, EngineState } from './engineState.js';
import { PromptCache, type PromptPart } from './promptCache.js';
import type { ServerOutcome, ServerOutcomes } from './serverOutcomes.js';

/** A placement by this router, for its peers. */
export interface PlacementNotice {
	readonly server: string;
	readonly sequence: number;
	readonly workMs: number;
	/** Keys of the parts that other prompts may share. */
	readonly parts: readonly number[];
	readonly at: number;
}

/** The end of a prompt placed by this router, for its peers. */
export interface FirstEventNotice {
	readonly server: string;
	readonly sequence: number;
	readonly abandoned: boolean;
	readonly at: number;
}

/** The end of a request of this router, for the router that keeps the server's queue. */
export interface EndNotice {
	readonly server: string;
	readonly outcome: ServerOutcome | undefined;
}

/** How a request of this router ended. */
export interface RequestEnd {
	/** Whether {@link EngineFleet.recordFirstEvent} was called, or the request has no prompt. */
	readonly hadFirstEvent: boolean;
	/** Milliseconds for which the request held a slot; undefined when it did not end by itself. */
	readonly slotTimeMs: number | undefined;
	/** What the end says of the server; undefined when it says nothing. */
	readonly outcome: ServerOutcome | undefined;
}

/** Asks the router that keeps a server's queue for a place in it. */
export interface ReservationRequest {
	/** Short key of the server's identifier. */
	readonly server: number;
	/** Number that the asking router gives the placement. */
	readonly sequence: number;
	readonly work: PromptWork;
	/** Longest wait in milliseconds that is accepted. */
	readonly limitMs: number;
	/** Highest load that is accepted, from 0 to 1. */
	readonly maximumLoad: number;
}

/** What the keeper of a queue answers. */
export interface ReservationAnswer {
	readonly accepted: boolean;
	/** Predicted milliseconds until the server begins the request. */
	readonly waitMs: number;
	/** Nominal milliseconds to read what the server does not hold. */
	readonly workMs: number;
	/** State of the server, with the placement when it was accepted. */
	readonly report: EngineReport;
}

/** A place in the queue of a server that another router keeps. */
export interface Reservation {
	readonly sequence: number;
	/** False when the keeper did not answer in time. */
	readonly confirmed: boolean;
	/** Predicted milliseconds until the server begins the request. */
	readonly waitMs: number;
	/** Nominal milliseconds to read the prompt. */
	readonly workMs: number;
}

interface KnownServer {
	readonly server: RegisteredServer;
	readonly key: number;
}

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
	private readonly cache = PromptCache.create();
	private readonly placeEmitter = Emitter.create<PlacementNotice>();
	private readonly firstEventEmitter = Emitter.create<FirstEventNotice>();
	private readonly endEmitter = Emitter.create<EndNotice>();
	private byId = new Map<string, KnownServer>();
	private byService = new Map<string, KnownServer[]>();
	private nameByKey = new Map<number, string>();
	private sequence = 0;

	/** Fires for placements that no other router knows of. */
	public readonly onDidPlace: Event<PlacementNotice> = this.placeEmitter.event;
	public readonly onDidReachFirstEvent: Event<FirstEventNotice> = this.firstEventEmitter.event;
	public readonly onDidEnd: Event<EndNotice> = this.endEmitter.event;

	private constructor(
		private readonly router: string,
		private readonly failureDomain: string,
		private readonly keeps: (server: string) => boolean,
	) {}

	/**
	 * @param router name of this router
	 * @param failureDomain where it runs
	 * @param keeps whether this router keeps the queue of a server, and so hears of all its placements
	 * @returns a fleet without servers
	 */
	public static create(
		router: string,
		failureDomain: string,
		keeps: (server: string) => boolean = () => true,
	): EngineFleet {
		return new EngineFleet(router, failureDomain, keeps);
	}

	/**
	 * Sets the servers that may get requests.
	 *
	 * @param servers registered and not leaving
	 * @param now monotonic milliseconds
	 */
	public setServers(servers: readonly RegisteredServer[], now: number): void {
		const known = servers.map((server) => ({ server, key: shortKey(server.id) }));
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
			if (state !== undefined && state.startedAt !== server.startedAt) {
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
	public options(
		service: string,
		work: PromptWork,
		excluded: ReadonlySet<string>,
		now: number,
	): readonly EngineOption[] {
		const known = (this.byService.get(service) ?? []).filter(({ server }) => !excluded.has(server.id));
		const shared = work.parts.slice(0, -1);
		const ranks = rankByHash(known, shared.at(-1) ?? work.parts.at(-1));
		const held = known.map(({ server }, index) => this.heldTokens(server.id, work.parts, shared, ranks[index], now));
		const mostHeldTokens = Math.max(0, ...held);
		return known
			.map(({ server }, index) =>
				this.optionAt(server, work, { heldTokens: held[index] ?? 0, mostHeldTokens, rank: ranks[index] ?? 0 }, now),
			)
			.sort((one, other) => one.cost - other.cost);
	}

	/** @returns number for a new placement of this router */
	public nextSequence(): number {
		return ++this.sequence;
	}

	/**
	 * Notes that this router sends a request to a server.
	 *
	 * @param option the server, as {@link options} gave it
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
			state?.queue.place({ router: this.router, sequence }, now, workMs);
			this.cache.record(id, parts, now);
		}
		if (reservation?.confirmed !== true && (work.promptTokens > 0 || !this.keeps(id))) {
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
		this.states.get(server)?.queue.recordFirstEvent({ router: this.router, sequence }, now, this.keeps(server));
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

	/** @returns requests of this router in progress, by server */
	public ownInProgress(): ReadonlyMap<string, number> {
		return new Map([...this.states].map(([id, state]) => [id, state.ownInProgress]));
	}

	/**
	 * @param server identifier of a server
	 * @returns own prompts that it has not read, for a router that begins to keep its queue
	 */
	public unreadPlacements(server: string): readonly Omit<PlacementNotice, 'server' | 'parts'>[] {
		const placements = this.states.get(server)?.queue.placementsOf(this.router) ?? [];
		return placements.map(({ sequence, workMs, placedAt }) => ({ sequence, workMs, at: placedAt }));
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns state of the servers whose queue this router keeps, by identifier
	 */
	public keptReports(now: number): ReadonlyMap<string, EngineReport> {
		const kept = [...this.byId.keys()].filter((id) => this.keeps(id));
		return new Map(kept.flatMap((id) => [[id, this.states.get(id)?.reportOf(now)] as const]).filter(hasReport));
	}

	/**
	 * Takes over what the keeper of a queue tells.
	 *
	 * @param server short key of the server
	 * @param report its state
	 * @param now monotonic milliseconds
	 */
	public applyReport(server: number, report: EngineReport, now: number): void {
		this.stateOf(server)?.applyReport(report, now);
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
	 * @returns the answer; undefined for a server that this router does not know
	 */
	public reserve(router: string, request: ReservationRequest, now: number): ReservationAnswer | undefined {
		const { work, sequence, limitMs, maximumLoad } = request;
		const id = this.nameByKey.get(request.server);
		const known = id === undefined ? undefined : this.byId.get(id);
		const state = id === undefined ? undefined : this.states.get(id);
		if (id === undefined || known === undefined || state === undefined) {
			return undefined;
		}
		const heldTokens = this.cache.heldTokens(id, work.parts, now);
		const option = this.optionAt(known.server, work, { heldTokens, mostHeldTokens: heldTokens, rank: 0 }, now);
		const accepted = option.health.usable && option.waitMs <= limitMs && option.load <= maximumLoad;
		if (accepted) {
			const parts = work.parts.map(({ key }) => key);
			this.applyPlacement(router, { server: request.server, sequence, workMs: option.workMs, parts }, now);
		}
		return { accepted, waitMs: option.waitMs, workMs: option.workMs, report: state.reportOf(now) };
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
		},
		now: number,
	): void {
		const id = this.nameByKey.get(notice.server);
		const state = this.stateOf(notice.server);
		if (id === undefined || state === undefined) {
			return;
		}
		if (notice.workMs > 0) {
			state.queue.place({ router, sequence: notice.sequence }, now, notice.workMs);
		}
		// The next report of the peer counts the requests that have ended since.
		state.addPeer(router);
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

	private stateOf(server: number): EngineState | undefined {
		return this.states.get(this.nameByKey.get(server) ?? '');
	}

	// Where others place prompts unheard, all routers presume that the home of a document has read it.
	private heldTokens(
		server: string,
		parts: readonly PromptPart[],
		shared: readonly PromptPart[],
		rank: number | undefined,
		now: number,
	): number {
		const held = this.cache.heldTokens(server, parts, now);
		const presumed = rank === 0 && !this.keeps(server) ? shared.reduce((sum, { tokens }) => sum + tokens, 0) : 0;
		return Math.max(held, presumed);
	}

	private optionAt(
		server: RegisteredServer,
		work: PromptWork,
		holding: { readonly heldTokens: number; readonly mostHeldTokens: number; readonly rank: number },
		now: number,
	): EngineOption {
		const state = this.states.get(server.id) ?? EngineState.create(server);
		const firstSlotTimeMs = work.promptTokens > 0 ? FIRST_STREAM_SLOT_TIME_MS : FIRST_PLAIN_SLOT_TIME_MS;
		return optionOf(work, {
			server,
			view: state.view(this.keeps(server.id), now),
			...holding,
			isNear: server.failureDomain === this.failureDomain,
			slotTimeMs: this.slotTimes.get(server.service) ?? firstSlotTimeMs,
		});
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

// All routers agree on the order for a document without talking to each other.
function rankByHash(known: readonly KnownServer[], part: PromptPart | undefined): readonly number[] {
	if (part === undefined) {
		return known.map(() => 1);
	}
	const weights = known.map(({ key }) => rendezvousWeight(part.key, key));
	const descending = weights.map((_, index) => index).sort((one, other) => (weights[other] ?? 0) - (weights[one] ?? 0));
	const ranks = new Array<number>(known.length);
	descending.forEach((index, rank) => (ranks[index] = rank));
	return ranks;
}

function hasReport(entry: readonly [string, EngineReport | undefined]): entry is [string, EngineReport] {
	return entry[1] !== undefined;
}
