import { ColdStart } from './coldStart.js';
import type { RegisteredServer } from './registeredServer.js';
import { EngineQueue } from './engineQueue.js';
import { ServerNotices } from './serverNotices.js';
import { type EngineHealth, ServerOutcomes } from './serverOutcomes.js';

/** What the router that keeps the queue of a server tells of it. */
export interface EngineReport {
	/** Milliseconds until a prompt placed now is begun. */
	readonly waitMs: number;
	/** Time the engine takes for work, relative to the nominal time. */
	readonly pace: number;
	/** Part of the last second in which the engine read prompts, from 0 to 1. */
	readonly load: number;
	/** Requests in progress, of all routers. */
	readonly inProgress: number;
	/** Part of recent requests that failed, from 0 to 1. */
	readonly failureRate: number;
	/** Milliseconds for which the server is left out. */
	readonly suspendedMs: number;
}

/** What a router takes a server's state to be. */
export interface EngineView {
	/** Milliseconds until a prompt placed now is begun. */
	readonly waitMs: number;
	/** Milliseconds after which it is to be sent. */
	readonly delayMs: number;
	readonly pace: number;
	readonly load: number;
	readonly inProgress: number;
	readonly health: EngineHealth;
}

/** What a prompt asks of a queue. */
export interface PromptDemand {
	/** Nominal milliseconds to read it. */
	readonly workMs: number;
	/** Longest time of reading without a pause that streams bear on an engine of pace 1, in milliseconds. */
	readonly longestBurstMs: number;
}

const NO_PROMPT: PromptDemand = { workMs: 0, longestBurstMs: Infinity };

/** A report that was not renewed for this long says nothing: its keeper or the way to it has failed. */
const REPORT_VALID_MS = 2_500;

/** A stalled engine is left out until the next report but one. */
const STALL_REPORTED_MS = 1_000;

/** An engine that leaves is left out for as long as its keeper goes on to report it. */
const LEAVING_REPORTED_MS = 60_000;

interface ReceivedReport extends EngineReport {
	readonly receivedAt: number;
}

/** What this router knows of one backend server. */
export class EngineState {
	public readonly queue = EngineQueue.create();
	public readonly outcomes = ServerOutcomes.create();
	public readonly notices = ServerNotices.create();
	public readonly cold = ColdStart.create();
	private own = 0;
	private readonly peers = new Map<string, number>();
	/** Sum of {@link peers}, which is asked for several times with each request. */
	private peersInProgress = 0;
	private report: ReceivedReport | undefined;

	private constructor(public readonly startedAt: number | undefined) {}

	/**
	 * @param server as it is registered
	 * @returns the state of a server that was not used yet
	 */
	public static create(server: RegisteredServer): EngineState {
		return new EngineState(server.startedAt);
	}

	/** Requests of this router in progress. */
	public get ownInProgress(): number {
		return this.own;
	}

	/**
	 * @param keeps whether this router keeps the queue, and so hears of all placements
	 * @param now monotonic milliseconds
	 * @param prompt nominal time to read a prompt, and the longest burst of reading that streams bear, in milliseconds
	 * @returns what is known of the server
	 */
	public view(keeps: boolean, now: number, prompt: PromptDemand = NO_PROMPT): EngineView {
		const health = this.outcomes.health(now);
		const report = keeps ? undefined : this.validReport(now);
		if (report === undefined) {
			const { delayMs, waitMs } = this.queue.turn(now, prompt.workMs, prompt.longestBurstMs * this.queue.pace);
			const unusableMs = Math.max(
				health.unusableMs,
				this.cold.closedMs(now),
				keeps && this.queue.isStalled(now) ? STALL_REPORTED_MS : 0,
				this.notices.isLeaving ? Infinity : 0,
			);
			return {
				delayMs,
				waitMs,
				pace: this.queue.pace,
				load: this.queue.load(now),
				inProgress: this.own + (keeps ? this.peersInProgress : 0),
				health: { failureRate: health.failureRate, usable: unusableMs === 0, unusableMs },
			};
		}
		const ageMs = now - report.receivedAt;
		const unusableMs = Math.max(health.unusableMs, report.suspendedMs - ageMs, this.notices.isLeaving ? Infinity : 0);
		return {
			delayMs: 0,
			waitMs: Math.max(0, report.waitMs - ageMs, this.queue.waitMs(now)),
			pace: report.pace,
			load: report.load,
			inProgress: Math.max(this.own, report.inProgress),
			health: {
				usable: unusableMs <= 0,
				failureRate: Math.max(health.failureRate, report.failureRate),
				unusableMs: Math.max(0, unusableMs),
			},
		};
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns what the keeper of the queue tells other routers
	 */
	public reportOf(now: number): EngineReport {
		const { waitMs, pace, load, inProgress, health } = this.view(true, now);
		return {
			waitMs,
			pace,
			load,
			inProgress,
			failureRate: health.failureRate,
			suspendedMs: Math.min(LEAVING_REPORTED_MS, health.unusableMs),
		};
	}

	/**
	 * @param report of the router that keeps the queue
	 * @param toldAt monotonic milliseconds at which the keeper told it; a newer report stays in force
	 */
	public applyReport(report: EngineReport, toldAt: number): void {
		if (this.report === undefined || toldAt >= this.report.receivedAt) {
			this.report = { ...report, receivedAt: toldAt };
		}
	}

	/**
	 * Counts a request of this router.
	 *
	 * @param workMs nominal time to read its prompt
	 * @param isReported whether the last report of the keeper includes it
	 * @param now monotonic milliseconds
	 */
	public addOwn(workMs: number, isReported: boolean, now: number): void {
		this.own++;
		this.cold.noteRequest(now);
		const report = this.validReport(now);
		if (report !== undefined && !isReported) {
			const waitMs = Math.max(0, report.waitMs - (now - report.receivedAt)) + workMs * report.pace;
			this.report = { ...report, waitMs, inProgress: report.inProgress + 1, receivedAt: now };
		}
	}

	/** Counts the end of a request of this router. */
	public removeOwn(): void {
		this.own = Math.max(0, this.own - 1);
		if (this.report !== undefined) {
			this.report = { ...this.report, inProgress: Math.max(0, this.report.inProgress - 1) };
		}
	}

	/**
	 * @param router that has begun a request
	 * @param now monotonic milliseconds
	 */
	public addPeer(router: string, now: number): void {
		this.cold.noteRequest(now);
		this.setPeer(router, (this.peers.get(router) ?? 0) + 1);
	}

	/**
	 * @param router name of a peer
	 * @param requests that it has in progress
	 */
	public setPeer(router: string, requests: number): void {
		this.peersInProgress += requests - (this.peers.get(router) ?? 0);
		if (requests > 0) {
			this.peers.set(router, requests);
		} else {
			this.peers.delete(router);
		}
	}

	/**
	 * @param router name of a peer that has ended
	 * @param now monotonic milliseconds
	 */
	public removePeer(router: string, now: number): void {
		this.queue.removeRouter(router, now);
		this.setPeer(router, 0);
	}

	private validReport(now: number): ReceivedReport | undefined {
		const { report } = this;
		return report !== undefined && now - report.receivedAt <= REPORT_VALID_MS ? report : undefined;
	}
}
