import { GrowingBuffer } from '../../base/node/growingBuffer.js';

const DATA_FIELD = Buffer.from('data:');
const DATA_LINE_START = Buffer.from('\ndata:');
const EVENT_END = Buffer.from('\n\n');
const EVENT_END_WITH_RETURNS = Buffer.from('\r\n\r\n');
const ID_START = Buffer.from('id:');
const ID_LINE_START = Buffer.from('\nid:');
const END_MARKER = Buffer.from('data: [DONE]');
const END_MARKER_LINE = Buffer.from('\ndata: [DONE]');
const NO_CHOICES = Buffer.from('"choices":[]');
const ID_LINES = /(?:^|\n)id: ?([^\r\n]*)/g;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const HYPHEN = 0x2d;
const COLON = 0x3a;
const LOWER_A = 0x61;
const LOWER_Z = 0x7a;

/**
 * Maximum size of an event, which is buffered until it is complete. Valid events contain a few tokens only, and the events of
 * all streams must fit into the memory of a small instance.
 */
export const MAXIMUM_EVENT_BYTES = 65_536;

/** Of a part that is longer, only the end is retained after it was passed on. */
const MAXIMUM_RETAINED_BYTES = 1_024;

/**
 * Incremental scanner for a stream of server-sent events. It scans bytes without decoding them, since decoding the
 * event of each token would cost more than passing it on.
 */
export class EventStream {
	/** Bytes of an event that is not complete, unless incomplete events are passed on. */
	private readonly held = GrowingBuffer.create();
	/** End of the bytes that were passed on last. */
	private lastPart: Buffer | undefined;
	/** Line of the last `id` that was passed on. */
	private lastIdLine: Buffer | undefined;
	/** Identifier of the last event before the stream was resumed. */
	private resumedAfter: string | undefined;
	private isResumed = false;
	private fault: string | undefined;

	private constructor(private readonly completeEventsOnly: boolean) {}

	/**
	 * @param completeEventsOnly whether only complete events are passed on, so that the stream can be resumed after any
	 * of them
	 * @returns a stream without events
	 */
	public static create(completeEventsOnly: boolean): EventStream {
		return new EventStream(completeEventsOnly);
	}

	/** Whether the end marker has arrived, so that the response is complete. */
	public get isComplete(): boolean {
		const last = this.held.length > 0 ? this.held.bytes : this.lastPart;
		return last !== undefined && endsWithMarker(last);
	}

	/** Whether the bytes received so far end within an event, which an empty line or the end marker ends. */
	public get endsWithinEvent(): boolean {
		const rest = this.completeEventsOnly ? this.held.bytes : this.lastPart;
		return rest !== undefined && rest.length > 0 && !endsWithEmptyLine(rest) && !endsWithMarker(rest);
	}

	/** @returns why the bytes received so far are not a valid stream; undefined if they may be */
	public findFault(): string | undefined {
		return this.held.length > MAXIMUM_EVENT_BYTES
			? 'sent an event that does not end within the maximum size'
			: this.fault;
	}

	/** `id` of the last event with an `id` that was passed on. */
	public get lastEventId(): string | undefined {
		const [line] = this.lastIdLine?.toString('utf8').matchAll(ID_LINES) ?? [];
		return line?.[1];
	}

	/**
	 * Processes the next bytes.
	 *
	 * @param chunk bytes as received
	 * @returns bytes to pass on now, if any
	 */
	public push(chunk: Buffer): Buffer | undefined {
		const ready = this.completeEventsOnly ? this.splitAtLastEvent(chunk) : chunk;
		if (ready === undefined) {
			return undefined;
		}
		if (this.isResumed) {
			this.fault ??= this.findResumptionFault(ready);
			if (this.fault !== undefined) {
				return undefined;
			}
		}
		this.lastPart = retainEnd(this.completeEventsOnly ? ready : this.joinTail(ready));
		this.lastIdLine = findLastIdLine(ready) ?? this.lastIdLine;
		return ready;
	}

	/** @returns the buffered rest once the stream has ended, such as an end marker without its empty line */
	public takeBuffered(): Buffer | undefined {
		return this.held.length > 0 ? this.held.take() : undefined;
	}

	/** Discards an incomplete event before the stream is resumed; the bytes that follow must continue the stream. */
	public prepareResumption(): void {
		this.held.clear();
		this.fault = undefined;
		this.isResumed = true;
		this.resumedAfter = this.lastEventId;
	}

	// Bytes of the server that began the stream are passed on as they are. What another server adds to them must be events
	// after the last one, and not the text of an error.
	private findResumptionFault(events: Buffer): string | undefined {
		for (let start = 0; start < events.length; start = endOfLine(events, start)) {
			if (!isEventLine(events, start)) {
				return 'continued the stream with bytes that are not events';
			}
		}
		if (this.resumedAfter === undefined) {
			return undefined; // Only the first event after the resumption is compared.
		}
		const [firstId] = events.toString('latin1').matchAll(ID_LINES);
		if (firstId !== undefined) {
			if (Number(firstId[1]) <= Number(this.resumedAfter)) {
				return 'repeated events of the stream';
			}
			this.resumedAfter = undefined;
		}
		return undefined;
	}

	// Only new bytes are searched, so that an event in many pieces costs no more than one in few.
	private splitAtLastEvent(chunk: Buffer): Buffer | undefined {
		const end = this.endOfLastEvent(chunk);
		if (end === 0) {
			this.held.append(chunk);
			return undefined;
		}
		let ready = chunk.subarray(0, end);
		if (this.held.length > 0) {
			this.held.append(ready);
			ready = this.held.take();
		}
		if (end < chunk.length) {
			this.held.append(chunk.subarray(end));
		}
		return ready;
	}

	/** Returns the position after the last event that ends in a chunk; 0 if none does. */
	private endOfLastEvent(chunk: Buffer): number {
		if (chunk.length >= 2 && chunk[chunk.length - 1] === LINE_FEED && chunk[chunk.length - 2] === LINE_FEED) {
			return chunk.length;
		}
		const end = endOfLastSeparator(chunk);
		if (end > 0 || this.held.length === 0) {
			return end;
		}
		// A separator that began in the bytes held.
		const overlap = EVENT_END_WITH_RETURNS.length - 1;
		const before = this.held.bytes.subarray(-overlap);
		return Math.max(0, endOfLastSeparator(Buffer.concat([before, chunk.subarray(0, overlap)])) - before.length);
	}

	private joinTail(chunk: Buffer): Buffer {
		const needed = END_MARKER.length + EVENT_END.length;
		if (chunk.length >= needed || this.lastPart === undefined) {
			return chunk;
		}
		return Buffer.concat([this.lastPart.subarray(-needed), chunk]);
	}
}

function endOfLine(bytes: Buffer, start: number): number {
	const at = bytes.indexOf(LINE_FEED, start);
	return at < 0 ? bytes.length : at + 1;
}

/** Whether an empty line, a comment or a field with a name in lower case begins at a position. */
function isEventLine(bytes: Buffer, start: number): boolean {
	for (let at = start; at < bytes.length; at++) {
		const byte = bytes[at] ?? 0;
		if (byte === COLON) {
			return true;
		}
		if (byte === LINE_FEED || byte === CARRIAGE_RETURN) {
			return at === start;
		}
		const isNameCharacter = (byte >= LOWER_A && byte <= LOWER_Z) || (at > start && byte === HYPHEN);
		if (!isNameCharacter) {
			return false;
		}
	}
	return false;
}

function endOfLastSeparator(bytes: Buffer): number {
	return Math.max(endOfLast(bytes, EVENT_END), endOfLast(bytes, EVENT_END_WITH_RETURNS));
}

/** Returns the end of a part without keeping the memory of a long part. */
function retainEnd(part: Buffer): Buffer {
	return part.length > MAXIMUM_RETAINED_BYTES ? Buffer.from(part.subarray(-MAXIMUM_RETAINED_BYTES)) : part;
}

/** Returns the last line that begins with an `id`; undefined if there is none. */
function findLastIdLine(part: Buffer): Buffer | undefined {
	const at = part.lastIndexOf(ID_LINE_START);
	if (at < 0 && !startsWith(part, ID_START)) {
		return undefined;
	}
	const start = at + 1;
	const line = part.subarray(start, endOfLine(part, start));
	return part.length > MAXIMUM_RETAINED_BYTES ? Buffer.from(line) : line;
}

function endOfLast(bytes: Buffer, separator: Buffer): number {
	const at = bytes.lastIndexOf(separator);
	return at < 0 ? 0 : at + separator.length;
}

/**
 * Counts generated tokens. The usage event, which has no choices, and the end marker contain no token.
 *
 * @param chunk bytes of a stream
 * @returns number of events with a token that begin in the chunk
 */
export function countTokens(chunk: Buffer): number {
	let count = startsWith(chunk, DATA_FIELD) ? 1 : 0;
	for (let at = chunk.indexOf(DATA_LINE_START); at >= 0; at = chunk.indexOf(DATA_LINE_START, at + 1)) {
		count++;
	}
	const hasEndMarker = startsWith(chunk, END_MARKER) || chunk.includes(END_MARKER_LINE);
	// Quotes are escaped within the text of a token, so the text cannot be mistaken for the field.
	const withoutToken = (hasEndMarker ? 1 : 0) + (chunk.includes(NO_CHOICES) ? 1 : 0);
	return Math.max(0, count - withoutToken);
}

function startsWith(chunk: Buffer, text: Buffer): boolean {
	return chunk.subarray(0, text.length).equals(text);
}

/** Whether bytes end with an empty line, or contain nothing but line ends. */
function endsWithEmptyLine(part: Buffer): boolean {
	const end = part.toString('latin1', Math.max(0, part.length - EVENT_END_WITH_RETURNS.length));
	return /(?:\n\r?\n|^[\r\n]*)$/.test(end);
}

function endsWithMarker(part: Buffer): boolean {
	let end = part.length;
	while (end > 0 && (part[end - 1] === LINE_FEED || part[end - 1] === CARRIAGE_RETURN)) {
		end--;
	}
	const start = end - END_MARKER.length;
	return start >= 0 && part.subarray(start, end).equals(END_MARKER) && (start === 0 || part[start - 1] === LINE_FEED);
}
