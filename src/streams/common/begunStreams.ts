import { shortKey } from '../../base/common/shortKey.js';
import type { StreamIdentity } from './streamVersions.js';

/** Maximum number of streams that are remembered; the oldest are forgotten. */
const MAXIMUM_STREAMS = 20_000;

interface BegunStream {
	readonly version: string;
	/** Monotonic milliseconds. */
	readonly expiresAt: number;
}

/** Keys of streams by the software version that began them. */
export type StreamRecord = Readonly<Record<string, readonly number[]>>;

/**
 * Streams that this router has begun, until their callers can no longer take them up again.
 *
 * Load pattern: a router begins some 20 streams a second, each of which lasts up to 15 s.
 */
export class BegunStreams {
	private readonly streams = new Map<number, BegunStream>();

	private constructor() {}

	/** @returns an instance without streams */
	public static create(): BegunStreams {
		return new BegunStreams();
	}

	/** Number of remembered streams. */
	public get size(): number {
		return this.streams.size;
	}

	/**
	 * @param stream a stream that has begun
	 * @param version software version of its server
	 * @param expiresAt monotonic milliseconds until which its caller may take it up again
	 */
	public add(stream: StreamIdentity, version: string, expiresAt: number): void {
		this.streams.set(streamKeyOf(stream), { version, expiresAt });
		if (this.streams.size > MAXIMUM_STREAMS) {
			const [oldest] = this.streams.keys();
			this.streams.delete(oldest ?? 0);
		}
	}

	/**
	 * @param stream a stream
	 * @returns software version that began it; undefined when this router did not begin it
	 */
	public versionOf(stream: StreamIdentity): string | undefined {
		return this.streams.get(streamKeyOf(stream))?.version;
	}

	/**
	 * Forgets the streams that can no longer be taken up, and lists the others.
	 *
	 * @param now monotonic milliseconds
	 * @returns keys of the streams by version
	 */
	public list(now: number): StreamRecord {
		const record: Record<string, number[]> = {};
		for (const [key, { version, expiresAt }] of this.streams) {
			if (expiresAt <= now) {
				this.streams.delete(key);
			} else {
				(record[version] ??= []).push(key);
			}
		}
		return record;
	}
}

/**
 * @param stream a stream
 * @returns short key of the stream; streams of different accounts have different keys
 */
export function streamKeyOf({ account, attempt }: StreamIdentity): number {
	return shortKey(`${account}\n${attempt ?? ''}`);
}
