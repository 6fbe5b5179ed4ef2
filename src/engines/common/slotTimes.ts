/** Weight of one request in the moving average of the slot occupancy time. */
const SLOT_TIME_GAIN = 0.05;

/** Slot occupancy time assumed for a token stream before the first observation. */
const INITIAL_STREAM_SLOT_TIME_MS = 2_000;

/** Slot occupancy time assumed for a plain request before the first observation. */
const INITIAL_PLAIN_SLOT_TIME_MS = 50;

/** Measures for how long the requests of each service occupy a slot. */
export class SlotTimes {
	/** Moving averages in milliseconds by service. */
	private readonly means = new Map<string, number>();

	private constructor() {}

	/** @returns an instance without observations */
	public static create(): SlotTimes {
		return new SlotTimes();
	}

	/**
	 * Records a completed request of this router.
	 *
	 * @param service name of its service
	 * @param slotTimeMs milliseconds for which it occupied a slot
	 */
	public record(service: string, slotTimeMs: number): void {
		const meanMs = this.means.get(service) ?? slotTimeMs;
		this.means.set(service, meanMs + SLOT_TIME_GAIN * (slotTimeMs - meanMs));
	}

	/**
	 * @param service name of a service
	 * @param isStream whether its requests are token streams, which determines the time before the first observation
	 * @returns mean milliseconds for which a request occupies a slot
	 */
	public meanMs(service: string, isStream: boolean): number {
		return this.means.get(service) ?? (isStream ? INITIAL_STREAM_SLOT_TIME_MS : INITIAL_PLAIN_SLOT_TIME_MS);
	}
}
