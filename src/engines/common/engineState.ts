import { ColdStart } from './coldStart.js';
import type { RegisteredServer } from './directory.js';
import { EngineQueue, type PlacementId } from './engineQueue.js';
import { RequestLimit } from './requestLimit.js';
import { ServerMemory } from './serverMemory.js';
import { ServerLoadTracker } from './serverLoad.js';
import { ServerNotices } from './serverNotices.js';
import { type EngineHealth, ServerOutcomes } from './serverOutcomes.js';

/** State of a server as reported by the router that owns its queue. */
export interface EngineReport {
	/** Predicted milliseconds until the engine starts a prompt placed now. */
	readonly waitMs: number;
	/** Measured prefill time relative to the nominal time; above 1 the engine is slower than nominal. */
	readonly pace: number;
	/** Fraction of about the last second that the engine spent on prefill, from 0 to 1. */
	readonly load: number;
	/** Requests in progress from all routers. */
	readonly inProgress: number;
	/** Fraction of recent requests that failed, from 0 to 1. */
	readonly failureRate: number;
	/** Milliseconds for which the server is excluded from placement. */
	readonly suspendedMs: number;
	/** Limit that the server names for the requests of all routers; undefined when it names none. */
	readonly requestsPerSecond?: number | undefined;
	/** Fraction of the server's capacity that its limit leaves, from 0 to 1; undefined when it names none. */
	readonly remainingFraction?: number | undefined;
	/** Tokens that the requests in progress reserve; undefined when the server's memory is not counted. */
	readonly heldTokens?: number | undefined;
	/** Average duration of work relative to the usual one; undefined when the server has not reported it recently. */
	readonly workTime?: number | undefined;
	/** Requests that wait for a slot at the server; undefined when the server has not reported its load recently. */
	readonly waiting?: number | undefined;
}

/** A router's current estimate of a server's state. */
export interface EngineView {
	/** Predicted milliseconds until the engine starts a prompt placed now. */
	readonly waitMs: number;
	/** Milliseconds to delay the prompt before sending it. */
	readonly delayMs: number;
	readonly pace: number;
	readonly load: number;
	readonly inProgress: number;
	/** Tokens that the requests in progress reserve, as far as known. */
	readonly heldTokens: number;
	readonly health: EngineHealth;
	/** Whether the server is excluded now because of the limit that it names. */
	readonly isLimited: boolean;
	/** Average duration of work relative to the usual one; undefined when the server has not reported it recently. */
	readonly workTime: number | undefined;
	/** Relative standard error of the times that follow from the work time; 0 when it is undefined. */
	readonly noise: number;
}

/** Prefill work of a prompt and the burst limit that applies to it. */
export interface PrefillDemand {
	/** Nominal milliseconds of prefill. */
	readonly workMs: number;
	/** Longest uninterrupted prefill that running streams tolerate, in milliseconds on an engine of pace 1. */
	readonly longestBurstMs: number;
}

const NO_PROMPT: PrefillDemand = { workMs: 0, longestBurstMs: Infinity };

/** A report older than this is ignored: the queue owner or the connection to it has failed. */
const REPORT_VALID_MS = 2_500;

/** Exclusion reported for a stalled engine; it lasts until the next report but one. */
const STALL_EXCLUSION_MS = 1_000;

/** Exclusion reported for a leaving engine; the queue owner renews it with each report. */
const LEAVING_EXCLUSION_MS = 60_000;

/** Exclusion of a limited server while its queue owner, which counts its requests, is not heard. */
const UNCOUNTED_EXCLUSION_MS = 500;

interface ReceivedReport extends EngineReport {
	readonly receivedAt: number;
}

/** State that this router tracks for one backend server. */
export class EngineState {
	public readonly queue = EngineQueue.create();
	public readonly outcomes = ServerOutcomes.create();
	public readonly notices = ServerNotices.create();
	public readonly cold = ColdStart.create();
	public readonly memory = ServerMemory.create();
	public readonly load: ServerLoadTracker;
	public readonly limit: RequestLimit;
	private ownRequests = 0;
	private readonly peers = new Map<string, number>();
	/** Cached sum of {@link peers}, which is read several times per request. */
	private peersInProgress = 0;
	private report: ReceivedReport | undefined;

	private constructor(
		public readonly startedAt: number | undefined,
		slots: number,
		heardFraction: () => number,
	) {
		this.load = ServerLoadTracker.create(slots);
		this.limit = RequestLimit.create(heardFraction);
	}

	/**
	 * @param server registration of the server
	 * @param heardFraction returns the fraction of the routers whose requests are known here
	 * @returns the initial state, without requests or reports
	 */
	public static create(server: RegisteredServer, heardFraction: () => number = () => 1): EngineState {
		return new EngineState(server.startedAt, server.slots, heardFraction);
	}

	/** Requests in progress from this router. */
	public get ownInProgress(): number {
		return this.ownRequests;
	}

	/**
	 * Estimates the state of the server, from the local queue or from a valid report of the queue owner.
	 *
	 * @param ownsQueue whether this router owns the queue and therefore is notified of all placements
	 * @param now monotonic milliseconds
	 * @param prompt prefill work of the prompt to be placed, and the longest burst that streams tolerate
	 * @returns the estimate
	 */
	public view(ownsQueue: boolean, now: number, prompt: PrefillDemand = NO_PROMPT): EngineView {
		const health = this.outcomes.health(now);
		const report = ownsQueue ? undefined : this.validReport(now);
		if (report === undefined) {
			const { pace } = this.queue;
			const { delayMs, waitMs } = this.queue.planSend(now, prompt.workMs, prompt.longestBurstMs * pace);
			const limitedMs = this.limitedMs(ownsQueue, now);
			const scale = this.load.paceScale(now);
			const unusableMs = Math.max(
				health.unusableMs,
				limitedMs,
				this.cold.blockedMs(now),
				ownsQueue && this.queue.isStalled(now) ? STALL_EXCLUSION_MS : 0,
				this.notices.isLeaving ? Infinity : 0,
			);
			return {
				delayMs,
				waitMs: Math.max(delayMs, waitMs * scale),
				pace: pace * scale,
				load: Math.max(this.queue.load(now), this.limit.load(now)),
				inProgress: this.reportedInProgress(now) ?? this.ownRequests + (ownsQueue ? this.peersInProgress : 0),
				heldTokens: ownsQueue ? this.memory.heldTokens(now) : this.memory.ownHeldTokens,
				health: { failureRate: health.failureRate, usable: unusableMs === 0, unusableMs },
				isLimited: limitedMs > 0,
				workTime: this.load.workTime(now),
				noise: this.load.noise(now),
			};
		}
		const ageMs = now - report.receivedAt;
		const unusableMs = Math.max(health.unusableMs, report.suspendedMs - ageMs, this.notices.isLeaving ? Infinity : 0);
		return {
			delayMs: 0,
			waitMs: Math.max(0, report.waitMs - ageMs, this.queue.waitMs(now)),
			pace: report.pace,
			load: report.load,
			inProgress: this.reportedInProgress(now) ?? Math.max(this.ownRequests, report.inProgress),
			heldTokens: Math.max(this.memory.ownHeldTokens, report.heldTokens ?? 0),
			health: {
				usable: unusableMs <= 0,
				failureRate: Math.max(health.failureRate, report.failureRate),
				unusableMs: Math.max(0, unusableMs),
			},
			isLimited: report.requestsPerSecond !== undefined && report.suspendedMs > ageMs,
			workTime: this.load.workTime(now),
			noise: this.load.noise(now),
		};
	}

	/**
	 * Applies the limit that a response of the server names, or that it names none.
	 *
	 * @param requestsPerSecond limit for all routers together; undefined when the response names none
	 * @param sentAt monotonic milliseconds at which the request was sent
	 * @param now monotonic milliseconds
	 * @returns whether the limit has changed
	 */
	public applyLimit(requestsPerSecond: number | undefined, sentAt: number, now: number): boolean {
		return requestsPerSecond === undefined
			? this.limit.end(sentAt, now)
			: this.limit.apply(requestsPerSecond, now, this.queue.load(now));
	}

	/**
	 * @param ownsQueue whether this router owns the queue and therefore is notified of all placements
	 * @param now monotonic milliseconds
	 * @returns fraction of the server's capacity that its limit leaves, from 0 to 1; 1 without a limit
	 */
	public remainingFraction(ownsQueue: boolean, now: number): number {
		return ownsQueue ? this.limit.remainingFraction : (this.validReport(now)?.remainingFraction ?? 1);
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns whether there is a report of the queue owner that is recent enough
	 */
	public hasRecentReport(now: number): boolean {
		return this.validReport(now) !== undefined;
	}

	/**
	 * @param now monotonic milliseconds
	 * @param countsMemory whether the memory of the server is counted
	 * @returns the report that the queue owner sends to other routers
	 */
	public createReport(now: number, countsMemory = false): EngineReport {
		const { waitMs, pace, load, inProgress, health, heldTokens, workTime } = this.view(true, now);
		return {
			waitMs,
			pace,
			load,
			inProgress,
			failureRate: health.failureRate,
			suspendedMs: Math.min(LEAVING_EXCLUSION_MS, health.unusableMs),
			requestsPerSecond: this.limit.requestsPerSecond,
			remainingFraction: this.limit.requestsPerSecond === undefined ? undefined : this.limit.remainingFraction,
			heldTokens: countsMemory ? heldTokens : undefined,
			workTime,
			waiting: this.load.waiting(now),
		};
	}

	/**
	 * Records the first event of a request, which completes its prompt and all earlier ones.
	 *
	 * @param id identifier of the placement
	 * @param now monotonic milliseconds
	 * @param isComplete whether the queue holds the placements of all routers, so that the pace can be measured
	 * @param at monotonic milliseconds of the first event
	 */
	public recordFirstEvent(id: PlacementId, now: number, isComplete: boolean, at = now): void {
		const before = this.queue.paceObservations;
		this.queue.recordFirstEvent(id, now, isComplete, at);
		if (this.queue.paceObservations !== before) {
			this.load.recordPace(this.queue.paceGain, now);
		}
	}

	/**
	 * Stores a report of the queue owner, unless a newer one is stored already.
	 *
	 * @param report state of the server
	 * @param reportedAt monotonic milliseconds at which the owner created the report
	 */
	public applyReport(report: EngineReport, reportedAt: number): void {
		if (this.report === undefined || reportedAt >= this.report.receivedAt) {
			this.report = { ...report, receivedAt: reportedAt };
		}
		const { workTime, inProgress, waiting = 0 } = report;
		if (workTime !== undefined) {
			this.load.applyCombined({ workTime, inProgress, waiting }, reportedAt);
		}
	}

	/**
	 * Counts a new request of this router and adds it to the stored report if the report does not include it.
	 *
	 * @param workMs nominal prefill time of its prompt in milliseconds
	 * @param isReported whether the last report of the queue owner includes the request
	 * @param now monotonic milliseconds
	 * @param sequence sequence number of its placement
	 * @param tokens that it reserves in the memory of the server
	 */
	public addOwnRequest(workMs: number, isReported: boolean, now: number, sequence: number, tokens: number): void {
		this.ownRequests++;
		this.memory.addOwn(sequence, tokens, now);
		this.cold.recordRequest(now);
		this.limit.recordRequest(now);
		if (!isReported) {
			this.load.recordPlacement(now);
		}
		const report = this.validReport(now);
		if (report !== undefined && !isReported) {
			const waitMs = Math.max(0, report.waitMs - (now - report.receivedAt)) + workMs * report.pace;
			const heldTokens = report.heldTokens === undefined ? undefined : report.heldTokens + tokens;
			this.report = { ...report, waitMs, heldTokens, inProgress: report.inProgress + 1, receivedAt: now };
		}
	}

	/**
	 * Counts the end of a request of this router.
	 *
	 * @param sequence sequence number of its placement
	 */
	public removeOwnRequest(sequence: number): void {
		this.ownRequests = Math.max(0, this.ownRequests - 1);
		const tokens = this.memory.removeOwn(sequence);
		const { report } = this;
		if (report !== undefined) {
			const heldTokens = report.heldTokens === undefined ? undefined : Math.max(0, report.heldTokens - tokens);
			this.report = { ...report, heldTokens, inProgress: Math.max(0, report.inProgress - 1) };
		}
	}

	/**
	 * Counts a new request of a peer.
	 *
	 * @param router name of the peer
	 * @param now monotonic milliseconds
	 */
	public addPeerRequest(router: string, now: number): void {
		this.cold.recordRequest(now);
		this.limit.recordRequest(now);
		this.load.recordPlacement(now);
		this.setPeerRequests(router, (this.peers.get(router) ?? 0) + 1);
	}

	/**
	 * Replaces the request count of a peer.
	 *
	 * @param router name of the peer
	 * @param requests requests that the peer has in progress
	 */
	public setPeerRequests(router: string, requests: number): void {
		this.peersInProgress += requests - (this.peers.get(router) ?? 0);
		if (requests > 0) {
			this.peers.set(router, requests);
		} else {
			this.peers.delete(router);
		}
	}

	/**
	 * Removes the placements and requests of a peer that has stopped or cannot be reached.
	 *
	 * @param router name of the peer
	 * @param now monotonic milliseconds
	 */
	public removePeer(router: string, now: number): void {
		this.queue.removeRouter(router, now);
		this.memory.removePeer(router);
		this.setPeerRequests(router, 0);
	}

	/** Requests at a server of a plain service according to its reports, which include those of all routers. */
	private reportedInProgress(now: number): number | undefined {
		const reported = this.load.inProgress(now);
		return reported === undefined ? undefined : Math.max(this.ownRequests, reported);
	}

	private limitedMs(ownsQueue: boolean, now: number): number {
		if (ownsQueue) {
			return this.limit.blockedMs(now);
		}
		return this.limit.requestsPerSecond === undefined ? 0 : UNCOUNTED_EXCLUSION_MS;
	}

	private validReport(now: number): ReceivedReport | undefined {
		const { report } = this;
		return report !== undefined && now - report.receivedAt <= REPORT_VALID_MS ? report : undefined;
	}
}
