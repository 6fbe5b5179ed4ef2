import { randomInt } from 'node:crypto';
import type { IClock } from '../../base/common/clock.js';
import { shortKey } from '../../base/common/shortKey.js';
import { formatAddress } from '../../settings/common/settings.js';
import type { ExchangedState, RouterIdentity } from '../common/exchangedState.js';
import { encodeStoreContact } from '../common/fleetMessages.js';
import type { FleetOutbox } from '../common/fleetOutbox.js';
import {
	type EngineReport,
	type Member,
	RouterState,
	type UsageSum,
} from '../common/generated/masticloom/fleet/v1/fleet.js';

/** Largest number that a random incarnation can have. */
const INCARNATION_LIMIT = 2 ** 47;

/** What a datagram holds beside its sender. */
export interface DatagramContent {
	readonly replyRequested?: boolean;
	readonly withUsage?: boolean;
	readonly members?: readonly Member[];
	readonly reports?: readonly EngineReport[];
	readonly usageSum?: UsageSum;
}

/** Writes the datagrams of this process, each with a higher number than the one before. */
export class DatagramWriter {
	private readonly incarnation = randomInt(INCARNATION_LIMIT);
	private sequence = 0;
	private leaving = false;

	private constructor(
		private readonly identity: RouterIdentity,
		private readonly state: ExchangedState,
		private readonly clock: IClock,
	) {}

	/**
	 * @param identity of this router
	 * @param state what is told
	 * @param clock measures ages
	 * @returns a writer of a new incarnation
	 */
	public static create(identity: RouterIdentity, state: ExchangedState, clock: IClock): DatagramWriter {
		return new DatagramWriter(identity, state, clock);
	}

	/** Says in all further datagrams that this router leaves. */
	public leave(): void {
		this.leaving = true;
	}

	/**
	 * @param content what is told
	 * @param outbox what waits to be sent, which is taken out as far as it fits
	 * @returns a datagram
	 */
	public write(content: DatagramContent, outbox?: FleetOutbox): Uint8Array {
		const now = this.clock.now();
		const { engines, shares, assignments } = this.state;
		const state = RouterState.create({
			storeContactMs: encodeStoreContact(this.state.contactSince(), now),
			instance: this.identity.instance,
			incarnation: this.incarnation,
			sequence: ++this.sequence,
			failureDomain: this.identity.failureDomain,
			peerAddress: formatAddress(this.identity.peerAddress),
			datagramAddress: formatAddress(this.identity.datagramAddress),
			leaving: this.leaving,
			relieved: this.state.isRelieved(),
			replyRequested: content.replyRequested,
			followedRevisions: [...this.state.followedRevisions()],
			members: [...(content.members ?? [])],
			reports: [...(content.reports ?? [])],
			usageSum: content.usageSum,
		});
		outbox?.moveTo(state, (server) => engines.ownInProgressAt(server), now);
		if (content.withUsage === true) {
			const usage = shares.ownUsage(now);
			state.hasUsage = true;
			state.usage = [...usage];
			if (assignments.isLargeFleet) {
				shares.recordReportedUsage(usage);
			} else {
				state.hasAllStreams = true;
				state.streams = [...engines.ownInProgress()]
					.filter(([, requests]) => requests > 0)
					.map(([server, requests]) => ({ engine: shortKey(server), requests }));
			}
		}
		return RouterState.encode(state).finish();
	}
}
