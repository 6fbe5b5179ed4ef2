import type { Event } from '../../base/common/event.js';
import type { PeerFrame } from './generated/masticloom/peers/v1/peers.js';

/** Address at which another router accepts streams of peers. */
export interface PeerEndpoint {
	readonly instance: string;
	/** `host:port` */
	readonly address: string;
}

/**
 * `connecting`: not reached yet. `connected`: the stream is open. `silent`: the peer sent nothing within the time limit,
 * so it may still be running. `gone`: its stream was reset or its address refuses connections.
 */
export type PeerState = 'connecting' | 'connected' | 'silent' | 'gone';

/** State of a peer as seen by this router. */
export interface PeerStatus extends PeerEndpoint {
	readonly state: PeerState;
	/** Random identifier of the peer's process; empty until the first connection. */
	readonly incarnation: string;
	readonly failureDomain: string;
	/** Configuration version in the peer's last heartbeat. */
	readonly configurationVersion: number;
	/** Whether its address refused a connection since the last stream ended, so that no process of it is running. */
	readonly refused: boolean;
	/** Number of streams to this peer so far; frames sent on an earlier one may be lost. */
	readonly session: number;
	/** Whether the peer is shutting down, so that it takes no scheduler role. */
	readonly leaving: boolean;
}

/** A frame from a connected peer. */
export interface PeerMessage {
	readonly instance: string;
	readonly incarnation: string;
	readonly frame: PeerFrame;
}

/** Parts of a frame. Parts sent to one peer in the same turn of the event loop are merged into one frame. */
export type PeerFrameParts = Partial<PeerFrame>;

/** Streams between this router and its peers. */
export interface IPeerNetwork {
	/** Fires when a peer's state, leaving flag or configuration version changed. */
	readonly onDidChangePeer: Event<PeerStatus>;
	readonly onDidReceive: Event<PeerMessage>;
	/**
	 * Sends parts of a frame to a connected peer.
	 *
	 * @param instance name of the peer
	 * @param parts what to send
	 * @returns false when the peer is not connected
	 */
	send(instance: string, parts: PeerFrameParts): boolean;
	/** @returns all known peers */
	peers(): readonly PeerStatus[];
	/**
	 * Sets the peers to which streams are maintained.
	 *
	 * @param endpoints all other routers
	 */
	setEndpoints(endpoints: readonly PeerEndpoint[]): void;
	/**
	 * Announces to all peers that this router is shutting down or that its configuration changed.
	 *
	 * @param announcement contents of subsequent heartbeats; members that are left out keep their values
	 */
	announce(announcement: { readonly configurationVersion?: number; readonly leaving?: boolean }): void;
}
