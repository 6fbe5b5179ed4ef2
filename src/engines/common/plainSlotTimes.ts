import type { ServerLoadTracker } from './serverLoad.js';

interface ServiceSlotTime {
	/** Mean slot time of the service's servers. */
	meanMs: number;
	/** Mean work time that they reported meanwhile. */
	workTime: number;
}

/** Weight of one request in the moving averages. */
const GAIN = 0.02;

/** Slot time assumed before the first observation, on a machine on which work takes as long as usual. */
const INITIAL_SLOT_TIME_MS = 50;

/**
 * Predicts for how long requests occupy a slot at the servers of plain services that report how long work takes.
 *
 * Load pattern: a service has three servers, on machines of which one is several times slower than the others at times. A
 * mean over all servers would send a third of the requests to it.
 */
export class PlainSlotTimes {
	private readonly services = new Map<string, ServiceSlotTime>();

	private constructor() {}

	/** @returns an instance without observations */
	public static create(): PlainSlotTimes {
		return new PlainSlotTimes();
	}

	/**
	 * Records a completed request of this router. A request that ends while others wait probably waited itself; its time would make the
	 * slot time, and with it the predicted wait, ever longer, so it is used only while nothing else is known.
	 *
	 * @param service name of the service
	 * @param load load of its server
	 * @param slotTimeMs milliseconds from the placement to the end
	 * @param now monotonic milliseconds
	 */
	public record(service: string, load: ServerLoadTracker, slotTimeMs: number, now: number): void {
		const isKnown = this.services.has(service);
		if (!isKnown || load.waiting(now) === 0) {
			this.apply(service, load, slotTimeMs, now);
			load.addUnsentSlotTime(slotTimeMs);
		}
	}

	/**
	 * Applies a slot time that this router or a peer has recorded. Without those of peers, a queue owner would know those of
	 * one request in eighty, too few to notice that figures are false.
	 *
	 * @param service name of the service
	 * @param load load of its server
	 * @param slotTimeMs milliseconds from the placement of a request to its end
	 * @param now monotonic milliseconds
	 */
	public apply(service: string, load: ServerLoadTracker, slotTimeMs: number, now: number): void {
		const workTime = load.workTime(now);
		if (workTime === undefined) {
			return;
		}
		const known = this.services.get(service);
		if (known === undefined) {
			this.services.set(service, { meanMs: slotTimeMs, workTime });
			return;
		}
		load.recordSlotTime(slotTimeMs / Math.max(1, known.meanMs * load.scaleFrom(known.workTime, now)), now);
		known.meanMs += GAIN * (slotTimeMs - known.meanMs);
		known.workTime += GAIN * (workTime - known.workTime);
	}

	/**
	 * @param service name of the service
	 * @param load load of one of its servers
	 * @param now monotonic milliseconds
	 * @returns predicted milliseconds for which a request occupies a slot of the server
	 */
	public predict(service: string, load: ServerLoadTracker, now: number): number {
		const { meanMs, workTime } = this.services.get(service) ?? { meanMs: INITIAL_SLOT_TIME_MS, workTime: 1 };
		const factor = load.workTime(now) === undefined ? 1 : load.scaleFrom(workTime, now) * load.correction(now);
		return Math.max(1, meanMs * factor);
	}
}
