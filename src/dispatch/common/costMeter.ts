import type { IClock } from '../../base/common/clock.js';
import type { ServiceKind } from '../../configuration/common/model.js';

/** Cost units per generated token; a prompt token costs a fraction of it, since prompts are processed in batches. */
const GENERATED_TOKEN_COST = 1;
const PROMPT_TOKEN_COST = 0.05;

/** Bytes of prompt that make about one token. */
const BYTES_PER_PROMPT_TOKEN = 4;

/**
 * Measures the service that one attempt receives while it runs: tokens for model engines, elapsed milliseconds for plain
 * services. An attempt that is refused receives none.
 */
export class CostMeter {
	private countedUntil = 0;

	private constructor(
		private readonly kind: ServiceKind,
		private readonly clock: IClock,
		private readonly charge: (costUnits: number) => void,
	) {}

	/**
	 * @param kind decides the cost unit
	 * @param clock measures elapsed time
	 * @param charge called with service as it is delivered
	 * @returns a meter that has not started
	 */
	public static create(kind: ServiceKind, clock: IClock, charge: (costUnits: number) => void): CostMeter {
		return new CostMeter(kind, clock, charge);
	}

	/** The request was sent. */
	public start(): void {
		this.countedUntil = this.clock.now();
	}

	/**
	 * The answer began.
	 *
	 * @param requestBytes size of the request's body
	 */
	public chargePrompt(requestBytes: number): void {
		if (this.kind === 'model-engine') {
			this.charge((requestBytes / BYTES_PER_PROMPT_TOKEN) * PROMPT_TOKEN_COST);
		}
	}

	/** @param count generated tokens that arrived */
	public chargeTokens(count: number): void {
		if (count > 0) {
			this.charge(count * GENERATED_TOKEN_COST);
		}
	}

	/** Charges the time that has passed since the last call. */
	public chargeElapsedTime(): void {
		if (this.kind !== 'plain' || this.countedUntil === 0) {
			return;
		}
		const now = this.clock.now();
		this.charge(now - this.countedUntil);
		this.countedUntil = now;
	}
}
