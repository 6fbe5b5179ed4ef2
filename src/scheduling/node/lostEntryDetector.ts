import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import type { PeerStatus } from '../../peers/common/peerNetwork.js';

/** Slots of a lost entry stay leased this long, since its requests may still be ending on the backend servers. */
const LOST_ENTRY_GRACE_MS = 1_000;

/** What happens to entries whose stream ended. */
export interface LostEntriesOptions {
	/** @param instance entry whose stream ended or was replaced; what was sent on it may be lost */
	readonly onSuspend: (instance: string) => void;
	/**
	 * @param instance entry that is lost
	 * @param incarnation its process
	 */
	readonly onRemove: (instance: string, incarnation: string) => void;
}

interface KnownStream {
	readonly session: number;
	readonly incarnation: string;
	readonly connected: boolean;
}

/** Tells when entries are lost: the slots of a process are free some time after its stream ended. */
export class LostEntryDetector extends Disposable {
	private readonly streams = new Map<string, KnownStream>();
	private readonly timers = new Map<string, NodeJS.Timeout>();

	private constructor(private readonly options: LostEntriesOptions) {
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
	 * @param options what to do with lost entries
	 * @returns a tracker that knows no entry
	 */
	public static create(options: LostEntriesOptions): LostEntryDetector {
		return new LostEntryDetector(options);
	}

	/** @param peer status of a peer that changed */
	public onPeerChange(peer: PeerStatus): void {
		const { instance, incarnation, session } = peer;
		const connected = peer.state === 'connected';
		const known = this.streams.get(instance);
		this.streams.set(instance, { session, incarnation, connected });
		if (known?.connected === true && (!connected || known.session !== session)) {
			this.options.onSuspend(instance);
			this.startTimer(instance, known.incarnation);
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
