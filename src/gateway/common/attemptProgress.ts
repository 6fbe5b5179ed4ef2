import { PART_SURVIVAL_MS } from '../../backends/common/suspectRegistry.js';

/** What has arrived of the response to one attempt. */
export class AttemptProgress {
	private beganAt: number | undefined;
	private byteCount = 0;
	private survived = false;

	private constructor(private readonly onSurvival: () => void) {}

	/**
	 * @param onSurvival called once, when the server has survived the parts of the prompt
	 * @returns the progress of an attempt without a response
	 */
	public static create(onSurvival: () => void): AttemptProgress {
		return new AttemptProgress(onSurvival);
	}

	/** Bytes of the body that have arrived. */
	public get bytes(): number {
		return this.byteCount;
	}

	/** Whether the server has survived the parts of the prompt. */
	public get hasSurvived(): boolean {
		return this.survived;
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns milliseconds since the first bytes of the body; undefined before they have arrived
	 */
	public sinceFirstBytesMs(now: number): number | undefined {
		return this.beganAt === undefined ? undefined : now - this.beganAt;
	}

	/**
	 * Records bytes of the body.
	 *
	 * @param count number of bytes
	 * @param now monotonic milliseconds
	 */
	public recordBytes(count: number, now: number): void {
		this.beganAt ??= now;
		this.byteCount += count;
		if (now - this.beganAt >= PART_SURVIVAL_MS) {
			this.recordSurvival();
		}
	}

	/** Records that the server has survived the parts of the prompt, such as by a complete response. */
	public recordSurvival(): void {
		if (!this.survived) {
			this.survived = true;
			this.onSurvival();
		}
	}
}
