import type { IncomingMessage } from 'node:http';
import type { IClock } from '../../base/common/clock.js';
import type { MemoryBudget } from '../../base/common/memoryBudget.js';
import { ChunkPacer, type ConnectionReading } from './chunkPacer.js';
import {
	ADDRESS_FRACTION,
	chooseEviction,
	type IncompleteBody,
	LARGE_BODY_FRACTION,
	PROGRESS_BYTES,
	SMALL_BODY_BYTES,
} from '../common/bodyEviction.js';

/** A complete body whose memory is charged until it is released, and each holder of it has let it go. */
export interface ReceivedBody {
	readonly bytes: Buffer;
	/** Lets the body go. Further calls have no effect. */
	readonly release: () => void;
	/**
	 * Adds a holder of the body.
	 *
	 * @returns lets the body go
	 */
	readonly retain: () => () => void;
}

/**
 * Why a body was not received: it is larger than allowed, the client disconnected, it did not arrive within its timeouts,
 * there is no memory for it, it consists of very small chunks while the CPU is saturated, or its request has been refused.
 */
export type BodyFailure = 'too-large' | 'incomplete' | 'timed-out' | 'no-memory' | 'tiny-chunks' | 'refused';

/** A body that has not necessarily been received completely. */
export interface ArrivingBody {
	/**
	 * @param listener called once with the body, which must be released, or the reason why it was not received; at once if
	 * either is known
	 */
	readonly whenSettled: (listener: BodyListener) => void;
}

type BodyListener = (body: ReceivedBody | BodyFailure) => void;

/** Limits for one body. */
export interface BodyLimits {
	readonly maximumBytes: number;
	/** Maximum time between two pieces of the body in milliseconds. */
	readonly idleTimeoutMs: number;
	/** Maximum time for the whole body in milliseconds. */
	readonly totalTimeoutMs: number;
}

const EMPTY = Buffer.alloc(0);

const NO_BODY: ReceivedBody = { bytes: EMPTY, release: () => undefined, retain: () => () => undefined };

/** Smallest capacity that is allocated for a body, in bytes. */
const MINIMUM_CAPACITY_BYTES = 256;

/** Chunks after which their mean size is checked; a request with fewer costs little CPU time. */
const CHECKED_CHUNKS = 4_096;

/** Mean size in bytes below which chunks count as very small: parsing takes some microseconds for each. */
const TINY_CHUNK_BYTES = 32;

/** Bodies in very small chunks that are received at once. */
const MAXIMUM_TINY_CHUNK_BODIES = 4;

/** The same while the CPU is saturated. */
const SATURATED_TINY_CHUNK_BODIES = 1;

/** Receives the bodies of requests. Their memory is charged to a budget before it is allocated. */
export class BodyReceiver {
	private readonly incomplete = new Set<BodyReception>();
	private readonly arrivals = new WeakMap<IncomingMessage, BodyArrival>();
	private readonly receptions = new WeakMap<IncomingMessage, BodyReception>();
	private readonly withTinyChunks = new Set<BodyReception>();
	private readonly heldByAddress = new Map<string, number>();

	private constructor(
		private readonly budget: MemoryBudget,
		private readonly clock: IClock,
		private readonly pacer: ChunkPacer,
	) {}

	/**
	 * @param budget to which bodies are charged
	 * @param clock source of time
	 * @param reading stops and continues reading connections
	 * @returns a receiver without bodies
	 */
	public static create(budget: MemoryBudget, clock: IClock, reading: ConnectionReading): BodyReceiver {
		return new BodyReceiver(budget, clock, ChunkPacer.create(reading));
	}

	/** Number of bodies that are being received. */
	public get size(): number {
		return this.incomplete.size;
	}

	/**
	 * Receives the body of a request.
	 *
	 * @param request received request
	 * @param limits of the body
	 * @returns the body
	 */
	public receive(request: IncomingMessage, limits: BodyLimits): ArrivingBody {
		const arrival = new BodyArrival();
		this.arrivals.set(request, arrival);
		this.receiveInto(request, limits, (body) => arrival.settle(body));
		return arrival;
	}

	private receiveInto(request: IncomingMessage, limits: BodyLimits, done: BodyListener): void {
		const { 'content-length': contentLength } = request.headers;
		if (!hasBody(request)) {
			request.resume();
			done(NO_BODY);
			return;
		}
		if (Number(contentLength ?? 0) > limits.maximumBytes) {
			done('too-large');
			return;
		}
		const reception = new BodyReception(
			request.socket.remoteAddress ?? '',
			contentLength === undefined ? limits.maximumBytes : Number(contentLength),
			limits,
			this.clock.now(),
			() => request.socket.isPaused(),
			(result) => {
				this.incomplete.delete(reception);
				this.withTinyChunks.delete(reception);
				this.releaseAddress(reception);
				if (typeof result === 'string') {
					this.release(reception.heldBytes);
					reception.heldBytes = 0;
					done(result);
					return;
				}
				done(this.holdComplete(result, reception.heldBytes));
			},
		);
		this.incomplete.add(reception);
		this.receptions.set(request, reception);
		const countChunk = this.chunkCounterOf(request);
		request.on('data', (chunk: Buffer) => {
			countChunk(chunk);
			if (reception.needsGrowth(chunk) && !this.grow(reception, reception.grownCapacity(chunk))) {
				reception.settle('no-memory');
			}
			reception.append(chunk);
			if (reception.chunkCount === CHECKED_CHUNKS) {
				this.checkChunks(reception);
			}
		});
		request.on('end', () => reception.settle(reception.bytes));
		request.on('error', () => reception.settle('incomplete'));
		request.on('close', () => reception.settle('incomplete'));
	}

	/**
	 * Reads a body without holding it.
	 *
	 * @param request that has been refused
	 */
	public discard(request: IncomingMessage): void {
		this.giveUp(request);
		if (hasBody(request) && request.listenerCount('data') === 0) {
			request.on('data', this.chunkCounterOf(request));
		}
		request.resume();
	}

	/**
	 * Gives up a body that has not been received completely, or that nobody has asked for.
	 *
	 * @param request whose body it is
	 */
	public giveUp(request: IncomingMessage): void {
		this.arrivals.get(request)?.giveUp();
		this.receptions.get(request)?.settle('refused');
	}

	/**
	 * Drops bodies that have stopped arriving. Called several times a second.
	 *
	 * @param now monotonic milliseconds
	 * @param isSaturated whether the CPU is saturated
	 * @param stallLimitMs time without noticeable progress after which a body is dropped; infinite unless connections are few
	 */
	public sweep(now: number, isSaturated: boolean, stallLimitMs: number): void {
		for (const reception of [...this.incomplete]) {
			if (reception.isOverdue(now) || now - reception.progressedAt > stallLimitMs) {
				reception.settle('timed-out');
			}
		}
		if (isSaturated) {
			[...this.withTinyChunks]
				.slice(SATURATED_TINY_CHUNK_BODIES)
				.forEach((reception) => reception.settle('tiny-chunks'));
		}
	}

	/** Counts the chunks of a large body, each of which is a buffer of its own until it is collected. */
	private chunkCounterOf({ socket }: IncomingMessage): (chunk: Buffer) => void {
		const countChunk = this.pacer.counterOf(socket);
		let bytes = 0;
		return (chunk) => {
			countChunk(chunk);
			bytes += chunk.length;
			if (bytes > SMALL_BODY_BYTES) {
				this.budget.recordGarbage(chunk.length);
			}
		};
	}

	private release(bytes: number): void {
		this.budget.release('body', bytes);
		if (bytes > SMALL_BODY_BYTES) {
			this.budget.recordGarbage(bytes);
		}
	}

	private holdComplete(bytes: Buffer, heldBytes: number): ReceivedBody {
		let holders = 0;
		const retain = (): (() => void) => {
			holders++;
			let isHolding = true;
			return () => {
				if (isHolding && --holders === 0) {
					this.release(heldBytes);
				}
				isHolding = false;
			};
		};
		return { bytes, retain, release: retain() };
	}

	private checkChunks(reception: BodyReception): void {
		if (reception.hasTinyChunks) {
			this.withTinyChunks.add(reception);
			if (this.withTinyChunks.size > MAXIMUM_TINY_CHUNK_BODIES) {
				reception.settle('tiny-chunks');
			}
		}
	}

	/**
	 * Drops the incomplete body that has held the most for the longest time without progress.
	 *
	 * @returns whether there was one
	 */
	public dropOne(): boolean {
		const victim = chooseEviction(this.incomplete, this.clock.now());
		victim?.settle('no-memory');
		return victim !== undefined;
	}

	/** Reserves a larger capacity, for which bodies with less progress may be dropped. */
	private grow(reception: BodyReception, capacity: number): boolean {
		while (!this.tryReserve(reception, capacity)) {
			const isOverAddress = this.isOverAddress(reception.clientAddress, capacity - reception.heldBytes);
			const candidates = isOverAddress
				? [...this.incomplete].filter(({ clientAddress }) => clientAddress === reception.clientAddress)
				: this.incomplete;
			const victim = chooseEviction(candidates, this.clock.now());
			if (victim === undefined || victim === reception) {
				return false;
			}
			victim.settle('no-memory');
		}
		this.release(reception.heldBytes);
		this.addHeld(reception.clientAddress, capacity - reception.heldBytes);
		reception.grow(capacity);
		return true;
	}

	private tryReserve({ clientAddress, heldBytes }: BodyReception, capacity: number): boolean {
		const { usedBytes, limitBytes } = this.budget;
		const isLarge = capacity > SMALL_BODY_BYTES;
		if (isLarge && usedBytes + capacity > limitBytes * LARGE_BODY_FRACTION) {
			return false;
		}
		return !this.isOverAddress(clientAddress, capacity - heldBytes) && this.budget.tryReserve('body', capacity);
	}

	private isOverAddress(address: string, bytes: number): boolean {
		return (this.heldByAddress.get(address) ?? 0) + bytes > this.budget.limitBytes * ADDRESS_FRACTION;
	}

	private releaseAddress({ clientAddress, heldBytes }: BodyReception): void {
		this.addHeld(clientAddress, -heldBytes);
	}

	private addHeld(address: string, bytes: number): void {
		const held = (this.heldByAddress.get(address) ?? 0) + bytes;
		if (held > 0) {
			this.heldByAddress.set(address, held);
		} else {
			this.heldByAddress.delete(address);
		}
	}
}

/** Result of a body, and who waits for it. */
class BodyArrival implements ArrivingBody {
	private result: ReceivedBody | BodyFailure | undefined;
	private listener: BodyListener | undefined;

	public settle(result: ReceivedBody | BodyFailure): void {
		if (this.result !== undefined) {
			releaseIfReceived(result);
			return;
		}
		this.result = result;
		this.listener?.(result);
	}

	public whenSettled(listener: BodyListener): void {
		this.listener = listener;
		if (this.result !== undefined) {
			listener(this.result);
		}
	}

	/** Releases the body unless somebody has asked for it. */
	public giveUp(): void {
		if (this.listener === undefined) {
			releaseIfReceived(this.result);
			this.result = 'refused';
		}
	}
}

function releaseIfReceived(result: ReceivedBody | BodyFailure | undefined): void {
	if (result !== undefined && typeof result !== 'string') {
		result.release();
	}
}

/** One body that is being received. It is copied into one buffer, since small pieces take far more memory than their bytes. */
class BodyReception implements IncompleteBody {
	public heldBytes = 0;
	public progressedAt: number;
	private storage: Buffer = EMPTY;
	private used = 0;
	private chunks = 0;
	private settled = false;
	private sweptBytes = 0;
	private sweptAt: number;
	private progressBytes = 0;

	public constructor(
		public readonly clientAddress: string,
		private readonly maximumBytes: number,
		private readonly limits: Pick<BodyLimits, 'idleTimeoutMs' | 'totalTimeoutMs'>,
		private startedAt: number,
		/** Whether the router does not read the connection of the body. */
		private readonly isWithheld: () => boolean,
		private readonly onSettled: (result: Buffer | BodyFailure) => void,
	) {
		this.progressedAt = startedAt;
		this.sweptAt = startedAt;
	}

	public get bytes(): Buffer {
		return this.storage.subarray(0, this.used);
	}

	public get chunkCount(): number {
		return this.chunks;
	}

	public get hasTinyChunks(): boolean {
		return !this.settled && this.used < this.chunks * TINY_CHUNK_BYTES;
	}

	/** Records progress since the previous sweep; returns whether one of the timeouts of the body has passed. */
	public isOverdue(now: number): boolean {
		if (this.isWithheld()) {
			this.sweptAt = now;
			this.startedAt = now;
			this.progressedAt = now;
			return false;
		}
		if (this.used > this.sweptBytes) {
			this.sweptBytes = this.used;
			this.sweptAt = now;
		}
		if (this.used >= this.progressBytes + PROGRESS_BYTES) {
			this.progressBytes = this.used;
			this.progressedAt = now;
		}
		return now - this.sweptAt > this.limits.idleTimeoutMs || now - this.startedAt > this.limits.totalTimeoutMs;
	}

	public needsGrowth({ length }: Buffer): boolean {
		const needed = this.used + length;
		return !this.settled && needed > this.storage.length && needed <= this.maximumBytes;
	}

	public grownCapacity({ length }: Buffer): number {
		const wanted = Math.max(MINIMUM_CAPACITY_BYTES, 2 * this.storage.length, this.used + length);
		return Math.min(wanted, this.maximumBytes);
	}

	public grow(capacity: number): void {
		const grown = Buffer.allocUnsafeSlow(capacity);
		this.storage.copy(grown, 0, 0, this.used);
		this.storage = grown;
		this.heldBytes = capacity;
	}

	public append(chunk: Buffer): void {
		if (this.settled) {
			return;
		}
		if (this.used + chunk.length > this.maximumBytes) {
			this.settle('too-large');
			return;
		}
		this.storage.set(chunk, this.used);
		this.used += chunk.length;
		this.chunks++;
	}

	public settle(result: Buffer | BodyFailure): void {
		if (!this.settled) {
			this.settled = true;
			this.onSettled(result);
			this.storage = EMPTY;
		}
	}
}

function hasBody({ headers }: IncomingMessage): boolean {
	return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}
