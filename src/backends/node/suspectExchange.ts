import { Disposable } from '../../base/common/lifecycle.js';
import { logOf } from '../../base/node/log.js';
import type { SuspectNotice } from '../../peers/common/generated/masticloom/peers/v1/peers.js';
import type { IPeerNetwork } from '../../peers/common/peerNetwork.js';
import type { CrashSuspects, SuspectState } from '../common/crashSuspects.js';

const log = logOf('suspects');

/** Tells all peers of crash suspects, and a peer that connects of all of them, since it may have restarted. */
export class SuspectExchange extends Disposable {
	private readonly connected = new Map<string, string>();

	private constructor(
		private readonly suspects: CrashSuspects,
		private readonly network: IPeerNetwork,
	) {
		super();
		this.register(suspects.onDidChangeSuspect((state) => this.tellAll(state)));
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
					this.tellEverything(peer.instance);
				}
			}),
		);
	}

	/**
	 * @param suspects register to keep in step with the peers'
	 * @param network streams to peers
	 * @returns an exchange that runs until disposed
	 */
	public static create(suspects: CrashSuspects, network: IPeerNetwork): SuspectExchange {
		return new SuspectExchange(suspects, network);
	}

	private tellAll(state: SuspectState): void {
		if (state.quarantineMs > 0) {
			log.warn(`Request ${state.fingerprint} is quarantined after ${state.deaths} deaths of backend servers.`);
		}
		for (const peer of this.network.peers()) {
			if (peer.state === 'connected') {
				this.network.send(peer.instance, { suspects: [toNotice(state)] });
			}
		}
	}

	private tellEverything(instance: string): void {
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
