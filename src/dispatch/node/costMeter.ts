import type { DispatchRequest } from '../common/dispatchService.js';

/** Cost units per generated token; a prompt token costs a fraction of it, since prompts are processed in batches. */
const GENERATED_TOKEN_COST = 1;
const PROMPT_TOKEN_COST = 0.05;

/** Bytes of prompt that make about one token. */
const BYTES_PER_PROMPT_TOKEN = 4;

const EVENT_START = Buffer.from('data:');

/**
 * Measures the service that a request receives while it runs: tokens for model engines, elapsed milliseconds for plain
 * services.
 */
export class CostMeter {
	private readonly startedAt = performance.now();

	private constructor(
		private readonly request: DispatchRequest,
		private readonly charge: (costUnits: number) => void,
	) {
		if (request.service.kind === 'model-engine') {
			charge((request.request.body.length / BYTES_PER_PROMPT_TOKEN) * PROMPT_TOKEN_COST);
		}
	}

	/**
	 * @param request running request
	 * @param charge called with service as it is delivered
	 * @returns a meter that started now
	 */
	public static create(request: DispatchRequest, charge: (costUnits: number) => void): CostMeter {
		return new CostMeter(request, charge);
	}

	/** @param chunk bytes of the answer */
	public write(chunk: Uint8Array): void {
		if (this.request.service.kind !== 'model-engine') {
			return;
		}
		const buffer = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
		let tokens = 0;
		for (let at = buffer.indexOf(EVENT_START); at >= 0; at = buffer.indexOf(EVENT_START, at + EVENT_START.length)) {
			tokens++;
		}
		if (tokens > 0) {
			this.charge(tokens * GENERATED_TOKEN_COST);
		}
	}

	/** Ends the measurement. */
	public end(): void {
		if (this.request.service.kind === 'plain') {
			this.charge(performance.now() - this.startedAt);
		}
	}
}
