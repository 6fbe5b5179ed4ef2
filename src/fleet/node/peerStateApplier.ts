import type { IDecisionLog } from '../../base/node/structuredLog.js';
import type { ExchangedState } from '../common/exchangedState.js';
import { decodeOutcome } from '../common/fleetOutbox.js';
import { Outcome, type RouterState, type UsageSum } from '../common/generated/masticloom/fleet/v1/fleet.js';
import type { ReportBuffer } from '../common/reportBuffer.js';

/** Takes over what peers tell of engines, accounts and requests that end servers. */
export class PeerStateApplier {
	private constructor(
		private readonly state: ExchangedState,
		private readonly failureDomain: string,
		private readonly isRelay: () => boolean,
		private readonly reports: ReportBuffer,
		private readonly log: IDecisionLog,
	) {}

	/**
	 * @param state that learns from peers
	 * @param failureDomain of this router
	 * @param isRelay whether this router tells on what it hears
	 * @param reports that a relay tells on
	 * @param log receives what is learned of requests that end servers
	 * @returns what takes over datagrams
	 */
	public static create(
		state: ExchangedState,
		failureDomain: string,
		isRelay: () => boolean,
		reports: ReportBuffer,
		log: IDecisionLog,
	): PeerStateApplier {
		return new PeerStateApplier(state, failureDomain, isRelay, reports, log);
	}

	/**
	 * @param state a datagram of a peer
	 * @param now monotonic milliseconds
	 */
	public apply(state: RouterState, now: number): void {
		const { engines, shares, suspects, assignments } = this.state;
		const isSameDomain = state.failureDomain === this.failureDomain;
		for (const placement of state.placements) {
			engines.applyPlacement(state.instance, { ...placement, server: placement.engine }, now);
		}
		for (const firstEvent of state.firstEvents) {
			engines.applyFirstEvent(state.instance, { ...firstEvent, server: firstEvent.engine }, now);
		}
		for (const { fingerprint, deaths, quarantineMs } of state.crashes) {
			const name = Buffer.from(fingerprint).toString('hex');
			this.log.write('crash-suspect-heard', { peer: state.instance, fingerprint: name, deaths, quarantineMs });
			suspects.applyPeerState(state.instance, { fingerprint: name, deaths, quarantineMs, claimMs: 0 });
		}
		for (const { engine, ageMs, ...report } of state.reports) {
			const reportedAt = now - ageMs;
			engines.applyReport(engine, report, reportedAt);
			if (this.isRelay()) {
				this.reports.add({ engine, report, reportedAt, isSameDomain });
			}
		}
		for (const { engine, outcome } of state.outcomes) {
			const decoded = decodeOutcome(outcome);
			if (outcome === Outcome.OUTCOME_LEAVING) {
				engines.applyLeaving(engine);
			} else if (decoded !== undefined) {
				engines.applyOutcome(engine, decoded, now);
			}
		}
		if (state.hasUsage && (!assignments.isLargeFleet || (this.isRelay() && isSameDomain))) {
			shares.applyPeerUsage(state.instance, state.usage, now);
		}
		if (state.usageSum !== undefined) {
			this.applyUsageSum(state.usageSum, now);
		}
		if (state.hasAllStreams || state.streams.length > 0) {
			const streams = new Map(state.streams.map(({ engine, requests }) => [engine, requests]));
			engines.applyInProgress(state.instance, streams, state.hasAllStreams);
		}
	}

	/** Relays sum up their domain themselves and hear the sums of the others; all others hear the sum of the fleet. */
	private applyUsageSum({ failureDomain, usage }: UsageSum, now: number): void {
		if (!this.state.assignments.isLargeFleet) {
			return;
		}
		if (failureDomain === '' && !this.isRelay()) {
			this.state.shares.applyFleetSum(usage, now);
		} else if (failureDomain !== '' && this.isRelay() && failureDomain !== this.failureDomain) {
			this.state.shares.applyDomainSum(failureDomain, usage, now);
		}
	}
}
