import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const BURST_SECONDS = 0.25;
const MILLISECONDS = 1_000;
const DEFAULT_SEED = 1;

/** `refused`: connections are refused. `hanging`: connections are accepted, calls have no effect and no answer. */
export type StoreMode = 'up' | 'refused' | 'hanging';

/** Faults of the store that a test can set; what a command leaves out stays as it is. */
export interface StoreFaultSettings {
	readonly mode?: StoreMode;
	/** Milliseconds by which each answer is late; the call takes effect at once. */
	readonly delay_ms?: number;
	/** Probability with which the connection breaks after a write took effect and before its answer. */
	readonly lose_answers?: number;
	/** Restarts the sequence of losses. */
	readonly seed?: number;
	/** Calls beyond this rate are refused with 429; 0 for no limit. */
	readonly writes_per_s?: number;
	/** Calls beyond this rate are refused with 429; 0 for no limit. */
	readonly reads_per_s?: number;
}

class RateLimit {
	private tokens = 0;
	private filledAt = 0;

	public constructor(private readonly perSecond: number) {
		this.tokens = this.burst();
		this.filledAt = performance.now();
	}

	public take(): boolean {
		if (this.perSecond === 0) {
			return true;
		}
		const now = performance.now();
		this.tokens = Math.min(this.burst(), this.tokens + ((now - this.filledAt) * this.perSecond) / MILLISECONDS);
		this.filledAt = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

	private burst(): number {
		return Math.max(1, this.perSecond * BURST_SECONDS);
	}
}

/** The store's faults in force. */
export class StoreFaults {
	public mode: StoreMode = 'up';
	public delayMs = 0;
	private loseProbability = 0;
	private random = xoroshiro128plus(DEFAULT_SEED);
	private writes = new RateLimit(0);
	private reads = new RateLimit(0);

	public set(settings: StoreFaultSettings): void {
		this.mode = settings.mode ?? this.mode;
		this.delayMs = settings.delay_ms ?? this.delayMs;
		this.loseProbability = settings.lose_answers ?? this.loseProbability;
		this.random = settings.seed === undefined ? this.random : xoroshiro128plus(settings.seed);
		this.writes = settings.writes_per_s === undefined ? this.writes : new RateLimit(settings.writes_per_s);
		this.reads = settings.reads_per_s === undefined ? this.reads : new RateLimit(settings.reads_per_s);
	}

	/** @returns whether the rate allows one more call */
	public admit(kind: 'read' | 'write'): boolean {
		return (kind === 'read' ? this.reads : this.writes).take();
	}

	/** @returns whether the answer of this write is lost */
	public shouldDropResponse(): boolean {
		return this.loseProbability > 0 && uniformFloat64(this.random) < this.loseProbability;
	}
}
