import type { Socket } from 'node:net';

/** Stops and continues reading connections of callers. */
export interface ConnectionReading {
	/** @param socket that is not read until it is released */
	hold(socket: Socket): void;
	/** @param socket that was held */
	release(socket: Socket): void;
	/**
	 * @param socket on which the parser has passed on a part of a body
	 * @param bytes size of the part
	 */
	recordChunk(socket: Socket, bytes: number): void;
}

/** Chunks of one connection per turn; parsing takes some microseconds for each. Usual bodies have far fewer. */
const CHUNKS_PER_TURN = 1_024;

/**
 * Limits the chunks of a body that are parsed in one iteration of the event loop. Connections that reach the limit are read
 * one per iteration. Without a limit, the event loop reads up to 2 MB of each connection in one iteration, which took 32 s
 * with 64 connections that sent chunks of one byte.
 */
export class ChunkPacer {
	private readonly waiting: Socket[] = [];
	private readonly chunks = new WeakMap<Socket, { count: number }>();
	private isScheduled = false;

	private constructor(private readonly reading: ConnectionReading) {}

	/**
	 * @param reading stops and continues reading
	 * @returns a pacer without connections
	 */
	public static create(reading: ConnectionReading): ChunkPacer {
		return new ChunkPacer(reading);
	}

	/**
	 * @param socket whose chunks are counted
	 * @returns a function to call for each chunk
	 */
	public counterOf(socket: Socket): (chunk: Buffer) => void {
		let turn = this.chunks.get(socket);
		if (turn === undefined) {
			turn = { count: 0 };
			this.chunks.set(socket, turn);
		}
		const counted = turn;
		return (chunk) => {
			this.reading.recordChunk(socket, chunk.length);
			if (++counted.count === CHUNKS_PER_TURN) {
				this.reading.hold(socket);
				this.waiting.push(socket);
				this.schedule();
			}
		};
	}

	private schedule(): void {
		if (!this.isScheduled) {
			this.isScheduled = true;
			setImmediate(() => this.releaseNext());
		}
	}

	private releaseNext(): void {
		this.isScheduled = false;
		const socket = this.waiting.shift();
		if (socket !== undefined) {
			const turn = this.chunks.get(socket);
			if (turn !== undefined) {
				turn.count = 0;
			}
			this.reading.release(socket);
		}
		if (this.waiting.length > 0) {
			this.schedule();
		}
	}
}
