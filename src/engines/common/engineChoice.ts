import type { RegisteredServer } from './directory.js';
import type { PathDemand } from './domainPolicy.js';
import type { EngineView } from './engineState.js';
import type { PromptPart } from './prefixCacheIndex.js';
import { prefillMs, streamPauseMs } from './prefillTime.js';
import { spreadCostMs } from './serverLoad.js';
import type { EngineHealth } from './serverOutcomes.js';

/** Prompt of a request and its streaming requirements. */
export interface PromptWork {
	readonly parts: readonly PromptPart[];
	/** Tokens of the whole prompt; 0 for a request to a plain service. */
	readonly promptTokens: number;
	/** Generated tokens per stream event. */
	readonly tokensPerEvent: number;
	/** Target for the longest pause between stream events, in milliseconds. */
	readonly pauseAimMs: number;
	/** Tokens that fit into the memory of an engine of the service; undefined when not stated. */
	readonly memoryTokens?: number | undefined;
	/** What determines the cost of leaving the failure domain; undefined on a queue owner, which receives the cost. */
	readonly path?: PathDemand | undefined;
	/** Tokens reserved for the output; undefined where the memory of servers is not counted. */
	readonly outputTokens?: number | undefined;
}

/** An engine that could take a request, with its predicted cost. */
export interface EngineOption {
	readonly server: RegisteredServer;
	/** Predicted milliseconds until the engine starts the prefill of the prompt. */
	readonly waitMs: number;
	/** Milliseconds to delay the prompt before sending it. */
	readonly delayMs: number;
	/**
	 * Predicted milliseconds to prefill the tokens that the engine has not cached; at a plain service whose servers report
	 * how long work takes, predicted milliseconds of the whole work.
	 */
	readonly readMs: number;
	/** Nominal milliseconds to prefill the tokens that the engine has not cached, on an engine of pace 1. */
	readonly workMs: number;
	/** Tokens of shared parts that another engine has cached and this one would have to prefill again. */
	readonly rereadTokens: number;
	/** Last known number of requests in progress at the engine, from all routers. */
	readonly inProgress: number;
	/** Fraction of about the last second that the engine spent on prefill, from 0 to 1. */
	readonly load: number;
	/** Placement cost in milliseconds; lower is better. */
	readonly cost: number;
	/** Health of the engine based on recent requests. */
	readonly health: EngineHealth;
	/** Whether the engine is excluded now because of the limit that it names. */
	readonly isLimited: boolean;
	/** Tokens that the requests in progress reserve at the engine, as far as known. */
	readonly heldTokens: number;
	/** Predicted milliseconds until the request fits into the memory of the engine; 0 when it fits now. */
	readonly memoryWaitMs: number;
	/** Whether servers of its service report how long work takes, so that its predicted times hold in overload too. */
	readonly reportsSpeed?: boolean;
	/** Average duration of work relative to the usual one; undefined when the server has not reported it recently. */
	readonly workTime?: number | undefined;
}

/** Limits that an engine must meet to be chosen for a request. */
export interface PlacementLimits {
	/** Longest wait in milliseconds. */
	readonly limitMs: number;
	/** Highest load of the engine, from 0 to 1. */
	readonly maximumLoad: number;
	/** Most tokens of shared parts that may be prefilled again. */
	readonly maximumRereadTokens: number;
}

/**
 * @param option an engine that could take a request
 * @param limits limits of the request
 * @returns whether the engine is usable and meets the limits
 */
export function isAcceptable(option: EngineOption, limits: PlacementLimits): boolean {
	return (
		option.health.usable &&
		option.memoryWaitMs === 0 &&
		option.waitMs <= limits.limitMs &&
		option.load <= limits.maximumLoad &&
		option.rereadTokens <= limits.maximumRereadTokens
	);
}

/** An engine and the inputs that determine its placement cost. */
export interface EngineCandidate {
	readonly server: RegisteredServer;
	readonly view: EngineView;
	/** Nominal milliseconds to prefill the tokens that the engine has not cached, on an engine of pace 1. */
	readonly workMs: number;
	/** Estimated number of leading prompt tokens that the engine has cached. */
	readonly cachedTokens: number;
	/** Highest estimate of cached leading tokens among the engines of the service. */
	readonly maximumCachedTokens: number;
	/** Whether all routers prefer the engine's queue group for this document. */
	readonly isPreferred: boolean;
	/** Whether the engine is in the failure domain of the router that sends the request. */
	readonly isSameDomain: boolean;
	/** Bonus in milliseconds for an engine in that domain; the constant where the domain policy decides nothing. */
	readonly sameDomainBonusMs?: number | undefined;
	/** Whether that router has an idle connection to the engine. */
	readonly isConnected: boolean;
	/** Mean milliseconds for which a request occupies a slot of this service, or of this server if it reports its speed. */
	readonly slotTimeMs: number;
	/** Predicted milliseconds until the request fits into the memory of the engine; 0 when it fits now. */
	readonly memoryWaitMs: number;
	/** Whether servers of the service report how long work takes. */
	readonly reportsSpeed?: boolean;
	/** Whether the service is plain, so that a slot is occupied for the whole work. */
	readonly isPlain?: boolean;
	/** Number from 0 to 1 that spreads requests over servers that the reported figures cannot tell apart. */
	readonly random?: number;
}

/** Weight of prefilling a shared part again, in addition to the time it takes: the platform charges for it. */
const REREAD_WEIGHT = 3;

/** Bonus for the queue group that all routers prefer for a document that no engine is known to have cached. */
const PREFERRED_GROUP_BONUS_MS = 8;

/**
 * Bonus for an engine in the same failure domain, for the shorter round trip and cheaper traffic, where the domain policy
 * decides nothing: for services that do not report their speed, and for routers without reports.
 */
export const DEFAULT_SAME_DOMAIN_BONUS_MS = 3;

/**
 * Cost of a new connection: an engine spends a millisecond on it and may occupy a slot for it, which the platform charges
 * for. Without this cost, routers of a large fleet would open a new connection for nearly every request.
 */
const NEW_CONNECTION_COST_MS = 10;

/**
 * Cost of a full batch, since streams slow down as the batch of their engine fills; proportional for a partial batch.
 */
export const FULL_BATCH_COST_MS = 120;

/**
 * A prompt that pauses streams for more than this fraction of the pause target makes them miss the target together with
 * other prefill work.
 */
const HARMFUL_PAUSE_FRACTION = 0.85;

/** Cost of a harmful pause per request in progress; it amounts to most of the value of such a request. */
const HARMFUL_PAUSE_COST_MS = 100;

/** Approximate waiting time that a failed request has cost its caller. */
const FAILURE_COST_MS = 1_500;

/**
 * Predicts how a request would run on an engine and computes the placement cost.
 *
 * Load pattern: the longest prompts pause all streams of their engine, so the cost directs them to engines with few
 * streams. Engines with small batches have no free slot while their streams run.
 *
 * @param work prompt of the request
 * @param candidate engine and its estimated state
 * @returns the engine with its predicted times and cost
 */
export function evaluateCandidate(work: PromptWork, candidate: EngineCandidate): EngineOption {
	const { server, view, workMs, cachedTokens, maximumCachedTokens } = candidate;
	const { pace, inProgress, health, load, isLimited, workTime, noise } = view;
	const { reportsSpeed = false, isPlain = false, random = 0.5 } = candidate;
	const rereadTokens = Math.max(0, maximumCachedTokens - cachedTokens);
	const waitMs = view.waitMs + slotWaitMs(candidate);
	const readMs = reportsSpeed && isPlain ? candidate.slotTimeMs : workMs * pace;
	const isHarmfulPause =
		streamPauseMs(work.promptTokens, cachedTokens, work.tokensPerEvent) * pace >
		HARMFUL_PAUSE_FRACTION * work.pauseAimMs;
	const cost =
		waitMs +
		readMs +
		(rereadTokens > 0 ? REREAD_WEIGHT * prefillMs(rereadTokens, 0) : 0) +
		(FULL_BATCH_COST_MS * inProgress) / server.slots +
		(isHarmfulPause ? HARMFUL_PAUSE_COST_MS * inProgress : 0) +
		health.failureRate * FAILURE_COST_MS -
		(candidate.isPreferred && maximumCachedTokens === 0 ? PREFERRED_GROUP_BONUS_MS : 0) -
		(candidate.isSameDomain ? (candidate.sameDomainBonusMs ?? DEFAULT_SAME_DOMAIN_BONUS_MS) : 0) +
		(candidate.isConnected ? 0 : NEW_CONNECTION_COST_MS) +
		spreadCostMs(noise, waitMs + readMs, random);
	return {
		server,
		waitMs,
		delayMs: view.delayMs,
		readMs,
		workMs,
		heldTokens: view.heldTokens,
		memoryWaitMs: candidate.memoryWaitMs,
		rereadTokens,
		inProgress,
		load,
		cost,
		health,
		isLimited,
		reportsSpeed,
		workTime,
	};
}

/**
 * Predicts the wait for a slot. An engine with a small batch can run out of slots long before its prefill queue is full.
 *
 * @param candidate the server, its estimated state and the slot occupancy time of its service
 * @returns milliseconds until a slot is free
 */
export function slotWaitMs({
	server,
	view,
	slotTimeMs,
}: Pick<EngineCandidate, 'server' | 'view' | 'slotTimeMs'>): number {
	const excess = view.inProgress + 1 - server.slots;
	return excess > 0 ? (excess * slotTimeMs) / server.slots : 0;
}
