import { randomInt } from 'node:crypto';
import type { IClock } from '../../base/common/clock.js';
import { shortKey } from '../../base/common/shortKey.js';
import { formatAddress } from '../../settings/common/settings.js';
import type { ExchangedState, RouterIdentity } from '../common/exchangedState.js';
import { encodeStoreContact } from '../common/fleetMessages.js';
import { encodeEvidence, type RepeatedSuspects } from '../common/suspectMessages.js';
import type { FleetOutbox } from '../common/fleetOutbox.js';
import { toWireCount } from '../common/wireCount.js';
import {
	type EngineReport,
	type Member,
	RouterState,
	type UsageSum,
} from '../common/generated/masticloom/fleet/v1/fleet.js';

/** Exclusive upper limit of random incarnation numbers. */
const INCARNATION_LIMIT = 2 ** 47;

/** Optional content of a datagram, besides the state of its sender. */
export interface DatagramContent {
	readonly replyRequested?: boolean;
	readonly withUsage?: boolean;
	readonly members?: readonly Member[];
	readonly reports?: readonly EngineReport[];
	readonly usageSum?: UsageSum | undefined;
	/** What may crash servers. */
	readonly suspects?: RepeatedSuspects | undefined;
}

/** Encodes the datagrams of this process, each with a higher sequence number than the one before. */
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
	 * @param state to be sent
	 * @param clock measures ages
	 * @returns a writer with a new random incarnation number
	 */
	public static create(identity: RouterIdentity, state: ExchangedState, clock: IClock): DatagramWriter {
		return new DatagramWriter(identity, state, clock);
	}

	/** Marks this router as leaving in all further datagrams. */
	public leave(): void {
		this.leaving = true;
	}

	/**
	 * @param content optional content
	 * @param outbox whose content is moved into the datagram, as far as it fits
	 * @returns the encoded datagram
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
		const takeHeldTokens = (server: string): number => engines.takeHeldTokensReport(server, now);
		outbox?.moveTo(state, (server) => engines.ownInProgressAt(server), now, takeHeldTokens);
		state.quarantinedParts.push(...(content.suspects?.part.quarantined ?? []));
		state.quarantinedRequests.push(...(content.suspects?.request.quarantined ?? []));
		state.partEvidence = (content.suspects?.part.evidence ?? []).map(encodeEvidence);
		state.requestEvidence = (content.suspects?.request.evidence ?? []).map(encodeEvidence);
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
					.map(([server, requests]) => ({
						engine: shortKey(server),
						requests,
						heldTokens: toWireCount(takeHeldTokens(server)),
					}));
			}
		}
		return RouterState.encode(state).finish();
	}
}
