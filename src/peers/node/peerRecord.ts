import { Effect, Fiber } from 'effect';
import type { PeerEndpoint, PeerState, PeerStatus } from '../common/peerNetwork.js';
import type { PeerSession } from './peerSession.js';

/** State that the network keeps for one peer. */
export interface PeerRecord {
	endpoint: PeerEndpoint;
	state: PeerState;
	incarnation: string;
	failureDomain: string;
	configurationVersion: number;
	leaving: boolean;
	session: PeerSession | undefined;
	/** Number of streams opened so far. */
	sessionCount: number;
	/** Whether no process listens at the peer's address. */
	refused: boolean;
	dialer: Fiber.Fiber<unknown> | undefined;
}

/**
 * @param instance name of the peer
 * @returns record of a peer that has never been connected
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

/**
 * Stops opening streams to a peer.
 *
 * @param record record of the peer
 */
export function stopDialer(record: PeerRecord): void {
	if (record.dialer !== undefined) {
		Effect.runFork(Fiber.interrupt(record.dialer));
		record.dialer = undefined;
	}
}

/**
 * @param record record of a peer
 * @returns the state that users of the network see
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
