import { Effect } from 'effect';
import { PeerFrame } from '../common/generated/masticloom/peers/v1/peers.js';
import type { PeerFrameParts } from '../common/peerNetwork.js';

/** Time without other frames to a peer after which a heartbeat is sent. */
export const HEARTBEAT_INTERVAL_MS = 250;

/** Time without frames from a peer after which it is considered silent. */
export const SILENCE_TIMEOUT_MS = 1_000;

/**
 * Maximum number of frames that wait to be sent; only a peer that does not read has more. Complete reports later make up
 * for the frames that it missed.
 */
const MAXIMUM_BACKLOG_FRAMES = 1_000;

/** The part of a gRPC stream that a session uses; both ends of a bidirectional call have it. */
export interface FrameStream {
	write(frame: PeerFrame): boolean;
	/** Number of frames that wait to be sent. */
	readonly writableLength: number;
	on(event: 'data', listener: (frame: PeerFrame) => void): unknown;
	on(event: 'error', listener: (error: Error) => void): unknown;
	on(event: 'end' | 'close' | 'cancelled', listener: () => void): unknown;
}

/** Why a session ended. */
export interface SessionEnd {
	readonly reason: 'silent' | 'reset' | 'replaced';
	readonly message: string;
}

const EMPTY_FRAME: PeerFrame = PeerFrame.create();

/** One open stream to one peer. */
export class PeerSession {
	private pending: PeerFrame | undefined;
	private lastSentAt = performance.now();
	private lastReceivedAt = performance.now();
	private end: ((end: SessionEnd) => void) | undefined;

	private constructor(
		private readonly stream: FrameStream,
		private readonly heartbeat: () => PeerFrameParts,
	) {}

	/**
	 * @param stream open stream
	 * @param heartbeat creates the heartbeat to send when nothing else was sent
	 * @returns a session that can send immediately and receives after {@link run} is started
	 */
	public static create(stream: FrameStream, heartbeat: () => PeerFrameParts): PeerSession {
		return new PeerSession(stream, heartbeat);
	}

	/**
	 * Adds parts to the frame that is written at the end of this turn of the event loop.
	 *
	 * @param parts what to send
	 */
	public post(parts: PeerFrameParts): void {
		if (this.pending === undefined) {
			this.pending = { ...EMPTY_FRAME, reports: [], updates: [], suspects: [] };
			setImmediate(() => this.flush());
		}
		const frame = this.pending;
		frame.hello = parts.hello ?? frame.hello;
		frame.heartbeat = parts.heartbeat ?? frame.heartbeat;
		frame.reports.push(...(parts.reports ?? []));
		frame.updates.push(...(parts.updates ?? []));
		frame.suspects.push(...(parts.suspects ?? []));
	}

	/** Ends the session because the peer opened a newer stream. */
	public endAsReplaced(): void {
		this.end?.({ reason: 'replaced', message: 'the peer opened a newer stream' });
	}

	/**
	 * Receives frames and sends heartbeats until the stream ends or the peer is considered silent.
	 *
	 * @param onFrame called for each frame
	 * @returns why the session ended
	 */
	public run(onFrame: (frame: PeerFrame) => void): Effect.Effect<SessionEnd> {
		return Effect.race(this.receive(onFrame), this.keepAlive());
	}

	private receive(onFrame: (frame: PeerFrame) => void): Effect.Effect<SessionEnd> {
		return Effect.callback<SessionEnd>((resume) => {
			const finish = (end: SessionEnd): void => resume(Effect.succeed(end));
			this.end = finish;
			this.stream.on('data', (frame) => {
				this.lastReceivedAt = performance.now();
				onFrame(frame);
			});
			this.stream.on('error', (error) => finish({ reason: 'reset', message: error.message }));
			for (const event of ['end', 'close', 'cancelled'] as const) {
				this.stream.on(event, () => finish({ reason: 'reset', message: 'the stream was closed' }));
			}
		});
	}

	private keepAlive(): Effect.Effect<SessionEnd> {
		const self = this;
		return Effect.gen(function* () {
			for (let checkedAt = performance.now(); ; checkedAt = performance.now()) {
				yield* Effect.sleep(HEARTBEAT_INTERVAL_MS);
				const now = performance.now();
				if (now - checkedAt > SILENCE_TIMEOUT_MS) {
					// This process was suspended. Frames that arrived meanwhile are still in the sockets and are read before the
					// next check.
					self.lastReceivedAt = now - SILENCE_TIMEOUT_MS;
					continue;
				}
				if (now - self.lastReceivedAt > SILENCE_TIMEOUT_MS) {
					return { reason: 'silent', message: `no frame for ${SILENCE_TIMEOUT_MS} ms` } satisfies SessionEnd;
				}
				if (now - self.lastSentAt >= HEARTBEAT_INTERVAL_MS) {
					self.post(self.heartbeat());
				}
			}
		});
	}

	private flush(): void {
		const frame = this.pending;
		this.pending = undefined;
		if (frame === undefined) {
			return;
		}
		if (this.stream.writableLength > MAXIMUM_BACKLOG_FRAMES) {
			this.end?.({ reason: 'silent', message: `${MAXIMUM_BACKLOG_FRAMES} frames wait for the peer to read` });
			return;
		}
		this.lastSentAt = performance.now();
		this.stream.write(frame);
	}
}
