import type { ResponseHead, IResponseSink } from '../../backends/common/backendClient.js';
import { valuesOf } from '../../base/common/headerFields.js';
import type { StoredOutcome } from '../../idempotency/common/idempotencyService.js';
import { countTokens, EventStream } from './eventStream.js';

/** Responses up to this size are buffered until they are complete, so that an interrupted one can be retried. */
const BUFFERED_RESPONSE_BYTES = 64 * 1024;

/** Responses to recorded calls are buffered up to this size, which is the limit of a record. */
const RECORDED_RESPONSE_BYTES = 512 * 1024;

const EVENT_STREAM_TYPE = 'text/event-stream';

/** Properties of a request that determine how its response is relayed. */
export interface RelayOptions {
	/** Whether the backend server may respond with an event stream, which must end with an end marker. */
	readonly modelEngine: boolean;
	readonly resumable: boolean;
	/** Whether the response is stored for resends of the call. */
	readonly recorded: boolean;
}

/** Relays the response to one request to its caller, across several attempts if a stream is resumed. */
export class ResponseRelay {
	private head: ResponseHead | undefined;
	private stream: EventStream | undefined;
	private held: Buffer[] | undefined;
	private bufferedBytes = 0;
	private started = false;

	private constructor(
		private readonly sink: IResponseSink,
		private readonly options: RelayOptions,
	) {}

	/**
	 * @param sink receives the response for the caller
	 * @param options properties of the request
	 * @returns a relay that has not passed anything to the sink
	 */
	public static create(sink: IResponseSink, options: RelayOptions): ResponseRelay {
		return new ResponseRelay(sink, options);
	}

	/** Whether parts of the response have been passed to the caller. */
	public get responseStarted(): boolean {
		return this.started;
	}

	/** `id` of the event after which the stream can be resumed; undefined when it cannot be resumed. */
	public get resumeFrom(): string | undefined {
		return this.options.resumable && this.started ? this.stream?.lastEventId : undefined;
	}

	/**
	 * Handles the response head of an attempt.
	 *
	 * @param head status and headers
	 * @returns false when a stream has been started and this response does not continue it
	 */
	public begin(head: ResponseHead): boolean {
		const isStream = this.options.modelEngine && isEventStream(head);
		if (this.started) {
			this.stream?.prepareResumption();
			return isStream && head.status === this.head?.status;
		}
		this.head = head;
		this.stream = isStream ? EventStream.create(this.options.resumable) : undefined;
		this.held = isStream ? undefined : [];
		this.bufferedBytes = 0;
		return true;
	}

	/**
	 * Handles the next bytes of the response.
	 *
	 * @param chunk bytes as received
	 * @param resume called when the caller's side accepts bytes again, if the result was false
	 * @param onTokens called with the number of generated tokens in the chunk
	 * @returns whether more bytes are accepted now
	 */
	public write(chunk: Uint8Array, resume: () => void, onTokens: (count: number) => void): boolean {
		const bytes = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
		if (this.stream !== undefined) {
			onTokens(countTokens(bytes));
			const ready = this.stream.push(bytes);
			return ready === undefined || this.forward(ready, resume);
		}
		if (this.held === undefined) {
			return this.forward(bytes, resume);
		}
		this.held.push(bytes);
		this.bufferedBytes += bytes.length;
		const limit = this.options.recorded ? RECORDED_RESPONSE_BYTES : BUFFERED_RESPONSE_BYTES;
		return this.bufferedBytes <= limit || this.flush(resume);
	}

	/** @returns why the bytes received so far are not a valid stream; undefined if they may be */
	public findFault(): string | undefined {
		return this.stream?.findFault();
	}

	/** @returns whether the response, which has ended, is complete */
	public isComplete(): boolean {
		return this.stream === undefined || this.stream.isComplete;
	}

	/** @returns whether the response is a stream whose end marker has arrived */
	public hasEndMarker(): boolean {
		return this.stream?.isComplete === true;
	}

	/** Passes on the buffered rest of a complete response. */
	public finish(): void {
		// The response has ended, so backpressure from the caller is irrelevant.
		const ignore = (): void => undefined;
		const tail = this.stream?.takeBuffered();
		if (tail !== undefined) {
			this.forward(tail, ignore);
		}
		this.flush(ignore);
	}

	/** @returns the complete response for the record of the call */
	public outcome(): StoredOutcome {
		return {
			status: this.head?.status ?? 0,
			headers: toHeaderList(this.head?.headers ?? {}),
			body: this.held === undefined ? undefined : Buffer.concat(this.held),
		};
	}

	private flush(resume: () => void): boolean {
		const held = this.held;
		this.held = undefined;
		if (held === undefined || held.length === 0) {
			this.ensureHeadSent();
			return true;
		}
		return this.forward(held.length === 1 && held[0] !== undefined ? held[0] : Buffer.concat(held), resume);
	}

	private forward(bytes: Buffer, resume: () => void): boolean {
		this.ensureHeadSent();
		return this.sink.write(bytes, resume);
	}

	private ensureHeadSent(): void {
		if (!this.started && this.head !== undefined) {
			this.started = true;
			this.sink.head(this.head);
		}
	}
}

function isEventStream(head: ResponseHead): boolean {
	const [type = ''] = valuesOf(head.headers['content-type']);
	return type.startsWith(EVENT_STREAM_TYPE);
}

function toHeaderList(headers: ResponseHead['headers']): (readonly [string, string])[] {
	return Object.entries(headers).flatMap(([name, value]) =>
		typeof value === 'string' ? [[name, value] as const] : value.map((item) => [name, item] as const),
	);
}
