import { Effect } from 'effect';
import type { EngineOption, PlacementLimits, PromptWork } from './engineChoice.js';
import type { Reservation, ShareClaim } from './placementMessages.js';

/**
 * Result of an attempt to reserve a place in a server queue. With 'kept-here', this router owns the queue and needs no
 * reservation. With 'declined', no server of the queue group meets the limits. With 'over-share', the request is
 * declined because its client account is over its share.
 */
export type ReservationResult =
	| { readonly kind: 'kept-here' }
	| { readonly kind: 'reserved'; readonly reservation: Reservation }
	| { readonly kind: 'declined' }
	| { readonly kind: 'over-share' };

/** Reserves places in queues that other routers own. */
export interface IQueueReservations {
	/**
	 * Reserves a place at the preferred server or at another one of its queue group.
	 *
	 * @param option the server that this router prefers
	 * @param work prompt of the request
	 * @param excluded identifiers of servers that must not receive the request
	 * @param limits limits for the place
	 * @param claim client account and cost of the request
	 * @returns the result; if it is declined, the reports of the queue owner have been applied, so that the next choice uses
	 * them
	 */
	reserve(
		option: EngineOption,
		work: PromptWork,
		excluded: ReadonlySet<string>,
		limits: PlacementLimits,
		claim: ShareClaim,
	): Effect.Effect<ReservationResult>;
}

/** Used by routers that own all queues. */
export const noRemoteReservations: IQueueReservations = { reserve: () => Effect.succeed({ kind: 'kept-here' }) };
