/** Identifies a request that some router placed on an engine. */
export interface PlacementId {
	/** Name of the router. */
	readonly router: string;
	/** Number that the router gave the placement. */
	readonly sequence: number;
}

/** A prompt that an engine has not begun, or is reading. */
export interface QueuedPlacement extends PlacementId {
	/** Monotonic milliseconds at which the prompt is sent. */
	readonly sentAt: number;
	readonly workMs: number;
	/** Monotonic milliseconds at which its first event was predicted. */
	readonly dueAt: number;
}

/** When a prompt can be sent and begun. */
export interface QueueTurn {
	/** Milliseconds after which the prompt is to be sent. */
	readonly delayMs: number;
	/** Milliseconds until it is begun. */
	readonly waitMs: number;
}

/** Pause between bursts: two steps of an engine, in which its streams get a token each, and the error of predictions. */
const BURST_PAUSE_MS = 30;

// An engine whose pace leaves this range has failed or was misjudged, which health and retries deal with.
const LOWEST_PACE = 0.4;
const HIGHEST_PACE = 8;

/** Weight of one observation in the pace. */
const PACE_GAIN = 0.15;

/** Shorter observations are dominated by the engine's fixed costs. */
const LEAST_OBSERVED_WORK_MS = 15;

/** Time constant of the mean over which an engine's load is told. */
const LOAD_PERIOD_MS = 1_000;

/** First events that are late by this much without any other are a sign that the engine has stopped; pauses are shorter. */
const STALL_MS = 700;

/** A single late first event may be news that was lost. */
const STALLED_PLACEMENTS = 2;

/** A placement without a first event for this long beyond its prediction has failed unnoticed. */
const LOST_AFTER_MS = 4_000;

/**
 * Predicts when a model engine gets to the next prompt. Engines read prompts in the order of their arrival, so the time
 * until a new prompt is read is the work ahead of it. Each first event shows that everything placed before it is done,
 * which corrects the prediction.
 *
 * Load pattern: bursts of long prompts from several routers at once, on which a count of requests says little.
 */
export class EngineQueue {
	private placements: QueuedPlacement[] = [];
	private busyUntil = 0;
	/** Start of the time for which the engine reads without a pause. */
	private burstSince = 0;
	private lastProgressAt = 0;
	private currentPace = 1;
	private busyPart = 0;
	private busyPartAt = 0;

	private constructor() {}

	/** @returns the queue of an engine without work */
	public static create(): EngineQueue {
		return new EngineQueue();
	}

	/** Time the engine takes for work, relative to the nominal time. */
	public get pace(): number {
		return this.currentPace;
	}

	/** Prompts placed by any router whose first event has not been seen. */
	public get pending(): number {
		return this.placements.length;
	}

	/**
	 * @param router name of a router
	 * @returns its prompts whose first event has not been seen, in their order
	 */
	public placementsOf(router: string): readonly QueuedPlacement[] {
		return this.placements.filter((item) => item.router === router);
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns milliseconds until a prompt placed now is begun
	 */
	public waitMs(now: number): number {
		this.dropLost(now);
		return Math.max(0, this.busyUntil - now);
	}

	/**
	 * Says when a prompt can be sent, so that the engine does not read longer without a pause than its streams bear.
	 *
	 * Load pattern: prompts arrive faster than an engine reads them. It would read all the time, and each of its streams
	 * would get one token with each chunk, which takes as long as twenty tokens otherwise.
	 *
	 * @param now monotonic milliseconds
	 * @param workMs nominal time to read the prompt
	 * @param longestBurstMs longest time of reading without a pause, in milliseconds
	 * @returns when the prompt can be sent and begun
	 */
	public turn(now: number, workMs: number, longestBurstMs: number): QueueTurn {
		this.dropLost(now);
		// Prompts are sent in the order in which they were placed.
		const sentAt = Math.max(now, this.placements.at(-1)?.sentAt ?? now);
		if (this.busyUntil <= sentAt) {
			return { delayMs: sentAt - now, waitMs: sentAt - now };
		}
		const burstMs = this.busyUntil - this.burstSince + workMs * this.currentPace;
		if (burstMs <= longestBurstMs) {
			return { delayMs: sentAt - now, waitMs: this.busyUntil - now };
		}
		const waitMs = this.busyUntil + BURST_PAUSE_MS - now;
		return { delayMs: waitMs, waitMs };
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns part of the last second in which the engine read prompts, from 0 to 1
	 */
	public load(now: number): number {
		const elapsedMs = Math.max(0, now - this.busyPartAt);
		if (elapsedMs === 0) {
			return this.busyPart;
		}
		const busyMs = Math.min(elapsedMs, Math.max(0, this.busyUntil - this.busyPartAt));
		const kept = Math.exp(-elapsedMs / LOAD_PERIOD_MS);
		this.busyPart = this.busyPart * kept + (busyMs / elapsedMs) * (1 - kept);
		this.busyPartAt = now;
		return this.busyPart;
	}

	/**
	 * Tells whether the engine has stopped without ending, as one without power does: its connections stay open, and
	 * with no work done it would look idle.
	 *
	 * @param now monotonic milliseconds
	 * @returns whether several first events are long overdue and no other has arrived
	 */
	public isStalled(now: number): boolean {
		this.dropLost(now);
		return (
			this.placements.length >= STALLED_PLACEMENTS &&
			now - this.lastProgressAt > STALL_MS &&
			this.placements.filter(({ dueAt }) => now - dueAt > STALL_MS).length >= STALLED_PLACEMENTS
		);
	}

	/**
	 * Adds a prompt; one that is known already is left as it is.
	 *
	 * @param id of the placement
	 * @param now monotonic milliseconds
	 * @param workMs nominal time to read the prompt
	 * @param delayMs milliseconds after which it is sent, as {@link turn} told
	 */
	public place(id: PlacementId, now: number, workMs: number, delayMs = 0): void {
		if (this.placements.some((item) => isSame(item, id))) {
			return;
		}
		this.load(now);
		const sentAt = now + delayMs;
		if (this.busyUntil < sentAt) {
			this.burstSince = sentAt;
		}
		this.busyUntil = Math.max(this.busyUntil, sentAt) + workMs * this.currentPace;
		this.placements.push({ ...id, sentAt, workMs, dueAt: this.busyUntil });
	}

	/**
	 * Notes the first event of a request, which ends its prompt and all before it.
	 *
	 * @param id of the placement
	 * @param now monotonic milliseconds
	 * @param isComplete whether the placements of all routers are known, so that the engine's pace shows
	 */
	public recordFirstEvent(id: PlacementId, now: number, isComplete = true): void {
		const index = this.placements.findIndex((item) => isSame(item, id));
		const placement = this.placements[index];
		if (placement === undefined) {
			return;
		}
		this.load(now);
		if (isComplete) {
			this.learnPace(placement, index, now);
		}
		this.lastProgressAt = now;
		this.placements.splice(0, index + 1);
		this.predictEnd(now);
	}

	/**
	 * Forgets a request that ended without a first event.
	 *
	 * @param id of the placement
	 * @param now monotonic milliseconds
	 */
	public remove(id: PlacementId, now: number): void {
		const index = this.placements.findIndex((item) => isSame(item, id));
		const [placement] = index < 0 ? [] : this.placements.splice(index, 1);
		if (placement !== undefined) {
			this.busyUntil = Math.max(now, this.busyUntil - placement.workMs * this.currentPace);
			this.endBurst(now);
		}
	}

	/**
	 * Forgets the requests of a router that has ended.
	 *
	 * @param router name of the router
	 * @param now monotonic milliseconds
	 */
	public removeRouter(router: string, now: number): void {
		this.placements = this.placements.filter((item) => item.router !== router);
		const before = this.busyUntil;
		this.predictEnd(now);
		this.busyUntil = Math.min(before, this.busyUntil);
	}

	// The time since the engine's last sign of progress was spent on the prompts that this event ends, if it had them all.
	private learnPace(placement: QueuedPlacement, index: number, now: number): void {
		const work = this.placements.slice(0, index + 1).reduce((sum, { workMs }) => sum + workMs, 0);
		const first = this.placements[0] ?? placement;
		const since = Math.max(this.lastProgressAt, first.sentAt);
		if (work < LEAST_OBSERVED_WORK_MS) {
			return;
		}
		const observed = Math.min(HIGHEST_PACE, Math.max(LOWEST_PACE, (now - since) / work));
		this.currentPace += PACE_GAIN * (observed - this.currentPace);
	}

	private predictEnd(now: number): void {
		this.busyUntil = now;
		this.endBurst(now);
		for (const { sentAt, workMs } of this.placements) {
			if (sentAt > this.busyUntil) {
				this.busyUntil = sentAt;
				this.burstSince = sentAt;
			}
			this.busyUntil += workMs * this.currentPace;
		}
	}

	private endBurst(now: number): void {
		if (this.placements.length === 0) {
			this.burstSince = now;
		}
	}

	private dropLost(now: number): void {
		const [first] = this.placements;
		if (first !== undefined && now > this.busyUntil + LOST_AFTER_MS) {
			this.placements = [];
		}
	}
}

function isSame(one: PlacementId, other: PlacementId): boolean {
	return one.sequence === other.sequence && one.router === other.router;
}
