import type { IClock } from '../../base/common/clock.js';
import type { ServiceKind } from '../../configuration/common/model.js';

/** Cost units per token. A prompt token costs a fraction of a generated one, since prompts are processed in batches. */
const GENERATED_TOKEN_COST = 1;
const PROMPT_TOKEN_COST = 0.05;

/** Approximate number of prompt bytes per token. */
const BYTES_PER_PROMPT_TOKEN = 4;

/**
 * Measures the service delivered to one attempt while it runs: tokens for model engines, elapsed milliseconds for plain
 * services. A refused attempt is charged nothing.
 */
export class CostMeter {
	private chargedUntil = 0;

	private constructor(
		private readonly kind: ServiceKind,
		private readonly clock: IClock,
		private readonly charge: (costUnits: number) => void,
	) {}

	/**
	 * @param kind kind of service, which determines the cost unit
	 * @param clock measures elapsed time
	 * @param charge called with the cost of service as it is delivered
	 * @returns a meter that is not started
	 */
	public static create(kind: ServiceKind, clock: IClock, charge: (costUnits: number) => void): CostMeter {
		return new CostMeter(kind, clock, charge);
	}

	/** Starts the measurement of time. Called when the request is sent. */
	public start(): void {
		this.chargedUntil = this.clock.now();
	}

	/**
	 * Charges the prompt of a model engine. Called when the response begins.
	 *
	 * @param requestBytes size of the request body in bytes
	 */
	public chargePrompt(requestBytes: number): void {
		if (this.kind === 'model-engine') {
			this.charge((requestBytes / BYTES_PER_PROMPT_TOKEN) * PROMPT_TOKEN_COST);
		}
	}

	/** @param count number of generated tokens that arrived */
	public chargeTokens(count: number): void {
		if (count > 0) {
			this.charge(count * GENERATED_TOKEN_COST);
		}
	}

	/** Charges a plain service for the time since the last call. */
	public chargeElapsedTime(): void {
		if (this.kind !== 'plain' || this.chargedUntil === 0) {
			return;
		}
		const now = this.clock.now();
		this.charge(now - this.chargedUntil);
		this.chargedUntil = now;
	}
}
