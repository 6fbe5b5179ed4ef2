import type { Effect } from 'effect';

/** A request that needs a slot. */
export interface SlotRequest {
	readonly pool: string;
	readonly account: string;
	readonly service: string;
	/** Cost that the caller expects, in cost units. */
	readonly costHint?: number | undefined;
}

/** The right to have one request in progress on one backend server. */
export interface Slot {
	/** Identifier of the backend server. */
	readonly backendServer: string;
	/**
	 * Counts delivered service.
	 *
	 * @param costUnits service since the last call
	 */
	charge(costUnits: number): void;
	/**
	 * Gives the slot back. Further calls have no effect.
	 *
	 * @param failed the backend server failed
	 */
	release(failed: boolean): void;
}

/** Hands out slots fairly across the fleet. */
export interface ISlotService {
	/**
	 * Waits in the fair queue for a slot. Interruption removes the request from the queue.
	 *
	 * @param request who needs the slot
	 * @returns the slot; the caller must release it
	 */
	acquire(request: SlotRequest): Effect.Effect<Slot>;
	/**
	 * @param pool identifier of the pool
	 * @param account identifier of the account
	 * @returns requests of the account that wait on this router
	 */
	queuedRequests(pool: string, account: string): number;
}
