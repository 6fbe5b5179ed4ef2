/** Load that a server reports in the head of a response. */
export interface ServerLoad {
	/** Requests that the server is processing. */
	readonly running: number;
	/** Requests that wait for a slot at the server. */
	readonly waiting: number;
	/** Requests that the server processes at the same time. */
	readonly slots: number;
	/** Duration of work on the server's machine relative to the usual one, which is 1; undefined when not reported. */
	readonly workTime: number | undefined;
}

/** Tells peers which load a server has reported to this router. */
export interface ServerLoadReport {
	readonly server: string;
	/** Unix milliseconds at which this incarnation of the server started; undefined when not known. */
	readonly startedAt: number | undefined;
	/** Latest counts, and the mean of the work times reported since the last notice. */
	readonly load: ServerLoad;
	/** Mean slot time of the requests to a plain service that ended since the last notice; undefined when there are none. */
	readonly slotTimeMs?: number | undefined;
	/** Monotonic milliseconds at which the latest response with these counts began. */
	readonly at: number;
}

/** Estimate of the queue owner, which receives the figures of all routers. */
export interface CombinedLoad {
	readonly workTime: number;
	readonly inProgress: number;
	readonly waiting: number;
}

/**
 * Time constant of the moving average of the work time. The figure changes many times a second, so a single one says
 * little about the duration of a request; the targets of the callers that it has to serve are 141 to 1,000 ms.
 */
const AVERAGE_PERIOD_MS = 300;

/** Figures that are older say nothing about the present: the average has been replaced by then. */
export const MAXIMUM_LOAD_AGE_MS = 1_000;

/** Interval at which peers are told of the load that a server reports. */
const REPORT_INTERVAL_MS = 100;

/** Figures within this period are the same reading of the machine, so they do not make the average more certain. */
const FIGURE_PERIOD_MS = 100;

/** Square of the smallest noise of the average relative to that of a figure, which follows from the two periods. */
const MINIMUM_SQUARED_WEIGHT = FIGURE_PERIOD_MS / (2 * AVERAGE_PERIOD_MS);

/** Relative deviation of a figure from the average that is assumed before any was observed, and the weight of one. */
const INITIAL_DEVIATION = 0.25;
const DEVIATION_GAIN = 0.05;

/** A request that was placed this long before a response may have arrived at the server after it was sent. */
const TRANSIT_MS = 5;

/** Range of work times, as accepted from servers and peers. */
const MINIMUM_WORK_TIME = 0.01;
const MAXIMUM_WORK_TIME = 100;

/**
 * Largest change of a predicted time due to the reported work time: in general, and for the pace of a server that has been
 * measured recently, which would show a larger change by itself.
 */
const MAXIMUM_SCALE = 4;
const MAXIMUM_MEASURED_SCALE = 2;

/** Recent observations from which on a server's own times count fully, and time after which they no longer count. */
const SUFFICIENT_OBSERVATIONS = 3;
const OBSERVATION_PERIOD_MS = 4_000;

/**
 * Time constant of the moving average of the ratio of observed to predicted slot times, and largest weight of one
 * observation. A request that began before the work time changed makes the ratio wrong once, false figures always. The range
 * of the ratio is that of the scale, so that the observed times can cancel any false figure.
 */
const CORRECTION_PERIOD_MS = 3_000;
const MAXIMUM_CORRECTION_GAIN = 0.1;

/**
 * Keeps the load that one server reports, and derives from it how much its predicted times change and how many requests
 * it has.
 *
 * Load pattern: servers share their machines with others, so that the same work takes a multiple of its usual time on
 * some of them, for periods much shorter than the time in which observed times would show it. Many routers see the same
 * figures, and would all send their next requests to the server that looks best.
 */
export class ServerLoadTracker {
	private mean: number | undefined;
	private meanAt = -Infinity;
	private deviation = INITIAL_DEVIATION;
	/** Sum of the squared weights of the figures in the average: 1 for a single figure, less for many. */
	private squaredWeight = 1;
	private known = 0;
	private reportedWaiting = 0;
	private reportedSlots: number;
	private answeredAt = -Infinity;
	/** Times of placements that the latest counts do not include. */
	private placedAt: number[] = [];
	/** Work time to which the observed times of the server belong. */
	private reference = 1;
	private observations = 0;
	private observedAt = 0;
	private correctionFactor = 1;
	private readonly unsentWorkTimes = MeanOfUnsent.create();
	private readonly unsentSlotTimes = MeanOfUnsent.create();
	private reportedAt = -Infinity;
	private hasUnreadable = false;

	/** Predicted milliseconds for which a request occupies a slot; undefined unless the server's service is plain. */
	public slotTimeMs: number | undefined;

	private constructor(slots: number) {
		this.reportedSlots = Math.max(1, slots);
	}

	/**
	 * @param slots slots of the server according to its registration
	 * @returns the state of a server that has reported nothing
	 */
	public static create(slots: number): ServerLoadTracker {
		return new ServerLoadTracker(slots);
	}

	/**
	 * Records the figures of a response.
	 *
	 * @param load figures of the response
	 * @param answeredAt monotonic milliseconds at which the response began; counts older than the latest are ignored
	 */
	public record(load: ServerLoad, answeredAt: number): void {
		if (load.workTime !== undefined) {
			this.addWorkTime(limit(load.workTime, MINIMUM_WORK_TIME, MAXIMUM_WORK_TIME), answeredAt);
		}
		this.replaceCounts(load.running + load.waiting, load.waiting, load.slots, answeredAt);
	}

	/**
	 * Applies the estimate of the queue owner.
	 *
	 * @param combined estimate of the owner
	 * @param reportedAt monotonic milliseconds at which it was made
	 */
	public applyCombined(combined: CombinedLoad, reportedAt: number): void {
		if (reportedAt < this.meanAt) {
			return;
		}
		this.mean = limit(combined.workTime, MINIMUM_WORK_TIME, MAXIMUM_WORK_TIME);
		this.meanAt = reportedAt;
		this.squaredWeight = MINIMUM_SQUARED_WEIGHT;
		this.replaceCounts(combined.inProgress, combined.waiting, this.reportedSlots, reportedAt);
	}

	/**
	 * Adds figures of a response to this router to the next notice to its peers.
	 *
	 * @param load figures of the response
	 * @param now monotonic milliseconds
	 * @returns what to notify peers of; undefined while the last notice is too recent
	 */
	public takeNotice(load: ServerLoad, now: number): Pick<ServerLoadReport, 'load' | 'slotTimeMs' | 'at'> | undefined {
		if (load.workTime !== undefined) {
			this.unsentWorkTimes.add(load.workTime);
		}
		if (now - this.reportedAt < REPORT_INTERVAL_MS) {
			return undefined;
		}
		this.reportedAt = now;
		const workTime = this.unsentWorkTimes.take();
		return { load: { ...load, workTime }, slotTimeMs: this.unsentSlotTimes.take(), at: now };
	}

	/** @param slotTimeMs slot time of a request of this router, for the next notice to its peers */
	public addUnsentSlotTime(slotTimeMs: number): void {
		this.unsentSlotTimes.add(slotTimeMs);
	}

	/** @returns whether this is the first unreadable figure of the server */
	public markUnreadable(): boolean {
		const isFirst = !this.hasUnreadable;
		this.hasUnreadable = true;
		return isFirst;
	}

	/**
	 * Counts a request that some router has placed and the latest counts do not include.
	 *
	 * @param now monotonic milliseconds
	 */
	public recordPlacement(now: number): void {
		if (this.slotTimeMs !== undefined && this.isRecent(this.answeredAt, now)) {
			this.placedAt.push(now);
		}
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns average duration of work relative to the usual one; undefined when the figures are too old
	 */
	public workTime(now: number): number | undefined {
		return this.isRecent(this.meanAt, now) ? this.mean : undefined;
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns relative standard error of the average; 0 when the figures are too old
	 */
	public noise(now: number): number {
		return this.workTime(now) === undefined ? 0 : this.deviation * Math.sqrt(this.squaredWeight);
	}

	/**
	 * Estimates the number of requests at a server of a plain service. The queue that it has reported is processed in the
	 * meantime. For the requests that it processes, others probably arrive that are not known here.
	 *
	 * @param now monotonic milliseconds
	 * @returns number of requests, also fractional; undefined when the counts are too old or the service is not plain
	 */
	public inProgress(now: number): number | undefined {
		if (this.slotTimeMs === undefined || !this.isRecent(this.answeredAt, now)) {
			return undefined;
		}
		const requests = this.known + this.placedAt.length;
		const elapsedMs = Math.max(0, now - this.answeredAt);
		const finished = (elapsedMs * Math.min(requests, this.reportedSlots)) / this.slotTimeMs;
		return Math.max(Math.min(requests, this.reportedSlots), requests - finished);
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns estimated number of requests that wait at the server; undefined when the counts are too old
	 */
	public waiting(now: number): number | undefined {
		const inProgress = this.inProgress(now);
		if (inProgress !== undefined) {
			return Math.max(0, inProgress - this.reportedSlots);
		}
		return this.isRecent(this.answeredAt, now) ? this.reportedWaiting : undefined;
	}

	/** Requests that the server processes at the same time, as last reported. */
	public get slots(): number {
		return this.reportedSlots;
	}

	/**
	 * Records that the pace of the server has been measured, which thus includes the present work time.
	 *
	 * @param gain weight of the observation in the measured pace, from 0 to 1
	 * @param now monotonic milliseconds
	 */
	public recordPace(gain: number, now: number): void {
		this.reference += gain * ((this.workTime(now) ?? this.reference) - this.reference);
		this.countObservation(now);
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns factor by which times that follow from the measured pace change due to the work time; 1 without figures
	 */
	public paceScale(now: number): number {
		if (this.mean === undefined) {
			return 1;
		}
		const isMeasured = this.recentObservations(now) >= SUFFICIENT_OBSERVATIONS;
		return this.scaleFrom(this.reference, now, isMeasured ? MAXIMUM_MEASURED_SCALE : MAXIMUM_SCALE);
	}

	/**
	 * Records a slot time of a server of a plain service.
	 *
	 * @param ratio observed slot time relative to the one predicted from the service's mean and the work time
	 * @param now monotonic milliseconds
	 */
	public recordSlotTime(ratio: number, now: number): void {
		const limited = limit(ratio, 1 / MAXIMUM_SCALE, MAXIMUM_SCALE);
		const elapsedMs = Math.max(0, now - this.observedAt);
		const gain = Math.min(MAXIMUM_CORRECTION_GAIN, 1 - Math.exp(-elapsedMs / CORRECTION_PERIOD_MS));
		this.correctionFactor += gain * (limited - this.correctionFactor);
		this.countObservation(now);
	}

	/**
	 * Without this factor, a server that reports false figures would receive most requests, or none.
	 *
	 * @param now monotonic milliseconds
	 * @returns mean ratio of the observed slot times to those that the figures predict; 1 without recent observations
	 */
	public correction(now: number): number {
		return 1 + (this.correctionFactor - 1) * Math.min(1, this.recentObservations(now) / SUFFICIENT_OBSERVATIONS);
	}

	/**
	 * @param reference work time to which a known time belongs
	 * @param now monotonic milliseconds
	 * @param maximum largest factor; the smallest one is its inverse
	 * @returns factor by which this time changes due to the present work time; 1 without figures
	 */
	public scaleFrom(reference: number, now: number, maximum = MAXIMUM_SCALE): number {
		const workTime = this.workTime(now);
		return workTime === undefined ? 1 : limit(workTime / reference, 1 / maximum, maximum);
	}

	private addWorkTime(figure: number, answeredAt: number): void {
		if (this.mean === undefined || !this.isRecent(this.meanAt, answeredAt)) {
			this.mean = figure;
			this.meanAt = answeredAt;
			this.squaredWeight = 1;
			return;
		}
		const deviation = Math.abs(figure - this.mean) / this.mean;
		this.deviation += DEVIATION_GAIN * (deviation - this.deviation);
		// Several figures of the same millisecond would otherwise have no weight at all.
		const elapsedMs = Math.max(1, answeredAt - this.meanAt);
		const gain = 1 - Math.exp(-elapsedMs / AVERAGE_PERIOD_MS);
		this.mean += gain * (figure - this.mean);
		this.squaredWeight = Math.max(MINIMUM_SQUARED_WEIGHT, (1 - gain) ** 2 * this.squaredWeight + gain ** 2);
		this.meanAt = Math.max(this.meanAt, answeredAt);
	}

	private replaceCounts(known: number, waiting: number, slots: number, answeredAt: number): void {
		if (answeredAt < this.answeredAt) {
			return;
		}
		this.known = known;
		this.reportedWaiting = waiting;
		if (slots > 0) {
			this.reportedSlots = slots;
		}
		this.answeredAt = answeredAt;
		if (this.placedAt.length > 0) {
			this.placedAt = this.placedAt.filter((at) => at > answeredAt - TRANSIT_MS);
		}
	}

	private recentObservations(now: number): number {
		// A linear decay, because this is computed for each server of each request.
		return this.observations * Math.max(0, 1 - Math.max(0, now - this.observedAt) / OBSERVATION_PERIOD_MS);
	}

	private countObservation(now: number): void {
		this.observations = this.recentObservations(now) + 1;
		this.observedAt = now;
	}

	private isRecent(at: number, now: number): boolean {
		return now - at <= MAXIMUM_LOAD_AGE_MS;
	}
}

/** Mean of the figures that peers have not been told of yet. */
class MeanOfUnsent {
	private sum = 0;
	private count = 0;

	private constructor() {}

	public static create(): MeanOfUnsent {
		return new MeanOfUnsent();
	}

	public add(figure: number): void {
		this.sum += figure;
		this.count++;
	}

	public take(): number | undefined {
		const mean = this.count === 0 ? undefined : this.sum / this.count;
		this.sum = 0;
		this.count = 0;
		return mean;
	}
}

/**
 * Random part of the placement cost. It spreads requests over servers whose predicted times differ by less than the noise
 * of the figures; otherwise all routers would choose the same server at the same time.
 *
 * @param noise relative standard error of the predicted time
 * @param predictedMs predicted time of the request
 * @param random number from 0 to 1
 * @returns milliseconds to add to the cost; may be negative
 */
export function spreadCostMs(noise: number, predictedMs: number, random: number): number {
	return noise === 0 ? 0 : (2 * random - 1) * noise * predictedMs;
}

function limit(value: number, minimum: number, maximum: number): number {
	return Math.min(maximum, Math.max(minimum, value));
}
