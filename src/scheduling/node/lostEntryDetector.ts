import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import type { PeerStatus } from '../../peers/common/peerNetwork.js';

/** Slots of a lost entry stay leased for this time, since its requests may still be ending on the backend servers. */
const LOST_ENTRY_GRACE_MS = 1_000;

/** Callbacks for entries whose stream ended. */
export interface LostEntryDetectorOptions {
	/** @param instance entry whose stream ended or was replaced; messages sent on the stream may be lost */
	readonly onSuspend: (instance: string) => void;
	/**
	 * @param instance entry that is lost
	 * @param incarnation identifier of its process
	 */
	readonly onRemove: (instance: string, incarnation: string) => void;
}

interface EntryStream {
	readonly session: number;
	readonly incarnation: string;
	readonly connected: boolean;
}

/** Detects lost entries: a process is considered lost when its stream has been closed for the grace period. */
export class LostEntryDetector extends Disposable {
	private readonly streams = new Map<string, EntryStream>();
	private readonly timers = new Map<string, NodeJS.Timeout>();

	private constructor(private readonly options: LostEntryDetectorOptions) {
		super();
		this.register(
			toDisposable(() => {
				for (const timer of this.timers.values()) {
					clearTimeout(timer);
				}
			}),
		);
	}

	/**
	 * @param options callbacks for lost entries
	 * @returns a detector without entries
	 */
	public static create(options: LostEntryDetectorOptions): LostEntryDetector {
		return new LostEntryDetector(options);
	}

	/** @param peer changed status of a peer */
	public onPeerChange(peer: PeerStatus): void {
		const { instance, incarnation, session } = peer;
		const connected = peer.state === 'connected';
		const previous = this.streams.get(instance);
		this.streams.set(instance, { session, incarnation, connected });
		if (previous?.connected === true && (!connected || previous.session !== session)) {
			this.options.onSuspend(instance);
			this.startTimer(instance, previous.incarnation);
		}
		if (connected) {
			clearTimeout(this.timers.get(incarnation));
			this.timers.delete(incarnation);
		}
	}

	private startTimer(instance: string, incarnation: string): void {
		const remove = (): void => {
			this.timers.delete(incarnation);
			this.options.onRemove(instance, incarnation);
		};
		clearTimeout(this.timers.get(incarnation));
		this.timers.set(incarnation, setTimeout(remove, LOST_ENTRY_GRACE_MS));
	}
}
