import type { RegisteredServer } from './registeredServer.js';
import type { EngineView } from './engineState.js';
import type { PromptPart } from './prefixCacheIndex.js';
import { prefillMs, streamPauseMs } from './prefillTime.js';
import type { EngineHealth } from './serverOutcomes.js';

/** What a request asks of an engine. */
export interface PromptWork {
	readonly parts: readonly PromptPart[];
	/** Tokens of the whole prompt; 0 for a request to a plain service. */
	readonly promptTokens: number;
	/** Generated tokens in one event of a stream. */
	readonly tokensPerEvent: number;
	/** Longest pause in milliseconds between events of streams that are on time. */
	readonly pauseAimMs: number;
}

/** One engine that could take a request. */
export interface EngineOption {
	readonly server: RegisteredServer;
	/** Predicted milliseconds until the engine begins to read the prompt. */
	readonly waitMs: number;
	/** Milliseconds after which the prompt is to be sent. */
	readonly delayMs: number;
	/** Predicted milliseconds to read what the engine does not hold. */
	readonly readMs: number;
	/** Nominal milliseconds to read what the engine does not hold, on an engine of pace 1. */
	readonly workMs: number;
	/** Tokens of shared parts that some engine holds and this one would read again. */
	readonly rereadTokens: number;
	/** Requests in progress at the engine, of all routers, as last heard. */
	readonly inProgress: number;
	/** Part of the last second in which the engine read prompts, from 0 to 1. */
	readonly load: number;
	/** Order of preference; lower is better. */
	readonly cost: number;
	/** Trust in the engine after its recent failures. */
	readonly health: EngineHealth;
}

/** On which terms a request takes an engine. */
export interface PlacementLimits {
	/** Longest wait in milliseconds. */
	readonly limitMs: number;
	/** Highest load of the engine, from 0 to 1. */
	readonly maximumLoad: number;
	/** Most tokens of shared parts that may be read again. */
	readonly maximumRereadTokens: number;
}

/**
 * @param option an engine that could take a request
 * @param terms on which the request takes one
 * @returns whether the engine can be used and meets the terms
 */
export function isAcceptable(option: EngineOption, terms: PlacementLimits): boolean {
	return (
		option.health.usable &&
		option.waitMs <= terms.limitMs &&
		option.load <= terms.maximumLoad &&
		option.rereadTokens <= terms.maximumRereadTokens
	);
}

/** An engine and what decides its place in the order of preference. */
export interface EngineCandidate {
	readonly server: RegisteredServer;
	readonly view: EngineView;
	/** Nominal milliseconds to read what the engine does not hold, on an engine of pace 1. */
	readonly workMs: number;
	/** Leading tokens of the prompt that the engine is taken to hold. */
	readonly heldTokens: number;
	/** Most leading tokens that some engine of the service is taken to hold. */
	readonly mostHeldTokens: number;
	/** Place of the engine's group in the order that all routers agree on for this document; 0 is its home. */
	readonly rank: number;
	/** Whether the engine is in the failure domain of the router that sends the request. */
	readonly isNear: boolean;
	/** Whether that router has an idle connection to the engine. */
	readonly isConnected: boolean;
	/** Mean milliseconds for which a request holds a slot of this service. */
	readonly slotTimeMs: number;
}

/** Weight of reading a shared part again, on top of the time it takes: the platform charges for it. */
const REREAD_WEIGHT = 3;

/** Preference for the group that all routers choose for a document that no engine is known to hold. */
const HOME_BONUS_MS = 8;

/** Preference for an engine in the own failure domain, for the round trip and the price of its bytes. */
const SAME_DOMAIN_BONUS_MS = 3;

/**
 * Cost of a new connection: an engine spends a millisecond on it and can hold a slot for it, which the platform charges
 * for. In a large fleet each router would otherwise open one to each engine for nearly each request.
 */
const NEW_CONNECTION_COST_MS = 10;

/** Slows the streams of an engine as its batch fills; the cost of a whole batch in the order of preference. */
const FULL_BATCH_COST_MS = 120;

/** A prompt that pauses streams for this part of their aim makes them late together with what else is read. */
const HARMFUL_PAUSE_OF_AIM = 0.85;

/** Cost of a harmful pause for each request in progress: most of its worth, in the order of preference. */
const HARMFUL_PAUSE_COST_MS = 100;

/** A request that fails has cost its caller about this much waiting. */
const FAILURE_COST_MS = 1_500;

/**
 * Says what a request would meet at an engine, and how much the engine is preferred.
 *
 * Load pattern: the longest prompts pause all streams of their engine, so they gather where few streams run. Engines
 * with small batches have no slot free while their streams run.
 *
 * @param work what the request asks
 * @param candidate engine and what is known of it
 * @returns the engine as an option
 */
export function optionOf(work: PromptWork, candidate: EngineCandidate): EngineOption {
	const { server, view, workMs, heldTokens, mostHeldTokens } = candidate;
	const { pace, inProgress, health, load } = view;
	const rereadTokens = Math.max(0, mostHeldTokens - heldTokens);
	const waitMs = view.waitMs + slotWaitMs(candidate);
	const readMs = workMs * pace;
	const pauses =
		streamPauseMs(work.promptTokens, heldTokens, work.tokensPerEvent) * pace > HARMFUL_PAUSE_OF_AIM * work.pauseAimMs;
	const cost =
		waitMs +
		readMs +
		(rereadTokens > 0 ? REREAD_WEIGHT * prefillMs(rereadTokens, 0) : 0) +
		(FULL_BATCH_COST_MS * inProgress) / server.slots +
		(pauses ? HARMFUL_PAUSE_COST_MS * inProgress : 0) +
		health.failureRate * FAILURE_COST_MS -
		(candidate.rank === 0 && mostHeldTokens === 0 ? HOME_BONUS_MS : 0) -
		(candidate.isNear ? SAME_DOMAIN_BONUS_MS : 0) +
		(candidate.isConnected ? 0 : NEW_CONNECTION_COST_MS);
	return { server, waitMs, delayMs: view.delayMs, readMs, workMs, rereadTokens, inProgress, load, cost, health };
}

// Engines of a small batch have no slot free long before their prompts are read.
function slotWaitMs({ server, view, slotTimeMs }: EngineCandidate): number {
	const excess = view.inProgress + 1 - server.slots;
	return excess > 0 ? (excess * slotTimeMs) / server.slots : 0;
}
