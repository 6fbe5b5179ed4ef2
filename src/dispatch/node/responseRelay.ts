import type { ResponseHead, IResponseSink } from '../../backends/common/backendClient.js';
import type { StoredOutcome } from '../../idempotency/common/idempotencyService.js';
import { countTokens, EventStream } from './eventStream.js';

/** Answers up to this size are passed on when they are whole, so that one that is cut off can be retried. */
const HELD_ANSWER_BYTES = 64 * 1024;

/** Answers of recorded calls are kept up to this size; records hold as much. */
const RECORDED_ANSWER_BYTES = 512 * 1024;

const EVENT_STREAM_TYPE = 'text/event-stream';

/** What the relay needs to know of a request. */
export interface RelayOptions {
	/** The backend server may answer with a stream that needs an end marker. */
	readonly modelEngine: boolean;
	readonly resumable: boolean;
	/** The answer is kept for resends of the call. */
	readonly recorded: boolean;
}

/** Passes the answer of one request on to its caller, over several attempts where a stream is resumed. */
export class ResponseRelay {
	private head: ResponseHead | undefined;
	private stream: EventStream | undefined;
	private held: Buffer[] | undefined;
	private heldBytes = 0;
	private started = false;

	private constructor(
		private readonly sink: IResponseSink,
		private readonly options: RelayOptions,
	) {}

	/**
	 * @param sink the caller's side
	 * @param options what the relay needs to know of the request
	 * @returns a relay that has passed nothing on
	 */
	public static create(sink: IResponseSink, options: RelayOptions): ResponseRelay {
		return new ResponseRelay(sink, options);
	}

	/** Parts of the answer have gone to the caller. */
	public get responseStarted(): boolean {
		return this.started;
	}

	/** Event after which the stream can be resumed; undefined when it cannot. */
	public get resumeFrom(): string | undefined {
		return this.options.resumable && this.started ? this.stream?.lastEventId : undefined;
	}

	/**
	 * Takes the head of an attempt's answer.
	 *
	 * @param head status and headers
	 * @returns false when the attempt does not continue the stream that was begun
	 */
	public begin(head: ResponseHead): boolean {
		const isStream = this.options.modelEngine && isEventStream(head);
		if (this.started) {
			this.stream?.discardBuffered();
			return isStream && head.status === this.head?.status;
		}
		this.head = head;
		this.stream = isStream ? EventStream.create(this.options.resumable) : undefined;
		this.held = isStream ? undefined : [];
		this.heldBytes = 0;
		return true;
	}

	/**
	 * Takes the next bytes of the answer.
	 *
	 * @param chunk bytes as they arrived
	 * @param resume called when more bytes may come
	 * @param onTokens called with the number of generated tokens in the chunk
	 * @returns whether more bytes may come at once
	 */
	public write(chunk: Uint8Array, resume: () => void, onTokens: (count: number) => void): boolean {
		const bytes = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
		if (this.stream !== undefined) {
			onTokens(countTokens(bytes));
			const ready = this.stream.push(bytes);
			return ready === undefined || this.pass(ready, resume);
		}
		if (this.held === undefined) {
			return this.pass(bytes, resume);
		}
		this.held.push(bytes);
		this.heldBytes += bytes.length;
		const limit = this.options.recorded ? RECORDED_ANSWER_BYTES : HELD_ANSWER_BYTES;
		return this.heldBytes <= limit || this.flush(resume);
	}

	/** Whether bytes have arrived that cannot be an event of the stream. */
	public get isEventOversized(): boolean {
		return this.stream?.isEventOversized === true;
	}

	/** @returns whether the answer that has ended is whole */
	public isComplete(): boolean {
		return this.stream === undefined || this.stream.isComplete;
	}

	/** Passes on what was held back of an answer that is whole. */
	public finish(): void {
		// Nothing waits for the caller to take more: the answer has ended.
		const ignore = (): void => undefined;
		const tail = this.stream?.takeBuffered();
		if (tail !== undefined) {
			this.pass(tail, ignore);
		}
		this.flush(ignore);
	}

	/** @returns the whole answer for the call's record */
	public outcome(): StoredOutcome {
		return {
			status: this.head?.status ?? 0,
			headers: flatten(this.head?.headers ?? {}),
			body: this.held === undefined ? undefined : Buffer.concat(this.held),
		};
	}

	private flush(resume: () => void): boolean {
		const held = this.held;
		this.held = undefined;
		if (held === undefined || held.length === 0) {
			this.start();
			return true;
		}
		return this.pass(held.length === 1 && held[0] !== undefined ? held[0] : Buffer.concat(held), resume);
	}

	private pass(bytes: Buffer, resume: () => void): boolean {
		this.start();
		return this.sink.write(bytes, resume);
	}

	private start(): void {
		if (!this.started && this.head !== undefined) {
			this.started = true;
			this.sink.head(this.head);
		}
	}
}

function isEventStream(head: ResponseHead): boolean {
	const type = head.headers['content-type'];
	return typeof type === 'string' && type.startsWith(EVENT_STREAM_TYPE);
}

function flatten(headers: ResponseHead['headers']): (readonly [string, string])[] {
	return Object.entries(headers).flatMap(([name, value]) =>
		typeof value === 'string' ? [[name, value] as const] : value.map((item) => [name, item] as const),
	);
}
