import { type EngineOption, isAcceptable, type PlacementLimits } from '../../engines/common/engineChoice.js';
import type { ShareStatus } from '../../shares/common/fleetShares.js';
import { canFinish, MINIMUM_RETRY_MS, spreadRetryMs } from './overloadRefusal.js';

/** Inputs of an admission decision. */
export interface AdmissionInputs {
	/** Engines that could take the request, in order of preference. */
	readonly options: readonly EngineOption[];
	/** Identifiers of engines that are not chosen, because they were tried or have declined the request. */
	readonly declinedBy: ReadonlySet<string>;
	/** Usage of the request's account relative to its fair share. */
	readonly shareStatus: ShareStatus;
	/** First-event target in milliseconds, counted from the caller's first attempt. */
	readonly aimMs: number;
	/** Milliseconds left until the target; negative when the first event can only be late. */
	readonly aimLeftMs: number;
	/** Milliseconds until the caller's deadline. */
	readonly deadlineLeftMs: number;
	/** Whether the request goes on with a stream, whose work was admitted when it began. */
	readonly isContinuation?: boolean;
	/** Jitter from 0 to 1 that keeps callers from retrying at the same time. */
	readonly retryJitter: number;
}

/** Why a request is refused. */
export type RefusalReason = 'no-server' | 'request-limit' | 'over-share' | 'busy';

/** The engine that gets a request, or the time after which the caller may retry. */
export type AdmissionDecision =
	| (PlacementLimits & { readonly kind: 'place'; readonly option: EngineOption })
	| {
			readonly kind: 'refuse';
			readonly reason: RefusalReason;
			readonly retryAfterMs: number;
			readonly limitMs: number;
			/** Whether an engine would take the request but for its memory. */
			readonly isMemoryShort?: boolean;
	  };

/** Time from the start of prefill to the first event at the caller, without the prefill: engine steps and network. */
const FIRST_EVENT_OVERHEAD_MS = 40;

/** Maximum accepted wait as a fraction of the target. Beyond it, streams slow down until they miss their deadline. */
const MAXIMUM_WAIT_FRACTION = 0.6;

/** Wait accepted for prompts whose prefill takes most of the target, as a fraction of it, so that these are served. */
const LARGE_PROMPT_WAIT_FRACTION = 0.3;

/**
 * Wait accepted for a stream that goes on, as a fraction of the target. Its caller gives it up after a pause of several
 * targets, and what it has received would be lost.
 */
const CONTINUATION_WAIT_FRACTION = 1.5;

/** Wait accepted for responses that can only be late, as a fraction of the target. */
const LATE_WAIT_FRACTION = 0.25;

/**
 * Accepted wait of accounts that offer more than their share, as a fraction of that of other accounts. Their queued
 * requests thereby leave room at the engines for the others.
 */
const OVER_SHARE_WAIT_FACTOR = 0.4;

/**
 * Longest time until an engine has prefilled a prompt of an account over its share, as a fraction of the target. Prompts
 * of other accounts that arrive in the meantime wait for no longer.
 */
const OVER_SHARE_PREFILL_FRACTION = 0.4;

/** Fraction of its share that an account has to receive before its long prompts wait for engines that are nearly idle. */
const RECEIVED_SHARE = 0.8;

/** Wait at which an engine is nearly idle and accepts prompts of any length from accounts over their share. */
const NEARLY_IDLE_WAIT_MS = 15;

/**
 * Maximum number of shared tokens that an engine may prefill again for a request of an account over its share: those
 * of a system prompt. Another prefill of a document takes capacity that others need, and evicts cached tokens that
 * others use.
 */
const OVER_SHARE_REREAD_TOKENS = 1_000;

/**
 * Minimum retry time of an account over its share, as a fraction of the target: the account's window has advanced by
 * then, and the response can still be on time. Responses to later retries are always late, and use capacity that
 * responses on time need.
 */
const OVER_SHARE_RETRY_FRACTION = 0.4;

/** Maximum retry time, as a fraction of the time left until the caller's deadline. */
const MAXIMUM_RETRY_FRACTION = 0.33;

/** Retry time when no server's recovery time is known; a crashed server is usable again after some seconds. */
const NO_SERVER_RETRY_MS = 500;

/** Period over which the retries of callers that wait for the same server are spread. */
const RETRY_SPREAD_MS = 250;

/**
 * Decides whether a request to a model engine is sent now, and to which engine, or is refused at once.
 *
 * A request waits at an engine only as long as its first event can still be on time. For an account that offers more
 * than its fair share, only a shorter wait and little repeated prefill are accepted, and long prompts only by engines
 * that are nearly idle, so that engines have room for the others.
 *
 * Load pattern: for seconds, work arrives at up to twice the rate that the engines can process, most of it from one
 * account after the other.
 *
 * @param inputs engines, account usage and time limits of the request
 * @returns the decision
 */
export function decideAdmission(inputs: AdmissionInputs): AdmissionDecision {
	const usable = inputs.options.filter(({ health }) => health.usable);
	const [preferred] = usable;
	if (preferred === undefined) {
		const retryMs = firstUsableMs(inputs) + inputs.retryJitter * RETRY_SPREAD_MS;
		const reason = inputs.options.some(({ isLimited }) => isLimited) ? 'request-limit' : 'no-server';
		return { kind: 'refuse', reason, retryAfterMs: clampRetryMs(retryMs, inputs), limitMs: 0 };
	}
	const isOverShare = inputs.isContinuation !== true && inputs.shareStatus.offeredShare > 1;
	const limitMs = isOverShare ? overShareWaitLimitMs(inputs, preferred.readMs) : waitLimitMs(inputs, preferred.readMs);
	const maximumRereadTokens = isOverShare ? OVER_SHARE_REREAD_TOKENS : Infinity;
	const limits: PlacementLimits = { limitMs, maximumLoad: 1, maximumRereadTokens };
	const accepted = usable.find(
		(option) =>
			isAcceptable(option, limits) &&
			canFinish(option, inputs.deadlineLeftMs) &&
			!inputs.declinedBy.has(option.server.id),
	);
	if (accepted !== undefined) {
		return { kind: 'place', option: accepted, ...limits };
	}
	const shortestWaitMs = Math.min(
		...usable.map(({ waitMs, memoryWaitMs }) => Math.max(waitMs - limitMs, memoryWaitMs)),
	);
	const isMemoryShort = usable.some((option) => {
		return option.memoryWaitMs > 0 && isAcceptable({ ...option, memoryWaitMs: 0 }, limits);
	});
	if (preferred.reportsSpeed === true) {
		const maximumMs = clampRetryMs(Infinity, inputs);
		const retryAfterMs = spreadRetryMs(shortestWaitMs + limitMs, limitMs, maximumMs, inputs.retryJitter);
		return { kind: 'refuse', reason: 'busy', retryAfterMs, limitMs, isMemoryShort };
	}
	const spreadMs = isMemoryShort ? inputs.retryJitter * RETRY_SPREAD_MS : 0;
	const retryAfterMs = clampRetryMs(Math.max(MINIMUM_RETRY_MS, shortestWaitMs) + spreadMs, inputs);
	return { kind: 'refuse', reason: 'busy', retryAfterMs, limitMs, isMemoryShort };
}

/**
 * Computes the retry time of a request that is refused because its account is over its share.
 *
 * @param throttledMs milliseconds until a request of the account is admitted
 * @param inputs first-event target and deadline of the request
 * @returns milliseconds after which the caller may retry
 */
export function overShareRetryAfterMs(
	throttledMs: number,
	inputs: Pick<AdmissionInputs, 'aimMs' | 'deadlineLeftMs'>,
): number {
	return clampRetryMs(Math.max(throttledMs, inputs.aimMs * OVER_SHARE_RETRY_FRACTION), inputs);
}

/** Milliseconds until the first server of the service is expected to be usable. */
function firstUsableMs({ options }: AdmissionInputs): number {
	const firstMs = Math.min(Infinity, ...options.map(({ health }) => health.unusableMs));
	return Number.isFinite(firstMs) ? Math.max(MINIMUM_RETRY_MS, firstMs) : NO_SERVER_RETRY_MS;
}

function waitLimitMs(inputs: AdmissionInputs, prefillMs: number): number {
	const { aimMs, aimLeftMs } = inputs;
	if (inputs.isContinuation === true) {
		return aimMs * CONTINUATION_WAIT_FRACTION;
	}
	const remainingMs = aimLeftMs - prefillMs - FIRST_EVENT_OVERHEAD_MS;
	return aimLeftMs <= FIRST_EVENT_OVERHEAD_MS
		? aimMs * LATE_WAIT_FRACTION
		: Math.min(aimMs * MAXIMUM_WAIT_FRACTION, Math.max(aimMs * LARGE_PROMPT_WAIT_FRACTION, remainingMs));
}

function overShareWaitLimitMs(inputs: AdmissionInputs, prefillMs: number): number {
	const limitMs = waitLimitMs(inputs, prefillMs) * OVER_SHARE_WAIT_FACTOR;
	if (inputs.shareStatus.usedShare < RECEIVED_SHARE) {
		return limitMs;
	}
	const roomMs = inputs.aimMs * OVER_SHARE_PREFILL_FRACTION - prefillMs;
	return Math.min(limitMs, Math.max(NEARLY_IDLE_WAIT_MS, roomMs));
}

/**
 * @param milliseconds time after which the caller may retry
 * @param inputs time left until the caller's deadline
 * @returns the time, limited to the part of the time left for which callers wait
 */
export function clampRetryMs(
	milliseconds: number,
	{ deadlineLeftMs }: Pick<AdmissionInputs, 'deadlineLeftMs'>,
): number {
	return Math.min(milliseconds, Math.max(0, deadlineLeftMs) * MAXIMUM_RETRY_FRACTION);
}
