/** Identifies a request that some router placed on an engine. */
export interface PlacementId {
	/** Name of the router. */
	readonly router: string;
	/** Number that the router gave the placement. */
	readonly sequence: number;
}

/** A prompt that an engine has not begun, or is reading. */
export interface QueuedPlacement extends PlacementId {
	readonly placedAt: number;
	readonly workMs: number;
	/** Monotonic milliseconds at which its first event was predicted. */
	readonly dueAt: number;
}

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
	 * @param now monotonic milliseconds
	 * @returns part of the last second in which the engine read prompts, from 0 to 1
	 */
	public load(now: number): number {
		const elapsedMs = Math.max(0, now - this.busyPartAt);
		const busyMs = Math.min(elapsedMs, Math.max(0, this.busyUntil - this.busyPartAt));
		const kept = Math.exp(-elapsedMs / LOAD_PERIOD_MS);
		this.busyPart = this.busyPart * kept + (elapsedMs > 0 ? (busyMs / elapsedMs) * (1 - kept) : 0);
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
	 */
	public place(id: PlacementId, now: number, workMs: number): void {
		if (this.placements.some((item) => isSame(item, id))) {
			return;
		}
		this.load(now);
		this.busyUntil = Math.max(this.busyUntil, now) + workMs * this.currentPace;
		this.placements.push({ ...id, placedAt: now, workMs, dueAt: this.busyUntil });
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
		this.busyUntil = now + this.remainingWorkMs() * this.currentPace;
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
		this.busyUntil = Math.min(this.busyUntil, now + this.remainingWorkMs() * this.currentPace);
	}

	// The time since the engine's last sign of progress was spent on the prompts that this event ends, if it had them all.
	private learnPace(placement: QueuedPlacement, index: number, now: number): void {
		const work = this.placements.slice(0, index + 1).reduce((sum, { workMs }) => sum + workMs, 0);
		const first = this.placements[0] ?? placement;
		const since = Math.max(this.lastProgressAt, first.placedAt);
		if (work < LEAST_OBSERVED_WORK_MS) {
			return;
		}
		const observed = Math.min(HIGHEST_PACE, Math.max(LOWEST_PACE, (now - since) / work));
		this.currentPace += PACE_GAIN * (observed - this.currentPace);
	}

	private remainingWorkMs(): number {
		return this.placements.reduce((sum, { workMs }) => sum + workMs, 0);
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
