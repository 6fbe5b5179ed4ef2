import type { Event } from '../../base/common/event.js';
import type { PeerFrame } from './generated/masticloom/peers/v1/peers.js';

/** Where another router listens for peers. */
export interface PeerEndpoint {
	readonly instance: string;
	/** `host:port` */
	readonly address: string;
}

/**
 * `connecting`: not reached yet. `connected`: the stream is open. `silent`: the stream was given up for missed
 * heartbeats, so the router may still run. `gone`: its stream was reset or its address refuses connections.
 */
export type PeerState = 'connecting' | 'connected' | 'silent' | 'gone';

/** What this router knows of another one. */
export interface PeerStatus extends PeerEndpoint {
	readonly state: PeerState;
	/** Random identifier of the peer's process; empty until it was connected once. */
	readonly incarnation: string;
	readonly failureDomain: string;
	/** Configuration version in the peer's last heartbeat. */
	readonly configurationVersion: number;
	/** Its address refused a connection since the last stream ended, so no process of it runs. */
	readonly refused: boolean;
	/** Counts the streams to this peer; frames sent on an earlier one may be lost. */
	readonly session: number;
	/** The peer is shutting down and takes no scheduler role. */
	readonly leaving: boolean;
}

/** A frame from a connected peer. */
export interface PeerMessage {
	readonly instance: string;
	readonly incarnation: string;
	readonly frame: PeerFrame;
}

/** Parts of a frame; parts for one peer are merged within one turn of the event loop. */
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
	 * Sets which peers to keep streams to.
	 *
	 * @param endpoints all other routers
	 */
	setEndpoints(endpoints: readonly PeerEndpoint[]): void;
	/**
	 * Tells all peers that this router is shutting down, or that its configuration changed.
	 *
	 * @param announcement contents of the following heartbeats
	 */
	announce(announcement: { readonly configurationVersion?: number; readonly leaving?: boolean }): void;
}
