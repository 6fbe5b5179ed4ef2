import type { ServerResponse } from 'node:http';
import type { IHeldResponse, ResponseBuffering, ResponseCaller } from '../common/responseBuffering.js';

/** Size of a block of held bytes; the high-water mark of Node.js, so that each block is one step of the caller's progress. */
const BLOCK_BYTES = 16_384;

/**
 * Passes a response on to its caller and holds the bytes for which the caller is too slow. A caller that keeps up gets each
 * part directly. Held bytes are copied into blocks, since many small parts in the queue of Node.js take several times their
 * size.
 */
export class ResponseQueue {
	private readonly blocks: Buffer[] = [];
	/** Number of bytes in the last block. */
	private filledBytes = 0;
	/** Number of bytes that were written and not yet accepted by the connection. */
	private writtenBytes = 0;
	/** Set while the caller is behind. */
	private held: IHeldResponse | undefined;
	/** Resumes reading from the server; set while it is paused. */
	private resume: (() => void) | undefined;
	private hasEnded = false;
	private isWatched = false;

	private constructor(
		private readonly response: ServerResponse,
		private readonly buffering: ResponseBuffering,
		private readonly caller: ResponseCaller,
	) {}

	/**
	 * @param response whose head has been sent
	 * @param buffering decides how much is held
	 * @param caller of the response
	 * @returns a queue that holds nothing
	 */
	public static create(response: ServerResponse, buffering: ResponseBuffering, caller: ResponseCaller): ResponseQueue {
		return new ResponseQueue(response, buffering, caller);
	}

	/**
	 * @param chunk bytes of the body
	 * @param resume called when more bytes are accepted, if the result was false
	 * @returns whether more bytes are accepted now
	 */
	public write(chunk: Uint8Array, resume: () => void): boolean {
		const { response } = this;
		if (response.destroyed) {
			return true;
		}
		if (this.held !== undefined) {
			this.append(chunk);
			this.held.hold(chunk.length);
		} else {
			if (response.write(chunk)) {
				return true;
			}
			if (response.socket === null) {
				// The response waits for an earlier one on the same connection, and would not report its own end.
				response.once('drain', resume);
				return false;
			}
			this.held = this.open();
			this.held.hold(chunk.length);
			this.writtenBytes = chunk.length;
		}
		if (this.held.tryReadOn()) {
			return true;
		}
		this.resume = resume;
		return false;
	}

	/** Ends the response after the bytes that are held. */
	public end(): void {
		this.hasEnded = true;
		this.held?.endReading();
		if (this.blocks.length === 0) {
			this.response.end();
		}
	}

	private open(): IHeldResponse {
		const { response } = this;
		if (!this.isWatched) {
			this.isWatched = true;
			response.on('drain', () => this.writeHeld());
			response.once('close', () => this.close());
		}
		return this.buffering.open(this.caller);
	}

	private append(chunk: Uint8Array): void {
		for (let start = 0; start < chunk.length;) {
			if (this.blocks.length === 0 || this.filledBytes === BLOCK_BYTES) {
				this.blocks.push(Buffer.allocUnsafeSlow(BLOCK_BYTES));
				this.filledBytes = 0;
			}
			const part = chunk.subarray(start, start + BLOCK_BYTES - this.filledBytes);
			this.blocks.at(-1)?.set(part, this.filledBytes);
			this.filledBytes += part.length;
			start += part.length;
		}
	}

	/** Writes held bytes until the connection accepts no more, and reads on when there is room again. */
	private writeHeld(): void {
		const { held, response } = this;
		if (held === undefined || response.destroyed) {
			return;
		}
		held.recordProgress(this.writtenBytes);
		this.writtenBytes = 0;
		for (let block = this.takeBlock(); block !== undefined; block = this.takeBlock()) {
			const isAccepted = response.write(block);
			if (this.hasEnded && this.blocks.length === 0) {
				response.end(); // What is written is charged until the response is closed.
				return;
			}
			if (!isAccepted) {
				this.writtenBytes = block.length;
				if (this.resume !== undefined && held.tryReadOn()) {
					this.readOn();
				}
				return;
			}
			held.recordProgress(block.length);
		}
		this.close();
		this.readOn();
	}

	private takeBlock(): Buffer | undefined {
		const block = this.blocks.shift();
		return this.blocks.length === 0 ? block?.subarray(0, this.filledBytes) : block;
	}

	private readOn(): void {
		const { resume } = this;
		this.resume = undefined;
		resume?.();
	}

	private close(): void {
		this.held?.close();
		this.held = undefined;
		this.blocks.length = 0;
	}
}
