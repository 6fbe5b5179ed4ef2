import { Effect } from 'effect';
import type { EngineOption, PlacementLimits, PromptWork } from './engineChoice.js';
import type { Reservation, ShareClaim } from './placementMessages.js';

/** Answer to a request for a place in the queue of a server. */
export type ReservationResult =
	| { readonly kind: 'kept-here' }
	| { readonly kind: 'reserved'; readonly reservation: Reservation }
	| { readonly kind: 'declined' }
	| { readonly kind: 'over-share' };

/** Takes places in queues that other routers keep. */
export interface IQueueReservations {
	/**
	 * @param option the best server by what is known here
	 * @param work what the request asks of it
	 * @param excluded identifiers of servers that the request must not reach
	 * @param terms on which the place is wanted
	 * @param claim whose share the request takes
	 * @returns a place at this or another server whose queue is kept with it; when it is declined, what the keeper told is
	 * known to later choices
	 */
	reserve(
		option: EngineOption,
		work: PromptWork,
		excluded: ReadonlySet<string>,
		terms: PlacementLimits,
		claim: ShareClaim,
	): Effect.Effect<ReservationResult>;
}

/** For routers that keep all queues themselves. */
export const noRemoteReservations: IQueueReservations = { reserve: () => Effect.succeed({ kind: 'kept-here' }) };
