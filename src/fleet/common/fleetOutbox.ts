import {
	SUSPECT_KINDS,
	type SuspectedCrash,
	type SuspectKind,
	type SuspectStatus,
} from '../../backends/common/suspectRegistry.js';
import { shortKey } from '../../base/common/shortKey.js';
import type {
	EndNotice,
	FirstEventNotice,
	PlacementNotice,
	ReservationAnswer,
	ReservationRequest,
} from '../../engines/common/placementMessages.js';
import type { EngineReport } from '../../engines/common/engineState.js';
import type { RequestLimitReport } from '../../engines/common/requestLimit.js';
import type { ServerLoadReport } from '../../engines/common/serverLoad.js';
import type { LeavingNotice } from '../../engines/common/serverNotices.js';
import type { ServerOutcome } from '../../engines/common/serverOutcomes.js';
import { encodeLoad, encodeReport } from './fleetMessages.js';
import * as wire from './generated/masticloom/fleet/v1/fleet.js';
import { MAXIMUM_WIRE_COUNT, toWireCount } from './wireCount.js';

/**
 * Maximum number of entries in a list of a datagram. Longer lists are split over several datagrams, since a fragmented
 * datagram is lost with any of its fragments.
 */
const MAXIMUM_LIST_LENGTH = 30;

/** Maximum number of crashes in a datagram, each with up to {@link MAXIMUM_LIST_LENGTH} suspects. */
const CRASHES_PER_DATAGRAM = 4;

const HUNDREDTHS = 100;
const MICROSECONDS_PER_MILLISECOND = 1_000;

const OUTCOMES: ReadonlyMap<ServerOutcome, wire.Outcome> = new Map([
	['answered', wire.Outcome.OUTCOME_ANSWERED],
	['failed', wire.Outcome.OUTCOME_FAILED],
	['refused', wire.Outcome.OUTCOME_REFUSED],
	['unreachable', wire.Outcome.OUTCOME_UNREACHABLE],
	['silent', wire.Outcome.OUTCOME_SILENT],
]);

/** Collects notices, reservation requests and responses until they are sent to one router or to all. */
export class FleetOutbox {
	private readonly placements: PlacementNotice[] = [];
	private readonly firstEvents: FirstEventNotice[] = [];
	private readonly crashes: wire.ServerCrash[] = [];
	private readonly cleared: Readonly<Record<SuspectKind, number[]>> = { part: [], request: [] };
	private readonly quarantined: Readonly<Record<SuspectKind, wire.QuarantinedSuspect[]>> = { part: [], request: [] };
	private readonly reservations: wire.ReservationRequest[] = [];
	private readonly answers: wire.ReservationAnswer[] = [];
	private readonly outcomes: wire.EngineOutcome[] = [];
	private readonly loads = new Map<string, ServerLoadReport>();
	/** Servers whose number of requests in progress is to be sent. */
	private readonly servers = new Set<string>();
	private timer: NodeJS.Timeout | undefined;

	private constructor(private readonly flush: (outbox: FleetOutbox) => void) {}

	/**
	 * @param flush sends the content of the outbox
	 * @returns an empty outbox
	 */
	public static create(flush: (outbox: FleetOutbox) => void): FleetOutbox {
		return new FleetOutbox(flush);
	}

	/** Whether there are crash notices, which go to every router. */
	public get hasCrashes(): boolean {
		const { crashes, cleared, quarantined } = this;
		return crashes.length > 0 || SUSPECT_KINDS.some((kind) => cleared[kind].length > 0 || quarantined[kind].length > 0);
	}

	/**
	 * Whether placements, first events, outcomes or loads are to be sent, such as those that did not fit into the last
	 * datagram.
	 */
	public get hasEvents(): boolean {
		const { placements, firstEvents, outcomes, loads } = this;
		return placements.length > 0 || firstEvents.length > 0 || outcomes.length > 0 || loads.size > 0;
	}

	/** @param notice a placement by this router */
	public addPlacement(notice: PlacementNotice): void {
		this.placements.push(notice);
		this.servers.add(notice.server);
	}

	/** @param notice the first event of a request of this router, or the end of the request before its first event */
	public addFirstEvent(notice: FirstEventNotice): void {
		this.firstEvents.push(notice);
	}

	/** @param notice the end of a request of this router */
	public addEnd({ server, outcome }: EndNotice): void {
		this.servers.add(server);
		if (outcome !== undefined) {
			this.addOutcome(server, OUTCOMES.get(outcome) ?? wire.Outcome.OUTCOME_UNSPECIFIED);
		}
	}

	/** @param notice a server that has reported that it is leaving */
	public addLeaving({ server, startedAt = 0 }: LeavingNotice): void {
		this.addOutcome(server, wire.Outcome.OUTCOME_LEAVING, startedAt);
	}

	/** @param report limit that a server has named or no longer names */
	public addRequestLimit({ server, startedAt = 0, requestsPerSecond }: RequestLimitReport): void {
		const outcome = requestsPerSecond === undefined ? wire.Outcome.OUTCOME_UNLIMITED : wire.Outcome.OUTCOME_LIMITED;
		this.addOutcome(server, outcome, startedAt, requestsPerSecond);
	}

	/** @param report load that a server has reported, which replaces an earlier one that has not been sent */
	public addLoad(report: ServerLoadReport): void {
		this.loads.set(report.server, report);
	}

	/**
	 * @param kind of the suspects
	 * @param crash a server that ended, and the suspects that may be the cause
	 */
	public addCrash(kind: SuspectKind, { server, suspects }: SuspectedCrash): void {
		for (let start = 0; start < suspects.length; start += MAXIMUM_LIST_LENGTH) {
			const keys = suspects.slice(start, start + MAXIMUM_LIST_LENGTH);
			this.crashes.push({
				engine: server,
				parts: kind === 'part' ? keys : [],
				requests: kind === 'request' ? keys : [],
			});
		}
	}

	/**
	 * @param kind of the suspects
	 * @param keys suspects that a server has survived
	 */
	public addCleared(kind: SuspectKind, keys: readonly number[]): void {
		this.cleared[kind].push(...keys);
	}

	/**
	 * @param kind of the suspect
	 * @param status of a quarantined suspect
	 */
	public addQuarantine(kind: SuspectKind, status: SuspectStatus): void {
		this.quarantined[kind].push(status);
	}

	/** @param request for a place in a queue */
	public addReservation(request: ReservationRequest): void {
		const { work } = request;
		this.reservations.push({
			service: request.service,
			sequence: request.sequence,
			promptTokens: toWireCount(work.promptTokens),
			parts: work.parts.map(({ key }) => key),
			partTokens: work.parts.map(({ tokens }) => toWireCount(tokens)),
			tokensPerEvent: toWireCount(work.tokensPerEvent),
			pauseAimMs: Number.isFinite(work.pauseAimMs) ? toWireCount(work.pauseAimMs) : 0,
			limitMs: toWireCount(request.limitMs),
			maximumLoad: toWireCount(request.maximumLoad * HUNDREDTHS),
			maximumRereadTokens: toWireCount(request.maximumRereadTokens),
			excluded: [...request.excluded],
			connected: [...request.connected],
			account: request.claim.account,
			cost: toWireCount(request.claim.cost),
			domainCostUs: encodeDomainCost(request.domainCostMs),
			outputTokens: toWireCount(work.outputTokens ?? 0),
		});
	}

	/**
	 * @param sequence number that the requesting router gave the request
	 * @param answer response to the request for a place
	 * @param isOverShare whether the request was declined because its client account is over its share
	 */
	public addAnswer(sequence: number, answer: ReservationAnswer, isOverShare: boolean): void {
		const { server, waitMs, delayMs, workMs, reports } = answer;
		this.answers.push({
			sequence,
			engine: server === undefined ? 0 : shortKey(server),
			waitMs: toWireCount(waitMs),
			delayMs: toWireCount(delayMs),
			workMs: toWireCount(workMs),
			overShare: isOverShare,
			reports: encodeReports(reports),
		});
	}

	/** @param delayMs milliseconds after which the outbox is flushed, unless a flush is scheduled already */
	public schedule(delayMs: number): void {
		this.timer ??= setTimeout(() => this.flush(this), delayMs);
	}

	/** Cancels a scheduled flush. */
	public cancel(): void {
		clearTimeout(this.timer);
		this.timer = undefined;
	}

	/**
	 * Moves the content into a datagram, as far as it fits.
	 *
	 * @param state the datagram
	 * @param ownInProgress returns the number of requests of this router in progress at a server
	 * @param now monotonic milliseconds
	 * @param takeHeldTokens returns the tokens that these requests reserve at the server, which are thereby reported
	 */
	public moveTo(
		state: wire.RouterState,
		ownInProgress: (server: string) => number,
		now: number,
		takeHeldTokens: (server: string) => number = () => 0,
	): void {
		const ageMs = (at: number): number => toWireCount(now - at);
		state.placements = this.placements
			.splice(0, MAXIMUM_LIST_LENGTH)
			.map(({ server, sequence, workMs, parts, at }) => ({
				engine: shortKey(server),
				sequence,
				workMs: toWireCount(workMs),
				parts: [...parts],
				ageMs: ageMs(at),
			}));
		state.firstEvents = this.firstEvents.splice(0, MAXIMUM_LIST_LENGTH).map(({ server, sequence, abandoned, at }) => ({
			engine: shortKey(server),
			sequence,
			abandoned,
			ageMs: ageMs(at),
		}));
		state.serverCrashes = this.crashes.splice(0, CRASHES_PER_DATAGRAM);
		state.clearedParts = this.cleared.part.splice(0, MAXIMUM_LIST_LENGTH);
		state.clearedRequests = this.cleared.request.splice(0, MAXIMUM_LIST_LENGTH);
		state.quarantinedParts = this.quarantined.part.splice(0, MAXIMUM_LIST_LENGTH);
		state.quarantinedRequests = this.quarantined.request.splice(0, MAXIMUM_LIST_LENGTH);
		state.reservations = this.reservations.splice(0, MAXIMUM_LIST_LENGTH);
		state.answers = this.answers.splice(0, MAXIMUM_LIST_LENGTH);
		state.outcomes = this.outcomes.splice(0, MAXIMUM_LIST_LENGTH);
		for (const [server, report] of this.loads) {
			if (state.outcomes.length >= MAXIMUM_LIST_LENGTH) {
				break;
			}
			state.outcomes.push(encodeLoad(report, now));
			this.loads.delete(server);
		}
		state.streams = [...this.servers].map((server) => ({
			engine: shortKey(server),
			requests: toWireCount(ownInProgress(server)),
			heldTokens: toWireCount(takeHeldTokens(server)),
		}));
		this.servers.clear();
	}

	private addOutcome(server: string, outcome: wire.Outcome, startedAt = 0, requestsPerSecond = 0): void {
		this.outcomes.push({ engine: shortKey(server), outcome, startedAt, requestsPerSecond, load: undefined });
	}
}

/**
 * @param request as received
 * @param failureDomain of the peer
 * @returns the decoded request
 */
export function decodeReservation(request: wire.ReservationRequest, failureDomain: string): ReservationRequest {
	return {
		service: request.service,
		excluded: request.excluded,
		connected: request.connected,
		claim: { account: request.account, cost: request.cost },
		failureDomain,
		domainCostMs: request.domainCostUs === 0 ? undefined : request.domainCostUs / MICROSECONDS_PER_MILLISECOND,
		sequence: request.sequence,
		work: {
			parts: request.parts.map((key, index) => ({ key, tokens: request.partTokens[index] ?? 0 })),
			promptTokens: request.promptTokens,
			tokensPerEvent: request.tokensPerEvent,
			pauseAimMs: request.pauseAimMs > 0 ? request.pauseAimMs : Infinity,
			outputTokens: request.outputTokens,
		},
		limitMs: request.limitMs,
		maximumLoad: request.maximumLoad / HUNDREDTHS,
		maximumRereadTokens: request.maximumRereadTokens === MAXIMUM_WIRE_COUNT ? Infinity : request.maximumRereadTokens,
	};
}

/** 0 stands for the constant, so a cost that rounds to it is sent as the smallest one. */
function encodeDomainCost(costMs: number | undefined): number {
	return costMs === undefined ? 0 : Math.max(1, toWireCount(costMs * MICROSECONDS_PER_MILLISECOND));
}

/**
 * @param reports states of servers, by short key
 * @returns the encoded reports
 */
export function encodeReports(reports: ReadonlyMap<number, EngineReport>): wire.EngineReport[] {
	return [...reports].map(([engine, report]) => encodeReport(engine, report));
}

/**
 * @param outcome as received
 * @returns how a request ended; undefined for an unknown value, such as one of a newer version of the product
 */
export function decodeOutcome(outcome: wire.Outcome): ServerOutcome | undefined {
	return [...OUTCOMES].find(([, value]) => value === outcome)?.[0];
}
