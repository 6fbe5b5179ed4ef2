import type { ExchangedState } from '../common/exchangedState.js';
import { decodeLoad } from '../common/fleetMessages.js';
import { decodeOutcome } from '../common/fleetOutbox.js';
import { Outcome, type RouterState, type UsageSum } from '../common/generated/masticloom/fleet/v1/fleet.js';
import type { ReportBuffer } from '../common/reportBuffer.js';

/** Applies what peers report about engines and accounts. */
export class PeerStateApplier {
	private constructor(
		private readonly state: ExchangedState,
		private readonly failureDomain: string,
		private readonly isRelay: () => boolean,
		private readonly reports: ReportBuffer,
	) {}

	/**
	 * @param state to which reports of peers are applied
	 * @param failureDomain of this router
	 * @param isRelay returns whether this router forwards reports to others
	 * @param reports buffer of the reports that a relay forwards
	 * @returns an instance that applies datagrams
	 */
	public static create(
		state: ExchangedState,
		failureDomain: string,
		isRelay: () => boolean,
		reports: ReportBuffer,
	): PeerStateApplier {
		return new PeerStateApplier(state, failureDomain, isRelay, reports);
	}

	/**
	 * @param datagram a datagram of a peer
	 * @param now monotonic milliseconds
	 */
	public apply(datagram: RouterState, now: number): void {
		const { engines, shares, assignments } = this.state;
		const isSameDomain = datagram.failureDomain === this.failureDomain;
		for (const placement of datagram.placements) {
			engines.applyPlacement(datagram.instance, { ...placement, server: placement.engine }, now);
		}
		for (const firstEvent of datagram.firstEvents) {
			engines.applyFirstEvent(datagram.instance, { ...firstEvent, server: firstEvent.engine }, now);
		}
		for (const { engine, ageMs, ...report } of datagram.reports) {
			const reportedAt = now - ageMs;
			engines.applyReport(engine, report, reportedAt);
			if (this.isRelay()) {
				this.reports.add({ engine, report, reportedAt, isSameDomain });
			}
		}
		for (const received of datagram.outcomes) {
			const { engine, outcome, startedAt: startedAtMs, requestsPerSecond } = received;
			const decoded = decodeOutcome(outcome);
			const startedAt = startedAtMs === 0 ? undefined : startedAtMs;
			if (outcome === Outcome.OUTCOME_LEAVING) {
				engines.applyLeaving(engine, startedAt);
			} else if (outcome === Outcome.OUTCOME_LIMITED) {
				engines.applyRequestLimit(engine, { startedAt, requestsPerSecond }, now);
			} else if (outcome === Outcome.OUTCOME_UNLIMITED) {
				engines.applyRequestLimit(engine, { startedAt, requestsPerSecond: undefined }, now);
			} else if (outcome === Outcome.OUTCOME_LOAD) {
				const report = decodeLoad(received, now);
				if (report !== undefined) {
					engines.applyLoad(engine, report);
				}
			} else if (decoded !== undefined) {
				engines.applyOutcome(engine, decoded, now);
			}
		}
		if (datagram.hasUsage && (!assignments.isLargeFleet || (this.isRelay() && isSameDomain))) {
			shares.applyPeerUsage(datagram.instance, datagram.usage, now);
		}
		if (datagram.usageSum !== undefined) {
			this.applyUsageSum(datagram.usageSum, now);
		}
		if (datagram.hasAllStreams || datagram.streams.length > 0) {
			const streams = new Map(datagram.streams.map(({ engine, requests }) => [engine, requests]));
			const heldTokens = new Map(datagram.streams.map((item) => [item.engine, item.heldTokens]));
			engines.applyInProgress(datagram.instance, streams, datagram.hasAllStreams, now, heldTokens);
		}
	}

	/** Relays add up the usage of their domain and receive the sums of other domains; others receive the fleet's sum. */
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
