import type { PlacementLimits, PromptWork } from './engineChoice.js';
import type { EngineReport } from './engineState.js';
import type { ServerOutcome } from './serverOutcomes.js';

/** Notifies peers that this router has placed a request on a server. */
export interface PlacementNotice {
	readonly server: string;
	readonly sequence: number;
	readonly workMs: number;
	/** Short keys of the prompt parts that other prompts may share. */
	readonly parts: readonly number[];
	/** Monotonic milliseconds of the placement. */
	readonly at: number;
}

/** Notifies peers that a prompt placed by this router has been prefilled or abandoned. */
export interface FirstEventNotice {
	readonly server: string;
	readonly sequence: number;
	/** Whether the request ended before its first event. */
	readonly abandoned: boolean;
	/** Monotonic milliseconds of the first event or the end. */
	readonly at: number;
}

/** Notifies the owner of a server's queue that a request of this router has ended. */
export interface EndNotice {
	readonly server: string;
	readonly outcome: ServerOutcome | undefined;
}

/** How a request of this router ended. */
export interface RequestEnd {
	/** Whether the first event was recorded before the end, or the request has no prompt. */
	readonly hadFirstEvent: boolean;
	/** Milliseconds for which the request occupied a slot; undefined when it did not run to completion. */
	readonly slotTimeMs: number | undefined;
	/** What the end implies about the server; undefined when it implies nothing. */
	readonly outcome: ServerOutcome | undefined;
}

/** Asks the router that owns the queues of a queue group for a place in one of them. */
export interface ReservationRequest extends PlacementLimits {
	/** Short key of the service name. */
	readonly service: number;
	/** Short keys of servers that must not be chosen. */
	readonly excluded: readonly number[];
	/** Sequence number that the requesting router assigns to the placement. */
	readonly sequence: number;
	readonly work: PromptWork;
	/** Failure domain of the requesting router. */
	readonly failureDomain: string;
	/** Short keys of servers to which the requesting router has an idle connection. */
	readonly connected: readonly number[];
	readonly claim: ShareClaim;
	/** Cost in milliseconds of servers outside that domain; undefined when the constant applies. */
	readonly domainCostMs?: number | undefined;
}

/** Client account that a request is charged to, and how much of the engines' capacity it uses. */
export interface ShareClaim {
	/** Short key of the client account. */
	readonly account: number;
	/** Cost units; 0 when the request uses no engine capacity. */
	readonly cost: number;
}

/** Response of the queue owner to a {@link ReservationRequest}. */
export interface ReservationAnswer {
	/** Identifier of the server that has a place reserved; undefined when the reservation was declined. */
	readonly server: string | undefined;
	/** Predicted milliseconds until the server starts the request. */
	readonly waitMs: number;
	/** Milliseconds to delay the request before sending it. */
	readonly delayMs: number;
	/** Nominal milliseconds to prefill the tokens that the server has not cached. */
	readonly workMs: number;
	/** State of the eligible servers by short key, including this placement. */
	readonly reports: ReadonlyMap<number, EngineReport>;
	/** Predicted milliseconds until the request fits into the memory of the server; 0 when it fits now. */
	readonly memoryWaitMs?: number;
}

/** A place in a server queue that another router owns. */
export interface Reservation {
	/** Identifier of the server. */
	readonly server: string;
	readonly sequence: number;
	/** False when the queue owner did not respond in time. */
	readonly confirmed: boolean;
	/** Predicted milliseconds until the server starts the request. */
	readonly waitMs: number;
	/** Milliseconds to delay the request before sending it. */
	readonly delayMs: number;
	/** Nominal milliseconds to prefill the prompt. */
	readonly workMs: number;
}
