import type { PlacementLimits, PromptWork } from './engineChoice.js';
import type { EngineReport } from './engineState.js';
import type { ServerOutcome } from './serverOutcomes.js';

/** A placement by this router, for its peers. */
export interface PlacementNotice {
	readonly server: string;
	readonly sequence: number;
	readonly workMs: number;
	/** Keys of the parts that other prompts may share. */
	readonly parts: readonly number[];
	readonly at: number;
}

/** The end of a prompt placed by this router, for its peers. */
export interface FirstEventNotice {
	readonly server: string;
	readonly sequence: number;
	readonly abandoned: boolean;
	readonly at: number;
}

/** The end of a request of this router, for the router that keeps the server's queue. */
export interface EndNotice {
	readonly server: string;
	readonly outcome: ServerOutcome | undefined;
}

/** How a request of this router ended. */
export interface RequestEnd {
	/** Whether the first event was noted before, or the request has no prompt. */
	readonly hadFirstEvent: boolean;
	/** Milliseconds for which the request held a slot; undefined when it did not end by itself. */
	readonly slotTimeMs: number | undefined;
	/** What the end says of the server; undefined when it says nothing. */
	readonly outcome: ServerOutcome | undefined;
}

/** Asks the router that keeps the queues of a group of servers for a place in one of them. */
export interface ReservationRequest extends PlacementLimits {
	/** Name of the service, as a short key. */
	readonly service: number;
	/** Servers that must not be chosen, by short key. */
	readonly excluded: readonly number[];
	/** Number that the asking router gives the placement. */
	readonly sequence: number;
	readonly work: PromptWork;
	/** Failure domain of the asking router. */
	readonly failureDomain: string;
	/** Servers to which the asking router has an idle connection, by short key. */
	readonly connected: readonly number[];
	readonly claim: ShareClaim;
}

/** Whose share of the engines' capacity a request takes. */
export interface ShareClaim {
	/** Short key of the account. */
	readonly account: number;
	/** Cost units; 0 when it uses no engine's capacity. */
	readonly cost: number;
}

/** What the keeper of queues answers. */
export interface ReservationAnswer {
	/** Identifier of the server whose queue has the place; undefined when none was given. */
	readonly server: string | undefined;
	/** Predicted milliseconds until the server begins the request. */
	readonly waitMs: number;
	/** Milliseconds after which the request is to be sent. */
	readonly delayMs: number;
	/** Nominal milliseconds to read what the server does not hold. */
	readonly workMs: number;
	/** State of the servers that could be chosen, with the placement, by short key. */
	readonly reports: ReadonlyMap<number, EngineReport>;
}

/** A place in the queue of a server that another router keeps. */
export interface Reservation {
	/** Identifier of the server. */
	readonly server: string;
	readonly sequence: number;
	/** False when the keeper did not answer in time. */
	readonly confirmed: boolean;
	/** Predicted milliseconds until the server begins the request. */
	readonly waitMs: number;
	/** Milliseconds after which the request is to be sent. */
	readonly delayMs: number;
	/** Nominal milliseconds to read the prompt. */
	readonly workMs: number;
}
