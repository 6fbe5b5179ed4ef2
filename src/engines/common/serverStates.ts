import { Emitter, type Event } from '../../base/common/event.js';
import { shortKey } from '../../base/common/shortKey.js';
import type { RegisteredServer } from './directory.js';
import { EngineState } from './engineState.js';
import { PlainSlotTimes } from './plainSlotTimes.js';
import { PrefixCacheIndex } from './prefixCacheIndex.js';
import type { RequestLimitReport } from './requestLimit.js';
import type { ServerLoad, ServerLoadReport } from './serverLoad.js';
import type { LeavingNotice } from './serverNotices.js';
import type { ServerOutcomes } from './serverOutcomes.js';

/** A server that may receive requests. */
export interface KnownServer {
	readonly server: RegisteredServer;
	/** Short key of its identifier. */
	readonly key: number;
	/** Current state of this incarnation of the server. */
	readonly state: EngineState;
}

/** The state of an unregistered server is retained this long because its entry may reappear. */
const UNREGISTERED_RETENTION_MS = 10_000;

/**
 * Keeps the state of each registered server, and applies what the servers report with their responses, to this router
 * or to a peer: that they are leaving, cold or limited, and their load.
 */
export abstract class ServerStates {
	protected readonly states = new Map<string, EngineState>();
	protected readonly prefixCache = PrefixCacheIndex.create();
	protected readonly plainSlotTimes = PlainSlotTimes.create();
	protected byId = new Map<string, KnownServer>();
	protected byService = new Map<string, KnownServer[]>();
	protected idByKey = new Map<number, string>();
	private readonly discardAt = new Map<string, number>();
	/** Services of which a server has reported how long work takes on its machine. */
	private readonly speedReporting = new Set<string>();
	/** Services whose streams must be fast. */
	private fastServices: ReadonlySet<string> = new Set();
	/** Tokens that fit into the memory of an engine by the configuration, by service. */
	private engineMemory: ReadonlyMap<string, number> = new Map();
	private readonly leavingEmitter = Emitter.create<string>();
	private readonly leavingNoticeEmitter = Emitter.create<LeavingNotice>();
	private readonly requestLimitEmitter = Emitter.create<RequestLimitReport>();
	private readonly loadEmitter = Emitter.create<ServerLoadReport>();

	/** Fires with the identifier of a server when its response or a peer first indicates that it is leaving. */
	public readonly onDidDetectLeaving: Event<string> = this.leavingEmitter.event;
	/** Fires when a response to this router first indicates that its server is leaving. */
	public readonly onDidReceiveLeavingNotice: Event<LeavingNotice> = this.leavingNoticeEmitter.event;
	/** Fires when responses to this router name a limit or end it, and at intervals while they name one. */
	public readonly onDidReceiveRequestLimit: Event<RequestLimitReport> = this.requestLimitEmitter.event;
	/** Fires at intervals while responses to this router report the load of servers whose service reports its speed. */
	public readonly onDidReceiveLoad: Event<ServerLoadReport> = this.loadEmitter.event;

	/** @param heardFraction returns the fraction of the routers whose placements this router learns of, from 0 to 1 */
	protected constructor(protected readonly heardFraction: () => number) {}

	/**
	 * Replaces the servers that may receive requests. A server with a new incarnation starts with empty state.
	 *
	 * @param servers registered servers that are not leaving
	 * @param now monotonic milliseconds
	 */
	public setServers(servers: readonly RegisteredServer[], now: number): void {
		const before = this.byId;
		this.byId = new Map();
		this.byService = new Map();
		for (const server of servers) {
			let state = this.states.get(server.id);
			// A server without a start time counts as a new incarnation when it reappears.
			const reappearsWithoutStartTime = server.startedAt === undefined && !before.has(server.id);
			if (state !== undefined && (reappearsWithoutStartTime || state.startedAt !== server.startedAt)) {
				this.states.delete(server.id);
				state = undefined;
				this.prefixCache.discardEngine(server.id);
			}
			if (state === undefined) {
				state = EngineState.create(server, this.heardFraction);
				if (this.measuresSpeed(server.service)) {
					state.queue.measureLatency();
				}
				this.states.set(server.id, state);
			}
			const known = { server, key: shortKey(server.id), state };
			this.byId.set(server.id, known);
			const others = this.byService.get(server.service);
			if (others === undefined) {
				this.byService.set(server.service, [known]);
			} else {
				others.push(known);
			}
			this.discardAt.delete(server.id);
		}
		this.discardUnregistered(now);
		this.idByKey = new Map([...this.states.keys()].map((id) => [shortKey(id), id]));
	}

	/** @param memoryTokens tokens that fit into the memory of each engine, by service; 0 when not known */
	public setEngineMemory(memoryTokens: ReadonlyMap<string, number>): void {
		this.engineMemory = new Map([...memoryTokens].filter(([, tokens]) => tokens > 0));
	}

	/** Names of the services that have servers. */
	public get services(): readonly string[] {
		return [...this.byService.keys()];
	}

	/**
	 * @param service name of a service
	 * @returns its servers that may receive requests
	 */
	public listServers(service: string): readonly RegisteredServer[] {
		return (this.byService.get(service) ?? []).map(({ server }) => server);
	}

	/** Servers that have announced that they are leaving. */
	public get leaving(): readonly LeavingNotice[] {
		return [...this.states]
			.filter(([, { notices }]) => notices.isLeaving)
			.map(([server, { startedAt }]) => ({ server, startedAt }));
	}

	/**
	 * Records that a server has announced to this router that it is leaving.
	 *
	 * @param server identifier of the server
	 * @param startedAt Unix milliseconds at which the incarnation that announced it started; undefined when not known
	 */
	public recordLeaving(server: string, startedAt?: number): void {
		const state = this.states.get(server);
		if (state !== undefined && isSameIncarnation(state, startedAt) && state.notices.markLeaving()) {
			this.leavingNoticeEmitter.fire({ server, startedAt: state.startedAt });
			this.leavingEmitter.fire(server);
		}
	}

	/**
	 * Records that a server is cold.
	 *
	 * @param server identifier of the server
	 * @param remainingMs remaining milliseconds of the cold period
	 * @param requestsPerSecond total request rate from all routers that it can handle while it is cold
	 * @param now monotonic milliseconds
	 */
	public recordCold(server: string, remainingMs: number, requestsPerSecond: number, now: number): void {
		this.states.get(server)?.cold.extend(remainingMs, requestsPerSecond, now);
	}

	/**
	 * Records the limit that a response of a server names for the requests of all routers, or that it names none.
	 *
	 * @param report the server and its limit
	 * @param sentAt monotonic milliseconds at which the request was sent
	 * @param now monotonic milliseconds
	 * @returns whether the limit has changed
	 */
	public recordRequestLimit(report: RequestLimitReport, sentAt: number, now: number): boolean {
		const { server, startedAt, requestsPerSecond } = report;
		const state = this.states.get(server);
		if (state === undefined || !isSameIncarnation(state, startedAt)) {
			return false;
		}
		const hasChanged = state.applyLimit(requestsPerSecond, sentAt, now);
		// A response without a limit may be older than the last one that named it.
		if (hasChanged || (requestsPerSecond !== undefined && state.limit.isReportDue(now))) {
			state.limit.recordReport(now);
			this.requestLimitEmitter.fire({ server, startedAt: state.startedAt, requestsPerSecond });
		}
		return hasChanged;
	}

	/**
	 * Applies the limit of a server that a peer has learned of.
	 *
	 * @param server short key of the server
	 * @param report limit and incarnation of the server
	 * @param now monotonic milliseconds
	 */
	public applyRequestLimit(server: number, report: Omit<RequestLimitReport, 'server'>, now: number): void {
		const state = this.stateByKey(server);
		if (state !== undefined && isSameIncarnation(state, report.startedAt)) {
			state.applyLimit(report.requestsPerSecond, now, now);
		}
	}

	/** Servers that name a limit for the requests of all routers. */
	public get requestLimits(): readonly RequestLimitReport[] {
		return [...this.states]
			.map(([server, { startedAt, limit }]) => ({ server, startedAt, requestsPerSecond: limit.requestsPerSecond }))
			.filter(({ requestsPerSecond }) => requestsPerSecond !== undefined);
	}

	/**
	 * @param server identifier of a server
	 * @returns whether the server names a limit for the requests of all routers
	 */
	public isRequestLimited(server: string): boolean {
		return this.states.get(server)?.limit.requestsPerSecond !== undefined;
	}

	/**
	 * @param service name of a service
	 * @returns whether one of its servers has reported to this router or to a peer how long work takes on its machine
	 */
	public reportsSpeed(service: string): boolean {
		return this.speedReporting.has(service);
	}

	/** Services of which a server has reported how long work takes on its machine. */
	public get speedReportingServices(): readonly string[] {
		return [...this.speedReporting];
	}

	/**
	 * @param service name of a service
	 * @returns whether its engines are placed by their measured speed, memory and failure domain: their streams must be fast,
	 * or one of them has reported how long work takes on its machine
	 */
	public measuresSpeed(service: string): boolean {
		return this.fastServices.has(service) || this.reportsSpeed(service);
	}

	/** @param services names of the services whose streams must be fast, by the configuration in force */
	public setFastServices(services: ReadonlySet<string>): void {
		this.fastServices = services;
		services.forEach((service) => this.startMeasuring(service));
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns average work times of the servers that have recently reported how long work takes on their machines
	 */
	public reportedWorkTimes(now: number): readonly number[] {
		return [...this.states.values()].flatMap(({ load }) => load.workTime(now) ?? []);
	}

	/**
	 * Records the load that a response to this router reports. It has no effect until a server of the service reports how
	 * long work takes.
	 *
	 * @param server identifier of the server
	 * @param load figures of the response
	 * @param now monotonic milliseconds
	 */
	public recordLoad(server: string, load: ServerLoad, now: number): void {
		const state = this.states.get(server);
		if (state === undefined || !this.isLoadUsed(server, load)) {
			return;
		}
		state.load.record(load, now);
		const notice = state.load.takeNotice(load, now);
		if (notice !== undefined) {
			this.loadEmitter.fire({ server, startedAt: state.startedAt, ...notice });
		}
	}

	/**
	 * Records that a response of a server reports a load that could not be parsed.
	 *
	 * @param server identifier of the server
	 * @returns whether it is the first one of the server, which is logged
	 */
	public recordUnreadableLoad(server: string): boolean {
		return this.states.get(server)?.load.markUnreadable() === true;
	}

	/**
	 * Applies the load that a server has reported to a peer.
	 *
	 * @param server short key of the server
	 * @param report load and incarnation of the server
	 */
	public applyLoad(server: number, { startedAt, load, slotTimeMs, at }: Omit<ServerLoadReport, 'server'>): void {
		const id = this.idByKey.get(server);
		const state = id === undefined ? undefined : this.states.get(id);
		if (id !== undefined && state !== undefined && isSameIncarnation(state, startedAt) && this.isLoadUsed(id, load)) {
			state.load.record(load, at);
			if (slotTimeMs !== undefined) {
				this.plainSlotTimes.apply(this.byId.get(id)?.server.service ?? '', state.load, slotTimeMs, at);
			}
		}
	}

	/**
	 * Records that a server has asked this router to back off.
	 *
	 * @param server identifier of the server
	 * @param milliseconds requested backoff
	 * @param now monotonic milliseconds
	 */
	public recordBackoff(server: string, milliseconds: number, now: number): void {
		this.states.get(server)?.notices.rest(milliseconds, now, Math.random());
	}

	/**
	 * Applies the notification of a peer that a server is leaving.
	 *
	 * @param server short key of the server
	 * @param startedAt as for {@link recordLeaving}
	 */
	public applyLeaving(server: number, startedAt?: number): void {
		const id = this.idByKey.get(server);
		const state = id === undefined ? undefined : this.states.get(id);
		if (id !== undefined && state !== undefined && isSameIncarnation(state, startedAt) && state.notices.markLeaving()) {
			this.leavingEmitter.fire(id);
		}
	}

	/**
	 * @param server identifier of a server
	 * @returns outcomes of its recent requests; undefined for an unknown server
	 */
	public outcomesOf(server: string): ServerOutcomes | undefined {
		return this.states.get(server)?.outcomes;
	}

	/**
	 * @param server short key of a server
	 * @returns identifier of the server; undefined for an unknown server
	 */
	public serverIdOf(server: number): string | undefined {
		return this.idByKey.get(server);
	}

	protected serversOf(service: number): readonly KnownServer[] {
		return [...this.byService].find(([name]) => shortKey(name) === service)?.[1] ?? [];
	}

	/** Tokens that fit into the memory of a server of a service; undefined where the memory of servers is not counted. */
	protected countedMemoryOf(service: string): number | undefined {
		return this.measuresSpeed(service) ? this.engineMemory.get(service) : undefined;
	}

	protected serviceOf(server: string): string {
		return this.byId.get(server)?.server.service ?? '';
	}

	protected stateByKey(server: number): EngineState | undefined {
		return this.states.get(this.idByKey.get(server) ?? '');
	}

	private startMeasuring(service: string): void {
		this.listServers(service).forEach(({ id }) => this.states.get(id)?.queue.measureLatency());
	}

	protected addSpeedReporting(server: string): boolean {
		const service = this.byId.get(server)?.server.service;
		if (service !== undefined && !this.speedReporting.has(service)) {
			this.speedReporting.add(service);
			this.startMeasuring(service);
		}
		return service !== undefined;
	}

	private isLoadUsed(server: string, { workTime }: ServerLoad): boolean {
		const service = this.byId.get(server)?.server.service ?? '';
		return workTime === undefined ? this.speedReporting.has(service) : this.addSpeedReporting(server);
	}

	private discardUnregistered(now: number): void {
		for (const id of this.states.keys()) {
			if (this.byId.has(id)) {
				continue;
			}
			const at = this.discardAt.get(id);
			if (at === undefined) {
				this.discardAt.set(id, now + UNREGISTERED_RETENTION_MS);
			} else if (now >= at) {
				this.states.delete(id);
				this.discardAt.delete(id);
				this.prefixCache.discardEngine(id);
			}
		}
	}
}

/** A notice about an earlier incarnation says nothing about the one that serves now. */
function isSameIncarnation(state: EngineState, startedAt: number | undefined): boolean {
	return startedAt === undefined || state.startedAt === undefined || state.startedAt === startedAt;
}
