import type { Effect } from 'effect';

/** A request that needs a slot. */
export interface SlotRequest {
	/** Identifier of the pool. */
	readonly pool: string;
	/** Identifier of the client account. */
	readonly account: string;
	/** Identifier of the service. */
	readonly service: string;
	/** Cost that the caller expects, in cost units. */
	readonly costHint?: number | undefined;
}

/** Permission to have one request in progress on one backend server. */
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
	 * Releases the slot. Further calls have no effect.
	 *
	 * @param failed whether the backend server failed
	 */
	release(failed: boolean): void;
}

/** Assigns slots fairly across the fleet. */
export interface ISlotService {
	/**
	 * Waits in the fair queue for a slot. Interruption removes the request from the queue.
	 *
	 * @param request pool, account and service that need the slot
	 * @returns the slot; the caller must release it
	 */
	acquire(request: SlotRequest): Effect.Effect<Slot>;
	/**
	 * @param pool identifier of the pool
	 * @param account identifier of the account
	 * @returns number of requests of the account that are queued at this router
	 */
	queuedRequests(pool: string, account: string): number;
}
