import { Effect } from 'effect';
import type { IClock } from '../../base/common/clock.js';
import { Disposable } from '../../base/common/lifecycle.js';
import { shortKey } from '../../base/common/shortKey.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import type { EngineOption, PlacementLimits, PromptWork } from '../../engines/common/engineChoice.js';
import type { EngineFleet } from '../../engines/common/engineFleet.js';
import type { IQueueReservations, ReservationResult } from '../../engines/common/queueReservations.js';
import { RESERVATION_TIMEOUT_MS } from '../common/fleetTiming.js';
import type { ReservationAnswer } from '../common/generated/masticloom/fleet/v1/fleet.js';
import type { FleetAssignments } from '../common/fleetAssignments.js';
import type { ShareClaim } from '../../engines/common/placementMessages.js';
import { OVER_SHARE_LIMITS, type FleetShares } from '../../shares/common/fleetShares.js';
import type { FleetExchange } from './fleetExchange.js';

type ReservationCallback = (server: string | undefined, response: ReservationAnswer) => void;

/** Maximum number of tracked reservation requests whose caller has left before the response; the oldest are dropped. */
const MAXIMUM_ABANDONED = 200;

/**
 * Requests places in the queues of servers from the routers that own the queues. When a queue owner does not respond in
 * time, the request is placed according to the last report about the server.
 */
export class QueueReservations extends Disposable implements IQueueReservations {
	private readonly pending = new Map<number, ReservationCallback>();
	private readonly abandoned = new Set<number>();

	private constructor(
		private readonly assignments: FleetAssignments,
		private readonly engines: EngineFleet,
		private readonly shares: FleetShares,
		private readonly exchange: FleetExchange,
		private readonly clock: IClock,
		private readonly log: IDecisionLog,
		private readonly timeoutMs: number,
	) {
		super();
		this.register(exchange.onDidReceiveReservationResponse((response) => this.receive(response)));
	}

	/**
	 * @param assignments determine which router owns the queue of a server
	 * @param engines receive the reports of queue owners
	 * @param shares limit what an account starts at servers whose queues this router owns
	 * @param exchange carries requests and responses
	 * @param clock timestamps received reports
	 * @param log records requests without a response
	 * @param timeoutMs longest wait for a response, in milliseconds
	 * @returns an instance without pending reservations
	 */
	public static create(
		assignments: FleetAssignments,
		engines: EngineFleet,
		shares: FleetShares,
		exchange: FleetExchange,
		clock: IClock,
		log: IDecisionLog,
		timeoutMs = RESERVATION_TIMEOUT_MS,
	): QueueReservations {
		return new QueueReservations(assignments, engines, shares, exchange, clock, log, timeoutMs);
	}

	public reserve(
		option: EngineOption,
		work: PromptWork,
		excluded: ReadonlySet<string>,
		limits: PlacementLimits,
		claim: ShareClaim,
	): Effect.Effect<ReservationResult> {
		const server = option.server.id;
		const keeper = this.assignments.queueOwnerOf(server);
		if (keeper === undefined) {
			return Effect.succeed({ kind: 'kept-here' });
		}
		if (this.assignments.ownsQueueOf(server)) {
			return Effect.succeed({ kind: this.canStartHere(option, claim) ? 'kept-here' : 'over-share' });
		}
		const sequence = this.engines.nextSequence();
		const requestedAt = this.clock.now();
		const unconfirmed: ReservationResult = {
			kind: 'reserved',
			reservation: { server, sequence, confirmed: false, waitMs: option.waitMs, delayMs: 0, workMs: option.workMs },
		};
		return Effect.callback<ReservationResult>((resume) => {
			const timer = setTimeout(() => {
				this.pending.delete(sequence);
				const waitedMs = Math.round(this.clock.now() - requestedAt);
				this.log.write('reservation-unanswered', { keeper, server, sequence, waitedMs });
				// Only the queue owner counts the requests of a limited server.
				resume(Effect.succeed(this.engines.isRequestLimited(server) ? { kind: 'declined' } : unconfirmed));
			}, this.timeoutMs);
			this.pending.set(sequence, (chosen, { waitMs, delayMs, workMs, overShare }) => {
				clearTimeout(timer);
				resume(
					Effect.succeed(
						chosen === undefined
							? { kind: overShare ? 'over-share' : 'declined' }
							: {
									kind: 'reserved',
									reservation: { server: chosen, sequence, confirmed: true, waitMs, delayMs, workMs },
								},
					),
				);
			});
			this.exchange.requestReservation(keeper, {
				service: shortKey(option.server.service),
				excluded: [...excluded, ...this.engines.blockedInGroupOf(server, requestedAt)].map(shortKey),
				connected: this.engines.connectedInGroupOf(server),
				failureDomain: this.engines.failureDomain,
				domainCostMs: this.engines.domainCostMs(option.server.service, work, requestedAt),
				sequence,
				work,
				claim,
				...limits,
			});
			return Effect.sync(() => {
				clearTimeout(timer);
				this.abandon(sequence);
			});
		});
	}

	/** Applies the same limits to a request of this router as {@link FleetExchange} does to those of peers. */
	private canStartHere({ server, waitMs, load }: EngineOption, { account, cost }: ShareClaim): boolean {
		if (cost === 0) {
			return true;
		}
		const now = this.clock.now();
		const queueFraction = this.engines.ownedQueueFraction(shortKey(server.service));
		const isIdle = waitMs <= OVER_SHARE_LIMITS.limitMs && load <= OVER_SHARE_LIMITS.maximumLoad;
		if (!isIdle && this.shares.isOverShareAtQueueOwner(account, queueFraction, now)) {
			return false;
		}
		this.shares.recordPlacement(account, cost, now);
		return true;
	}

	private receive(response: ReservationAnswer): void {
		const { sequence } = response;
		const now = this.clock.now();
		for (const { engine, ...report } of response.reports) {
			this.engines.applyReport(engine, report, now);
		}
		const chosen = response.engine === 0 ? undefined : this.engines.serverIdOf(response.engine);
		const callback = this.pending.get(sequence);
		if (callback !== undefined) {
			this.pending.delete(sequence);
			callback(chosen, response);
		} else if (this.abandoned.delete(sequence) && chosen !== undefined) {
			this.engines.abandonReservation(chosen, sequence, now);
		}
	}

	private abandon(sequence: number): void {
		if (!this.pending.delete(sequence)) {
			return;
		}
		this.abandoned.add(sequence);
		for (const oldest of this.abandoned) {
			if (this.abandoned.size <= MAXIMUM_ABANDONED) {
				break;
			}
			this.abandoned.delete(oldest);
		}
	}
}
