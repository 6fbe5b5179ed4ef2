import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const BURST_SECONDS = 0.25;
const MILLISECONDS_PER_SECOND = 1_000;
const DEFAULT_SEED = 1;

/** `refused`: connections are refused. `hanging`: connections are accepted, calls have no effect and get no response. */
export type StoreMode = 'up' | 'refused' | 'hanging';

/** Faults of the store that a test can set; fields that are omitted keep their values. */
export interface StoreFaultSettings {
	readonly mode?: StoreMode;
	/** Delay of each response in milliseconds; the call takes effect at once. */
	readonly delay_ms?: number;
	/** Probability that the connection breaks after a write has taken effect and before its response is sent. */
	readonly lose_answers?: number;
	/** Seed for choosing the lost responses; restarts the sequence. */
	readonly seed?: number;
	/** Calls beyond this rate are refused with 429; 0 for no limit. */
	readonly writes_per_s?: number;
	/** Calls beyond this rate are refused with 429; 0 for no limit. */
	readonly reads_per_s?: number;
}

class RateLimit {
	private tokens = 0;
	private refilledAt = 0;

	public constructor(private readonly perSecond: number) {
		this.tokens = this.burstSize();
		this.refilledAt = performance.now();
	}

	public tryTake(): boolean {
		if (this.perSecond === 0) {
			return true;
		}
		const now = performance.now();
		this.tokens = Math.min(
			this.burstSize(),
			this.tokens + ((now - this.refilledAt) * this.perSecond) / MILLISECONDS_PER_SECOND,
		);
		this.refilledAt = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

	private burstSize(): number {
		return Math.max(1, this.perSecond * BURST_SECONDS);
	}
}

/** The faults that currently apply to the store. */
export class StoreFaults {
	public mode: StoreMode = 'up';
	public delayMs = 0;
	private lossProbability = 0;
	private random = xoroshiro128plus(DEFAULT_SEED);
	private writes = new RateLimit(0);
	private reads = new RateLimit(0);

	public set(settings: StoreFaultSettings): void {
		this.mode = settings.mode ?? this.mode;
		this.delayMs = settings.delay_ms ?? this.delayMs;
		this.lossProbability = settings.lose_answers ?? this.lossProbability;
		this.random = settings.seed === undefined ? this.random : xoroshiro128plus(settings.seed);
		this.writes = settings.writes_per_s === undefined ? this.writes : new RateLimit(settings.writes_per_s);
		this.reads = settings.reads_per_s === undefined ? this.reads : new RateLimit(settings.reads_per_s);
	}

	/** @returns whether the rate allows one more call */
	public admit(kind: 'read' | 'write'): boolean {
		return (kind === 'read' ? this.reads : this.writes).tryTake();
	}

	/** @returns whether the response to this write is lost */
	public shouldDropResponse(): boolean {
		return this.lossProbability > 0 && uniformFloat64(this.random) < this.lossProbability;
	}
}
