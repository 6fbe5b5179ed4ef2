import { type IPrefillSpeed, ProportionalPrefillSpeed, SeparatedPrefillSpeed } from './prefillSpeed.js';

/** Identifies a request that a router has placed on an engine. */
export interface PlacementId {
	/** Name of the router. */
	readonly router: string;
	/** Sequence number that the router assigned to the placement. */
	readonly sequence: number;
}

/** A prompt that is queued at an engine or in prefill. */
export interface QueuedPlacement extends PlacementId {
	/** Monotonic milliseconds at which the prompt is sent. */
	readonly sentAt: number;
	/** Nominal milliseconds of prefill. */
	readonly workMs: number;
	/** Monotonic milliseconds at which the first event is expected. */
	readonly dueAt: number;
}

/** When a prompt can be sent and when the engine is predicted to start it. */
export interface SendPlan {
	/** Milliseconds to delay the prompt before sending it. */
	readonly delayMs: number;
	/** Predicted milliseconds until the engine starts the prompt. */
	readonly waitMs: number;
}

/** Gap between prefill bursts: two engine steps, each of which emits a token per stream, plus the prediction error. */
const BURST_PAUSE_MS = 30;

/** Time constant of the moving average that is reported as an engine's load. */
const LOAD_PERIOD_MS = 1_000;

/**
 * An engine counts as stalled when first events are this late and none arrived in the meantime; normal pauses are
 * shorter.
 */
const STALL_MS = 700;

/** Late first events needed to detect a stall; a single one may be due to a lost notification. */
const MINIMUM_STALLED_PLACEMENTS = 2;

/**
 * Placements are dropped this long after the predicted end of the queue: their requests failed without notification.
 */
const LOST_AFTER_MS = 4_000;

/**
 * Predicts when a model engine starts the next prompt. Engines prefill prompts in order of arrival, so the wait of a new
 * prompt is the work ahead of it. Each first event shows that all earlier placements are prefilled, which corrects the
 * prediction.
 *
 * Load pattern: bursts of long prompts from several routers at once, for which a request count is a poor measure.
 */
export class EngineQueue {
	private placements: QueuedPlacement[] = [];
	/** Predicted end of the prefill of all placements, in monotonic milliseconds. */
	private busyUntil = 0;
	/** Start of the current prefill burst, in monotonic milliseconds. */
	private burstStartedAt = 0;
	/** Last first event, in monotonic milliseconds; all earlier prompts are prefilled since then. */
	private lastProgressAt = 0;
	/** Earliest start of the first placement, in monotonic milliseconds. */
	private firstStartsAt = 0;
	private speed: IPrefillSpeed = ProportionalPrefillSpeed.create();
	private meanLoad = 0;
	private meanLoadUpdatedAt = 0;

	private constructor() {}

	/** @returns an empty queue */
	public static create(): EngineQueue {
		return new EngineQueue();
	}

	/** Measured prefill time relative to the nominal time. */
	public get pace(): number {
		return this.speed.pace;
	}

	/** Milliseconds from the end of a prefill to the arrival of the first event; 0 unless it is measured. */
	public get latencyMs(): number {
		return this.speed.latencyMs;
	}

	/** Separates the latency of first events from the prefill from now on. */
	public measureLatency(): void {
		if (!(this.speed instanceof SeparatedPrefillSpeed)) {
			this.speed = SeparatedPrefillSpeed.create(this.speed.pace);
			this.recomputeBusyUntil();
		}
	}

	/** Number of observations of the pace. */
	public get paceObservations(): number {
		return this.speed.observations;
	}

	/** Weight of the last observation in the pace, from 0 to 1. */
	public get paceGain(): number {
		return this.speed.gain;
	}

	/** Number of prompts from all routers whose first event is outstanding. */
	public get pending(): number {
		return this.placements.length;
	}

	/**
	 * @param router name of a router
	 * @returns its prompts whose first event is outstanding, in order of placement
	 */
	public placementsOf(router: string): readonly QueuedPlacement[] {
		return this.placements.filter((item) => item.router === router);
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns predicted milliseconds until the engine starts a prompt placed now
	 */
	public waitMs(now: number): number {
		this.dropLostPlacements(now);
		return Math.max(0, this.busyUntil - now);
	}

	/**
	 * Determines when a prompt can be sent so that prefill bursts do not exceed what running streams tolerate.
	 *
	 * Load pattern: prompts arrive faster than an engine prefills them. Without pauses each stream would get only one token
	 * per prefill chunk, which takes as long as twenty tokens without prefill.
	 *
	 * @param now monotonic milliseconds
	 * @param workMs nominal prefill time of the prompt in milliseconds
	 * @param longestBurstMs longest uninterrupted prefill in milliseconds
	 * @returns when the prompt can be sent and is predicted to start
	 */
	public planSend(now: number, workMs: number, longestBurstMs: number): SendPlan {
		this.dropLostPlacements(now);
		// Prompts are sent in order of placement.
		const sentAt = Math.max(now, this.placements.at(-1)?.sentAt ?? now);
		const { busyUntil } = this;
		if (busyUntil <= sentAt) {
			return { delayMs: sentAt - now, waitMs: sentAt - now };
		}
		const burstMs = busyUntil - this.burstStartedAt + workMs * this.speed.pace;
		if (burstMs <= longestBurstMs) {
			return { delayMs: sentAt - now, waitMs: busyUntil - now };
		}
		const waitMs = busyUntil + BURST_PAUSE_MS - now;
		return { delayMs: waitMs, waitMs };
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns fraction of about the last second that the engine spent on prefill, from 0 to 1
	 */
	public load(now: number): number {
		const elapsedMs = Math.max(0, now - this.meanLoadUpdatedAt);
		if (elapsedMs === 0) {
			return this.meanLoad;
		}
		const busyMs = Math.min(elapsedMs, Math.max(0, this.busyUntil - this.meanLoadUpdatedAt));
		const decay = Math.exp(-elapsedMs / LOAD_PERIOD_MS);
		this.meanLoad = this.meanLoad * decay + (busyMs / elapsedMs) * (1 - decay);
		this.meanLoadUpdatedAt = now;
		return this.meanLoad;
	}

	/**
	 * Detects an engine that has stopped working while its connections stay open, for example after a power failure. With
	 * no work done it would look idle.
	 *
	 * @param now monotonic milliseconds
	 * @returns whether several first events are overdue and none has arrived recently
	 */
	public isStalled(now: number): boolean {
		this.dropLostPlacements(now);
		return (
			this.placements.length >= MINIMUM_STALLED_PLACEMENTS &&
			now - this.lastProgressAt > STALL_MS &&
			this.placements.filter(({ dueAt }) => now - dueAt > STALL_MS).length >= MINIMUM_STALLED_PLACEMENTS
		);
	}

	/**
	 * Adds a prompt. A placement that is already queued is not changed. Notices of other routers arrive late, so the
	 * prompt may precede others that are queued already.
	 *
	 * @param id identifier of the placement
	 * @param now monotonic milliseconds
	 * @param workMs nominal prefill time of the prompt in milliseconds
	 * @param delayMs milliseconds until the prompt is sent, as returned by {@link planSend}; negative if it was sent earlier
	 */
	public place(id: PlacementId, now: number, workMs: number, delayMs = 0): void {
		if (this.placements.some((item) => isSamePlacement(item, id))) {
			return;
		}
		this.load(now);
		const sentAt = now + delayMs;
		const next = this.placements.findIndex((item) => item.sentAt > sentAt);
		const index = next < 0 ? this.placements.length : next;
		this.placements.splice(index, 0, { ...id, sentAt, workMs, dueAt: Infinity });
		this.recomputeBusyUntil();
		const dueAt = this.speed.latencyMs + (next < 0 ? this.busyUntil : sentAt + workMs * this.speed.pace);
		this.placements[index] = { ...id, sentAt, workMs, dueAt };
	}

	/**
	 * Records the first event of a request, which completes its prompt and all earlier ones.
	 *
	 * @param id identifier of the placement
	 * @param now monotonic milliseconds
	 * @param isComplete whether the queue holds the placements of all routers, so that the pace can be measured
	 * @param at monotonic milliseconds of the first event
	 */
	public recordFirstEvent(id: PlacementId, now: number, isComplete = true, at = now): void {
		const index = this.placements.findIndex((item) => isSamePlacement(item, id));
		const placement = this.placements[index];
		if (placement === undefined) {
			return;
		}
		this.load(now);
		if (isComplete) {
			this.updateSpeed(placement, index, at);
		}
		this.lastProgressAt = Math.max(this.lastProgressAt, at - this.speed.latencyMs);
		this.firstStartsAt = this.lastProgressAt;
		this.placements.splice(0, index + 1);
		this.recomputeBusyUntil();
	}

	/**
	 * Removes a request that ended without a first event.
	 *
	 * @param id identifier of the placement
	 * @param now monotonic milliseconds
	 */
	public remove(id: PlacementId, now: number): void {
		this.removeWhere((item) => isSamePlacement(item, id), now);
	}

	/**
	 * Removes the requests of a router that has stopped.
	 *
	 * @param router name of the router
	 * @param now monotonic milliseconds
	 */
	public removeRouter(router: string, now: number): void {
		this.removeWhere((item) => item.router === router, now);
	}

	private removeWhere(isRemoved: (item: QueuedPlacement) => boolean, now: number): void {
		const [first] = this.placements;
		const kept = this.placements.filter((item) => !isRemoved(item));
		if (kept.length === this.placements.length) {
			return;
		}
		this.load(now);
		if (first !== undefined && isRemoved(first) && first.sentAt <= now) {
			this.firstStartsAt = now; // The engine stops the prefill of a request that is cancelled.
		}
		this.placements = kept;
		this.recomputeBusyUntil();
	}

	// Assumes that the engine prefilled all prompts up to this one without a break, since the previous first event or
	// since the oldest of them was sent.
	private updateSpeed(placement: QueuedPlacement, index: number, at: number): void {
		const workMs = this.placements.slice(0, index + 1).reduce((sum, item) => sum + item.workMs, 0);
		const first = this.placements[0] ?? placement;
		this.speed.observe(workMs, at - Math.max(this.lastProgressAt, first.sentAt));
	}

	private recomputeBusyUntil(): void {
		this.busyUntil = this.firstStartsAt;
		if (this.placements.length === 0) {
			this.burstStartedAt = this.firstStartsAt;
		}
		for (const { sentAt, workMs } of this.placements) {
			if (sentAt > this.busyUntil) {
				this.busyUntil = sentAt;
				this.burstStartedAt = sentAt;
			}
			this.busyUntil += workMs * this.speed.pace;
		}
	}

	private dropLostPlacements(now: number): void {
		const [first] = this.placements;
		if (first !== undefined && now > this.busyUntil + LOST_AFTER_MS) {
			this.placements = [];
		}
	}
}

function isSamePlacement(one: PlacementId, other: PlacementId): boolean {
	return one.sequence === other.sequence && one.router === other.router;
}
