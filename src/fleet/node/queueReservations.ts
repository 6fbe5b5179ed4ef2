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

type Settle = (server: string | undefined, answer: ReservationAnswer) => void;

/** Answers to requests whose caller has left are waited for as long as this many others are asked for. */
const MAXIMUM_ABANDONED = 200;

/**
 * Asks the routers that keep the queues of servers for places in them. When a keeper does not answer in time, the
 * request is placed by what was last heard of the server.
 */
export class QueueReservations extends Disposable implements IQueueReservations {
	private readonly pending = new Map<number, Settle>();
	private readonly abandoned = new Set<number>();

	private constructor(
		private readonly duties: FleetAssignments,
		private readonly engines: EngineFleet,
		private readonly shares: FleetShares,
		private readonly exchange: FleetExchange,
		private readonly clock: IClock,
		private readonly log: IDecisionLog,
		private readonly timeoutMs: number,
	) {
		super();
		this.register(exchange.onDidAnswerReservation((answer) => this.receive(answer)));
	}

	/**
	 * @param duties which router keeps the queue of a server
	 * @param engines learns what keepers tell
	 * @param shares bound what an account begins at servers whose queues this router keeps
	 * @param exchange carries requests and answers
	 * @param clock stamps what keepers tell
	 * @param log receives requests that were not answered
	 * @param timeoutMs longest time in milliseconds for which an answer is waited for
	 * @returns reservations, none of which is asked for
	 */
	public static create(
		duties: FleetAssignments,
		engines: EngineFleet,
		shares: FleetShares,
		exchange: FleetExchange,
		clock: IClock,
		log: IDecisionLog,
		timeoutMs = RESERVATION_TIMEOUT_MS,
	): QueueReservations {
		return new QueueReservations(duties, engines, shares, exchange, clock, log, timeoutMs);
	}

	public reserve(
		option: EngineOption,
		work: PromptWork,
		excluded: ReadonlySet<string>,
		terms: PlacementLimits,
		claim: ShareClaim,
	): Effect.Effect<ReservationResult> {
		const server = option.server.id;
		const keeper = this.duties.queueOwnerOf(server);
		if (keeper === undefined) {
			return Effect.succeed({ kind: 'kept-here' });
		}
		if (this.duties.ownsQueueOf(server)) {
			return Effect.succeed({ kind: this.mayBeginHere(option, claim) ? 'kept-here' : 'over-share' });
		}
		const sequence = this.engines.nextSequence();
		const askedAt = this.clock.now();
		const unconfirmed: ReservationResult = {
			kind: 'reserved',
			reservation: { server, sequence, confirmed: false, waitMs: option.waitMs, delayMs: 0, workMs: option.workMs },
		};
		return Effect.callback<ReservationResult>((resume) => {
			const timer = setTimeout(() => {
				this.pending.delete(sequence);
				const waitedMs = Math.round(this.clock.now() - askedAt);
				this.log.write('reservation-unanswered', { keeper, server, sequence, waitedMs });
				resume(Effect.succeed(unconfirmed));
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
				excluded: [...excluded, ...this.engines.blockedInGroupOf(server, askedAt)].map(shortKey),
				connected: this.engines.connectedInGroupOf(server),
				failureDomain: this.engines.failureDomain,
				sequence,
				work,
				claim,
				...terms,
			});
			return Effect.sync(() => {
				clearTimeout(timer);
				this.abandon(sequence);
			});
		});
	}

	/** Decides about an own request as {@link FleetExchange} does about those of peers. */
	private mayBeginHere({ server, waitMs, load }: EngineOption, { account, cost }: ShareClaim): boolean {
		if (cost === 0) {
			return true;
		}
		const now = this.clock.now();
		const part = this.engines.ownedQueueFraction(shortKey(server.service));
		const isIdle = waitMs <= OVER_SHARE_LIMITS.limitMs && load <= OVER_SHARE_LIMITS.maximumLoad;
		if (!isIdle && this.shares.isOverShareAtQueueOwner(account, part, now)) {
			return false;
		}
		this.shares.recordPlacement(account, cost, now);
		return true;
	}

	private receive(answer: ReservationAnswer): void {
		const { sequence } = answer;
		const now = this.clock.now();
		for (const { engine, ...report } of answer.reports) {
			this.engines.applyReport(engine, report, now);
		}
		const chosen = answer.engine === 0 ? undefined : this.engines.serverIdOf(answer.engine);
		const settle = this.pending.get(sequence);
		if (settle !== undefined) {
			this.pending.delete(sequence);
			settle(chosen, answer);
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
