import { Disposable } from '../../base/common/lifecycle.js';
import { getLogger } from '../../base/node/log.js';
import type { SuspectNotice } from '../../peers/common/generated/masticloom/peers/v1/peers.js';
import type { IPeerNetwork } from '../../peers/common/peerNetwork.js';
import type { CrashSuspects, SuspectState } from '../common/crashSuspects.js';

const log = getLogger('suspects');

/**
 * Sends each change of a crash suspect to all peers, and all suspects to a peer that connects, since that peer may have
 * restarted.
 */
export class SuspectExchange extends Disposable {
	private readonly connected = new Map<string, string>();

	private constructor(
		private readonly suspects: CrashSuspects,
		private readonly network: IPeerNetwork,
	) {
		super();
		this.register(suspects.onDidChangeSuspect((state) => this.sendToAll(state)));
		this.register(
			network.onDidReceive((message) => {
				for (const notice of message.frame.suspects) {
					suspects.applyPeerState(message.instance, fromNotice(notice));
				}
			}),
		);
		this.register(
			network.onDidChangePeer((peer) => {
				if (peer.state !== 'connected') {
					this.connected.delete(peer.instance);
					suspects.dropClaims(peer.instance);
				} else if (this.connected.get(peer.instance) !== peer.incarnation) {
					this.connected.set(peer.instance, peer.incarnation);
					this.sendAllTo(peer.instance);
				}
			}),
		);
	}

	/**
	 * @param suspects registry to synchronize with those of the peers
	 * @param network connections to peers
	 * @returns an exchange that runs until disposed
	 */
	public static create(suspects: CrashSuspects, network: IPeerNetwork): SuspectExchange {
		return new SuspectExchange(suspects, network);
	}

	private sendToAll(state: SuspectState): void {
		if (state.quarantineMs > 0) {
			log.warn(`Request ${state.fingerprint} is quarantined after ${state.deaths} deaths of backend servers.`);
		}
		for (const peer of this.network.peers()) {
			if (peer.state === 'connected') {
				this.network.send(peer.instance, { suspects: [toNotice(state)] });
			}
		}
	}

	private sendAllTo(instance: string): void {
		const notices = this.suspects.list().map(toNotice);
		if (notices.length > 0) {
			this.network.send(instance, { suspects: notices });
		}
	}
}

function toNotice(state: SuspectState): SuspectNotice {
	return {
		fingerprint: Buffer.from(state.fingerprint, 'hex'),
		deaths: state.deaths,
		quarantineMs: state.quarantineMs,
		claimMs: state.claimMs,
	};
}

function fromNotice(notice: SuspectNotice): SuspectState {
	return {
		fingerprint: Buffer.from(notice.fingerprint).toString('hex'),
		deaths: notice.deaths,
		quarantineMs: notice.quarantineMs,
		claimMs: notice.claimMs,
	};
}
