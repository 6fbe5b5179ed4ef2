import { type EngineOption, isAcceptable, type PlacementLimits } from '../../engines/common/engineChoice.js';
import type { ShareStatus } from '../../shares/common/fleetShares.js';

/** What decides whether a request is sent to an engine now. */
export interface AdmissionInputs {
	/** Engines that could take the request, the best one first. */
	readonly options: readonly EngineOption[];
	/** Engines that are not asked again for a place. */
	readonly declinedBy: ReadonlySet<string>;
	/** How the request's account stands against its fair share. */
	readonly shareStatus: ShareStatus;
	/** Time within which the first event is on time, counted from the caller's first attempt, in milliseconds. */
	readonly aimMs: number;
	/** Milliseconds of the aim that are left; negative when the answer can only be late. */
	readonly aimLeftMs: number;
	/** Milliseconds until the caller gives up. */
	readonly deadlineLeftMs: number;
	/** Number from 0 to 1 that keeps callers from returning together. */
	readonly retryJitter: number;
}

/** Why a request is refused. */
export type RefusalReason = 'no-server' | 'over-share' | 'busy';

/** Where a request goes, or when it may come back. */
export type AdmissionDecision =
	| (PlacementLimits & { readonly kind: 'place'; readonly option: EngineOption })
	| {
			readonly kind: 'refuse';
			readonly reason: RefusalReason;
			readonly retryAfterMs: number;
			readonly limitMs: number;
	  };

/** Time from the start of reading to the first event at the caller, beyond the time to read: steps and the network. */
const FIRST_EVENT_OVERHEAD_MS = 40;

/** Longest wait that is accepted, as a part of the aim. Beyond, streams slow down until they end after their deadline. */
const LONGEST_WAIT_OF_AIM = 0.6;

/** Wait that is accepted for prompts whose own reading takes most of the aim, so that large ones are served as well. */
const SHORTEST_WAIT_OF_AIM = 0.3;

/** Wait that is accepted for answers that can only be late, as a part of the aim. */
const LATE_WAIT_OF_AIM = 0.25;

/**
 * Part of the wait of others that is accepted for accounts that ask for more than their share, so that what they have
 * waiting at an engine leaves room for the others.
 */
const BOUNDED_WAIT = 0.4;

/**
 * Shared tokens that requests of such accounts may make an engine read again: a system prompt. Reading a document again
 * takes from engines what others need, and throws out of their memory what others use.
 */
const BOUNDED_REREAD_TOKENS = 1_000;

/** Shortest time after which a refused caller is asked to return: an engine's queue changes little in less. */
const SHORTEST_RETRY_MS = 80;

/**
 * Part of the aim after which a refused caller of an account beyond its share may return: its account's window has moved
 * on, and the answer can still be on time. Later returns are late at any rate and take the place of ones that are not.
 */
const RETURN_OF_AIM = 0.4;

/** Callers return at the latest after this part of the time that they have left. */
const LATEST_RETURN_OF_DEADLINE = 0.33;

/** Asked when it is not known when a server of the service can be used; a crashed one is back after some seconds. */
const NO_SERVER_RETRY_MS = 500;

/** Time over which callers return that wait for the same server. */
const RETURN_SPREAD_MS = 250;

/**
 * Decides whether a request to a model engine is sent now, and to which engine, or is refused at once.
 *
 * A request waits at an engine only as long as its first event can still be on time. An account that has had its fair
 * share is served by engines that would be idle otherwise.
 *
 * Load pattern: work arrives at up to twice the engines' pace for seconds, most of it from one account after the other.
 *
 * @param inputs what decides
 * @returns the decision
 */
export function decideAdmission(inputs: AdmissionInputs): AdmissionDecision {
	const usable = inputs.options.filter(({ health }) => health.usable);
	const [best] = usable;
	if (best === undefined) {
		const returnMs = firstUsableMs(inputs) + inputs.retryJitter * RETURN_SPREAD_MS;
		return { kind: 'refuse', reason: 'no-server', retryAfterMs: clampReturn(returnMs, inputs), limitMs: 0 };
	}
	const isBounded = inputs.shareStatus.offeredShare > 1;
	const limitMs = waitLimitMs(inputs, best.readMs) * (isBounded ? BOUNDED_WAIT : 1);
	const maximumRereadTokens = isBounded ? BOUNDED_REREAD_TOKENS : Infinity;
	const terms: PlacementLimits = { limitMs, maximumLoad: 1, maximumRereadTokens };
	const accepted = usable.find((option) => isAcceptable(option, terms) && !inputs.declinedBy.has(option.server.id));
	if (accepted !== undefined) {
		return { kind: 'place', option: accepted, ...terms };
	}
	const shortestWaitMs = Math.min(...usable.map(({ waitMs }) => waitMs));
	const retryAfterMs = Math.max(SHORTEST_RETRY_MS, shortestWaitMs - limitMs);
	return { kind: 'refuse', reason: 'busy', retryAfterMs: clampReturn(retryAfterMs, inputs), limitMs };
}

/**
 * Says when the caller of a request may return that is refused for the share of its account.
 *
 * @param refusedMs milliseconds until a request of the account is admitted
 * @param inputs what the caller can wait
 * @returns milliseconds
 */
export function overShareRetryAfterMs(
	refusedMs: number,
	inputs: Pick<AdmissionInputs, 'aimMs' | 'deadlineLeftMs'>,
): number {
	return clampReturn(Math.max(refusedMs, inputs.aimMs * RETURN_OF_AIM), inputs);
}

/** When the first server of the service is expected to be usable. */
function firstUsableMs({ options }: AdmissionInputs): number {
	const firstMs = Math.min(Infinity, ...options.map(({ health }) => health.unusableMs));
	return Number.isFinite(firstMs) ? Math.max(SHORTEST_RETRY_MS, firstMs) : NO_SERVER_RETRY_MS;
}

function waitLimitMs(inputs: AdmissionInputs, readMs: number): number {
	const { aimMs, aimLeftMs } = inputs;
	const leftMs = aimLeftMs - readMs - FIRST_EVENT_OVERHEAD_MS;
	return aimLeftMs <= FIRST_EVENT_OVERHEAD_MS
		? aimMs * LATE_WAIT_OF_AIM
		: Math.min(aimMs * LONGEST_WAIT_OF_AIM, Math.max(aimMs * SHORTEST_WAIT_OF_AIM, leftMs));
}

function clampReturn(milliseconds: number, { deadlineLeftMs }: Pick<AdmissionInputs, 'deadlineLeftMs'>): number {
	return Math.min(milliseconds, Math.max(0, deadlineLeftMs) * LATEST_RETURN_OF_DEADLINE);
}
