const EMPTY = Buffer.alloc(0);

/** Smallest capacity that is allocated, in bytes. */
const MINIMUM_CAPACITY_BYTES = 256;

/**
 * Collects bytes that arrive in pieces of any size. Its capacity doubles, so each byte is copied a constant number of times
 * on average.
 */
export class GrowingBuffer {
	private storage = EMPTY;
	private used = 0;

	private constructor() {}

	/** @returns a buffer without bytes */
	public static create(): GrowingBuffer {
		return new GrowingBuffer();
	}

	/** Number of bytes collected. */
	public get length(): number {
		return this.used;
	}

	/** The bytes collected, valid until the next change. */
	public get bytes(): Buffer {
		return this.storage.subarray(0, this.used);
	}

	/** @param piece bytes to append, which are copied */
	public append(piece: Buffer): void {
		const needed = this.used + piece.length;
		if (needed > this.storage.length) {
			const grown = Buffer.allocUnsafe(Math.max(MINIMUM_CAPACITY_BYTES, 2 * this.storage.length, needed));
			this.storage.copy(grown, 0, 0, this.used);
			this.storage = grown;
		}
		piece.copy(this.storage, this.used);
		this.used = needed;
	}

	/** @returns the bytes collected, which the buffer then no longer holds */
	public take(): Buffer {
		const { bytes } = this;
		this.clear();
		return bytes;
	}

	/** Discards the bytes collected and releases their memory. */
	public clear(): void {
		this.storage = EMPTY;
		this.used = 0;
	}
}
