import type { ResponseHead } from '../../backends/common/backendClient.js';
import { EventStream } from '../../dispatch/node/eventStream.js';

/** Media type of a stream of server-sent events. */
const EVENT_STREAM_TYPE = 'text/event-stream';

/**
 * Checks that a stream of events ends with a whole event, however it is framed, and that the parts of a response that come
 * from several servers make up one response. A stream that a server has
 * begun and broken off may be continued by another one, with later events of the same stream and nothing else.
 */
export class ResponseContinuity {
	private head: ResponseHead | undefined;
	private events: EventStream | undefined;

	private constructor(private readonly isResumable: boolean) {
		this.events = isResumable ? EventStream.create(true) : undefined;
	}

	/**
	 * @param isResumable whether another server may continue a stream
	 * @returns the state of a response that has not begun
	 */
	public static create(isResumable: boolean): ResponseContinuity {
		return new ResponseContinuity(isResumable);
	}

	/** `id` of the last event that was passed on. */
	public get lastEventId(): string | undefined {
		return this.events?.lastEventId;
	}

	/** @param head head of the response that is passed to the caller */
	public begin(head: ResponseHead): void {
		this.head = head;
		if (!this.isResumable && isEventStream(head)) {
			this.events = EventStream.create(false);
		}
	}

	/**
	 * @param head head of another server's response, after the first one has been passed to the caller
	 * @returns why the response cannot continue the first one; undefined if it may
	 */
	public findHeadFault(head: ResponseHead): string | undefined {
		if (head.status !== this.head?.status) {
			return `answered the resumed stream with status ${head.status}`;
		}
		const mediaType = mediaTypeOf(head);
		return mediaType === mediaTypeOf(this.head)
			? undefined
			: `answered the resumed stream with the media type ${mediaType}`;
	}

	/**
	 * @param chunk next bytes of the body
	 * @returns bytes to pass on now, if any
	 */
	public push(chunk: Buffer): Buffer | undefined {
		return this.events === undefined ? chunk : this.events.push(chunk);
	}

	/** @returns why the bytes received so far are not a valid response; undefined if they may be */
	public findFault(): string | undefined {
		return this.events?.findFault();
	}

	/** Whether the response is a stream of events and ends within one. */
	public get endsWithinEvent(): boolean {
		return this.head !== undefined && isEventStream(this.head) && this.events?.endsWithinEvent === true;
	}

	/** @returns why a response whose framing is complete is not whole; undefined if it may be */
	public findEndFault(): string | undefined {
		return this.events?.findFault() ?? (this.endsWithinEvent ? 'ended the stream within an event' : undefined);
	}

	/** Discards the incomplete rest of a failed attempt, before another server is asked. */
	public prepareNextAttempt(): void {
		if (this.head === undefined) {
			this.events?.takeBuffered();
		} else {
			this.events?.prepareResumption();
		}
	}

	/** @returns the buffered rest of a complete response, if any */
	public takeBuffered(): Buffer | undefined {
		return this.events?.takeBuffered();
	}
}

function isEventStream(head: ResponseHead): boolean {
	return mediaTypeOf(head) === EVENT_STREAM_TYPE;
}

function mediaTypeOf({ headers }: ResponseHead): string {
	const type = headers['content-type'];
	const [mediaType = ''] = (typeof type === 'string' ? type : (type?.[0] ?? '')).split(';');
	return mediaType.trim().toLowerCase();
}
