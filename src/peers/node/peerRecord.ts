import { Effect, Fiber } from 'effect';
import type { PeerEndpoint, PeerState, PeerStatus } from '../common/peerNetwork.js';
import type { PeerSession } from './peerSession.js';

/** What the network keeps of one peer. */
export interface PeerRecord {
	endpoint: PeerEndpoint;
	state: PeerState;
	incarnation: string;
	failureDomain: string;
	configurationVersion: number;
	leaving: boolean;
	session: PeerSession | undefined;
	/** Streams opened so far. */
	sessionCount: number;
	/** No process listens at the peer's address. */
	refused: boolean;
	dialer: Fiber.Fiber<unknown> | undefined;
}

/**
 * @param instance name of the peer
 * @returns record of a peer that was never connected
 */
export function createPeerRecord(instance: string): PeerRecord {
	return {
		endpoint: { instance, address: '' },
		state: 'connecting',
		incarnation: '',
		failureDomain: '',
		configurationVersion: 0,
		leaving: false,
		session: undefined,
		sessionCount: 0,
		refused: false,
		dialer: undefined,
	};
}

/** @param record peer to which no stream is opened any more */
export function stopDialer(record: PeerRecord): void {
	if (record.dialer !== undefined) {
		Effect.runFork(Fiber.interrupt(record.dialer));
		record.dialer = undefined;
	}
}

/**
 * @param record what the network keeps of a peer
 * @returns what it shows to others
 */
export function toStatus(record: PeerRecord): PeerStatus {
	const { endpoint, state, incarnation, failureDomain, configurationVersion, leaving } = record;
	return {
		...endpoint,
		state,
		incarnation,
		failureDomain,
		configurationVersion,
		leaving,
		session: record.sessionCount,
		refused: record.refused,
	};
}
