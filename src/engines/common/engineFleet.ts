import { Emitter, type Event } from '../../base/common/event.js';
import { rendezvous, shortKey } from '../../base/common/shortKey.js';
import type { RegisteredServer } from './directory.js';
import { EngineQueue } from './engineQueue.js';
import { type EngineHealth, ServerOutcomes } from './serverOutcomes.js';
import { PromptCache, type PromptPart } from './promptCache.js';
import { readingTimeMs, streamPauseMs } from './readingTime.js';

/** What a request asks of an engine. */
export interface PromptWork {
	readonly parts: readonly PromptPart[];
	/** Tokens of the whole prompt. */
	readonly promptTokens: number;
	/** Generated tokens in one event of a stream. */
	readonly tokensPerEvent: number;
	/** Longest pause in milliseconds between events of streams that are on time. */
	readonly pauseAimMs: number;
}

/** One engine that could take a request. */
export interface EngineOption {
	readonly server: RegisteredServer;
	/** Predicted milliseconds until the engine begins to read the prompt. */
	readonly waitMs: number;
	/** Predicted milliseconds to read what the engine does not hold. */
	readonly readMs: number;
	/** Nominal milliseconds to read what the engine does not hold, on an engine of pace 1. */
	readonly workMs: number;
	/** Tokens of shared parts that some engine holds and this one would read again. */
	readonly rereadTokens: number;
	/** Requests in progress at the engine, of all routers, as last heard. */
	readonly inProgress: number;
	/** Part of the last second in which the engine read prompts, from 0 to 1. */
	readonly load: number;
	/** Order of preference; lower is better. */
	readonly cost: number;
	/** Trust in the engine after its recent failures. */
	readonly health: EngineHealth;
}

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

/** What is known of one backend server. */
interface ServerState {
	readonly queue: EngineQueue;
	readonly outcomes: ServerOutcomes;
	/** Requests of this router in progress. */
	ownInProgress: number;
	/** Requests in progress by router. */
	readonly peersInProgress: Map<string, number>;
	startedAt: number | undefined;
}

/** Weight of reading a shared part again, on top of the time it takes: the platform charges for it. */
const REREAD_WEIGHT = 3;

/** Preference for the engine that all routers choose for a prompt that no engine is known to hold. */
const HOME_BONUS_MS = 8;

/** Preference for an engine in the own failure domain, for the round trip and the price of its bytes. */
const SAME_DOMAIN_BONUS_MS = 3;

/** Slows the streams of an engine as its batch fills; the cost of a whole batch in the order of preference. */
const FULL_BATCH_COST_MS = 120;

/** A prompt that pauses streams for this part of their aim makes them late together with what else is read. */
const HARMFUL_PAUSE_OF_AIM = 0.85;

/** Cost of a harmful pause for each request in progress: most of its worth, in the order of preference. */
const HARMFUL_PAUSE_COST_MS = 100;

/** Weight of one stream in the mean time for which a stream holds its slot. */
const SLOT_TIME_GAIN = 0.05;

/** Time for which a stream holds its slot before any was observed. */
const FIRST_SLOT_TIME_MS = 2_000;

/** The state of a server that is not registered is kept this long, because its entry may come back. */
const UNREGISTERED_KEPT_MS = 10_000;

/**
 * Knows how much work is ahead of a new request at each backend server, and which prompt parts each holds.
 *
 * Load pattern: requests whose prompts differ by 100 to 1 share a few hundred long documents, through many routers. The
 * longest prompts pause all streams of their engine, so they gather where few streams run. Engines with small batches
 * have no slot free while their streams run.
 */
export class EngineFleet {
	private readonly states = new Map<string, ServerState>();
	private readonly forgetAt = new Map<string, number>();
	private readonly cache = PromptCache.create();
	private readonly placeEmitter = Emitter.create<PlacementNotice>();
	private readonly firstEventEmitter = Emitter.create<FirstEventNotice>();
	private servers: readonly RegisteredServer[] = [];
	private byService = new Map<string, RegisteredServer[]>();
	private nameByKey = new Map<number, string>();
	private sequence = 0;
	private slotTimeMs = FIRST_SLOT_TIME_MS;

	public readonly onDidPlace: Event<PlacementNotice> = this.placeEmitter.event;
	public readonly onDidReachFirstEvent: Event<FirstEventNotice> = this.firstEventEmitter.event;

	private constructor(
		private readonly router: string,
		private readonly failureDomain: string,
	) {}

	/**
	 * @param router name of this router
	 * @param failureDomain where it runs
	 * @returns a fleet without servers
	 */
	public static create(router: string, failureDomain: string): EngineFleet {
		return new EngineFleet(router, failureDomain);
	}

	/**
	 * Sets the servers that may get requests.
	 *
	 * @param servers registered and not leaving
	 * @param now monotonic milliseconds
	 */
	public setServers(servers: readonly RegisteredServer[], now: number): void {
		this.servers = servers;
		this.byService = new Map();
		for (const server of servers) {
			const others = this.byService.get(server.service);
			if (others === undefined) {
				this.byService.set(server.service, [server]);
			} else {
				others.push(server);
			}
			const state = this.states.get(server.id);
			if (state !== undefined && state.startedAt !== server.startedAt) {
				this.states.delete(server.id);
				this.cache.forgetEngine(server.id);
			}
			if (!this.states.has(server.id)) {
				this.states.set(server.id, createState(server));
			}
			this.forgetAt.delete(server.id);
		}
		this.forgetUnregistered(now);
		this.nameByKey = new Map([...this.states.keys()].map((id) => [shortKey(id), id]));
	}

	/**
	 * @param service name of the service
	 * @returns servers that may get its requests
	 */
	public serversOf(service: string): readonly RegisteredServer[] {
		return this.byService.get(service) ?? [];
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
		const servers = this.serversOf(service).filter(({ id }) => !excluded.has(id));
		const shared = work.parts.slice(0, -1);
		const deepest = shared.at(-1)?.key;
		const home =
			deepest === undefined
				? undefined
				: rendezvous(
						String(deepest),
						servers.map(({ id }) => id),
					);
		const held = servers.map(({ id }) => this.cache.heldTokens(id, work.parts, now));
		const mostHeld = Math.max(0, ...held);
		return servers
			.map((server, index) => this.optionOf(server, work, held[index] ?? 0, mostHeld, home, now))
			.sort((one, other) => one.cost - other.cost);
	}

	/**
	 * Notes that this router sends a request to a server.
	 *
	 * @param option the server, as {@link options} gave it
	 * @param work what the prompt asks; undefined for a plain request
	 * @param now monotonic milliseconds
	 * @returns number of the placement
	 */
	public place(option: EngineOption, work: PromptWork | undefined, now: number): number {
		const sequence = ++this.sequence;
		const state = this.states.get(option.server.id);
		if (state !== undefined) {
			state.ownInProgress++;
		}
		if (work !== undefined && work.promptTokens > 0) {
			const parts = work.parts.map(({ key }) => key);
			state?.queue.place({ router: this.router, sequence }, now, option.workMs);
			this.cache.record(option.server.id, parts, now);
			this.placeEmitter.fire({
				server: option.server.id,
				sequence,
				workMs: option.workMs,
				parts: parts.slice(0, -1),
				at: now,
			});
		}
		return sequence;
	}

	/**
	 * Notes the first event of a request of this router.
	 *
	 * @param server identifier of the server
	 * @param sequence number of the placement
	 * @param now monotonic milliseconds
	 */
	public recordFirstEvent(server: string, sequence: number, now: number): void {
		this.states.get(server)?.queue.recordFirstEvent({ router: this.router, sequence }, now);
		this.firstEventEmitter.fire({ server, sequence, abandoned: false, at: now });
	}

	/**
	 * Notes the end of a request of this router.
	 *
	 * @param server identifier of the server
	 * @param sequence number of the placement
	 * @param hadFirstEvent whether {@link recordFirstEvent} was called
	 * @param now monotonic milliseconds
	 * @param slotTimeMs time for which the request held a slot; undefined when it did not end by itself
	 */
	public recordEnd(server: string, sequence: number, hadFirstEvent: boolean, now: number, slotTimeMs?: number): void {
		const state = this.states.get(server);
		if (state !== undefined) {
			state.ownInProgress = Math.max(0, state.ownInProgress - 1);
		}
		if (slotTimeMs !== undefined) {
			this.slotTimeMs += SLOT_TIME_GAIN * (slotTimeMs - this.slotTimeMs);
		}
		if (!hadFirstEvent) {
			state?.queue.remove({ router: this.router, sequence }, now);
			this.firstEventEmitter.fire({ server, sequence, abandoned: true, at: now });
		}
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
		const server = this.nameByKey.get(notice.server);
		if (server === undefined) {
			return;
		}
		const state = this.states.get(server);
		state?.queue.place({ router, sequence: notice.sequence }, now, notice.workMs);
		// The next report of the peer counts the requests that have ended since.
		state?.peersInProgress.set(router, (state.peersInProgress.get(router) ?? 0) + 1);
		this.cache.record(server, notice.parts, now);
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
		const queue = this.states.get(this.nameByKey.get(notice.server) ?? '')?.queue;
		const id = { router, sequence: notice.sequence };
		if (notice.abandoned) {
			queue?.remove(id, now);
		} else {
			queue?.recordFirstEvent(id, now);
		}
	}

	/**
	 * Takes over how many requests a peer has in progress.
	 *
	 * @param router name of the peer
	 * @param streams requests by short key of the server
	 */
	public applyInProgress(router: string, streams: ReadonlyMap<number, number>): void {
		for (const [id, state] of this.states) {
			state.peersInProgress.set(router, streams.get(shortKey(id)) ?? 0);
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
			state.queue.removeRouter(router, now);
			state.peersInProgress.delete(router);
		}
	}

	private optionOf(
		server: RegisteredServer,
		work: PromptWork,
		heldTokens: number,
		mostHeld: number,
		home: string | undefined,
		now: number,
	): EngineOption {
		const state = this.states.get(server.id) ?? createState(server);
		const inProgress = state.ownInProgress + sum(state.peersInProgress.values());
		const workMs = work.promptTokens > 0 ? readingTimeMs(work.promptTokens, heldTokens) : 0;
		const rereadTokens = Math.max(0, mostHeld - heldTokens);
		const waitMs = state.queue.waitMs(now) + this.slotWaitMs(server, work, inProgress);
		const readMs = workMs * state.queue.pace;
		const health = state.outcomes.health(now);
		const pauses =
			streamPauseMs(work.promptTokens, heldTokens, work.tokensPerEvent) * state.queue.pace >
			HARMFUL_PAUSE_OF_AIM * work.pauseAimMs;
		const cost =
			waitMs +
			readMs +
			REREAD_WEIGHT * readingTimeMs(rereadTokens, 0) * Math.min(1, rereadTokens) +
			(FULL_BATCH_COST_MS * inProgress) / server.slots +
			(pauses ? HARMFUL_PAUSE_COST_MS * inProgress : 0) +
			health.penaltyMs -
			(server.id === home && mostHeld === 0 ? HOME_BONUS_MS : 0) -
			(server.failureDomain === this.failureDomain ? SAME_DOMAIN_BONUS_MS : 0);
		return { server, waitMs, readMs, workMs, rereadTokens, inProgress, load: state.queue.load(now), cost, health };
	}

	// Engines of a small batch have no slot free long before their prompts are read.
	private slotWaitMs(server: RegisteredServer, work: PromptWork, inProgress: number): number {
		const excess = inProgress + 1 - server.slots;
		return work.promptTokens > 0 && excess > 0 ? (excess * this.slotTimeMs) / server.slots : 0;
	}

	private forgetUnregistered(now: number): void {
		const registered = new Set(this.servers.map(({ id }) => id));
		for (const id of this.states.keys()) {
			if (registered.has(id)) {
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

function createState(server: RegisteredServer): ServerState {
	return {
		queue: EngineQueue.create(),
		outcomes: ServerOutcomes.create(),
		ownInProgress: 0,
		peersInProgress: new Map(),
		startedAt: server.startedAt,
	};
}

function sum(values: Iterable<number>): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}
	return total;
}
