import { rendezvousWeight } from '../../base/common/shortKey.js';
import { type EngineOption, evaluateCandidate, type PromptWork } from './engineChoice.js';
import type { PlainSlotTimes } from './plainSlotTimes.js';
import type { PrefixCacheIndex } from './prefixCacheIndex.js';
import { longestBurstMs, prefillMs } from './prefillTime.js';
import type { IQueueOwnership } from './queueDivision.js';
import { memoryWaitMs } from './serverMemory.js';
import type { KnownServer } from './serverStates.js';
import type { SlotTimes } from './slotTimes.js';

/** The router that will send a request. */
export interface RequestOrigin {
	readonly failureDomain: string;
	/** Cost in milliseconds of servers outside that domain; undefined when the constant applies. */
	readonly domainCostMs?: number | undefined;
	readonly isConnectedTo: (known: KnownServer) => boolean;
}

/** What a router knows beyond the state of each server. */
export interface RankingInputs {
	readonly queues: IQueueOwnership;
	readonly prefixCache: PrefixCacheIndex;
	readonly slotTimes: SlotTimes;
	readonly plainSlotTimes: PlainSlotTimes;
	/** Returns whether a server of a service has reported how long work takes on its machine. */
	readonly reportsSpeed: (service: string) => boolean;
	/** Returns the tokens that fit into the memory of a server of a service; undefined where it is not counted. */
	readonly countedMemoryOf: (service: string) => number | undefined;
}

/** An engine, and what is assumed about its prefix cache for a prompt. */
interface RankedPlace {
	readonly known: KnownServer;
	readonly ownsQueue: boolean;
	/** Whether its queue group is the preferred one for the document. */
	readonly isPreferred: boolean;
	readonly cachedTokens: number;
}

/** What is the same for all engines that are ranked for a request. */
interface RankingContext extends RequestOrigin {
	readonly work: PromptWork;
	readonly now: number;
	readonly maximumCachedTokens: number;
	readonly longestBurstMs: number;
	readonly reportsSpeed: boolean;
	/** Whether the service is plain, so that a slot is occupied for the whole work. */
	readonly isPlain: boolean;
	readonly meanSlotTimeMs: number;
	/** Tokens that fit into the memory of each engine; undefined where it is not counted. */
	readonly memoryTokens: number | undefined;
	/** Tokens that the request reserves. */
	readonly neededTokens: number;
	readonly isShared: boolean;
}

/**
 * Fractions of the shared tokens that a server whose queue another router owns is assumed to have cached, if its queue
 * group is the first or the second one for the prompt: the first group has prefilled them, the second one only if the first
 * was full.
 */
const FIRST_GROUP_CACHED_FRACTION = 1;
const SECOND_GROUP_CACHED_FRACTION = 0.5;

/** Orders the engines of a service by the predicted cost of a request. */
export class EngineRanking {
	/** Tokens that fit into the memory of an engine, by service. */
	private readonly memoryTokens = new Map<string, number>();

	private constructor(private readonly inputs: RankingInputs) {}

	/**
	 * @param inputs what the router knows beyond the state of each server
	 * @returns a ranking that has seen no request
	 */
	public static create(inputs: RankingInputs): EngineRanking {
		return new EngineRanking(inputs);
	}

	/**
	 * @param service name of a service
	 * @returns tokens that fit into the memory of an engine, as stated with its requests; undefined when not stated
	 */
	public memoryTokensOf(service: string): number | undefined {
		return this.memoryTokens.get(service);
	}

	/**
	 * Lists engines for a request.
	 *
	 * @param known servers of one service
	 * @param work prompt of the request
	 * @param requestOrigin router that will send the request
	 * @param now monotonic milliseconds
	 * @returns the engines by ascending cost
	 */
	public rank(
		known: readonly KnownServer[],
		work: PromptWork,
		requestOrigin: RequestOrigin,
		now: number,
	): readonly EngineOption[] {
		const service = known[0]?.server.service;
		this.inputs.prefixCache.learnSizes(work.parts);
		if (service === undefined) {
			return [];
		}
		if (work.memoryTokens !== undefined) {
			this.memoryTokens.set(service, work.memoryTokens);
		}
		const places = this.placesOf(known, work);
		const { domainCostMs, failureDomain, isConnectedTo } = requestOrigin;
		const isStream = work.promptTokens > 0;
		const context: RankingContext = {
			work,
			now,
			maximumCachedTokens: places.reduce((highest, { cachedTokens }) => Math.max(highest, cachedTokens), 0),
			domainCostMs,
			failureDomain,
			isConnectedTo,
			longestBurstMs: longestBurstMs(work.tokensPerEvent, work.pauseAimMs),
			reportsSpeed: this.inputs.reportsSpeed(service),
			isPlain: !isStream && !this.memoryTokens.has(service),
			meanSlotTimeMs: this.inputs.slotTimes.meanMs(service, isStream),
			memoryTokens: this.inputs.countedMemoryOf(service),
			neededTokens: reservedTokens(work),
			isShared: this.inputs.queues.isShared === true,
		};
		return places.map((place) => this.createOption(place, context)).sort((one, other) => one.cost - other.cost);
	}

	private placesOf(known: readonly KnownServer[], work: PromptWork): readonly RankedPlace[] {
		const { queues, prefixCache } = this.inputs;
		const { parts } = work;
		const groups = known.map(({ server }) => queues.queueGroupOf(server.id));
		const rankingPart = parts.at(-2) ?? parts.at(-1);
		const [first, second] = rankingPart === undefined ? [] : preferredGroups(groups, rankingPart.key);
		let sharedTokens = 0;
		for (let index = 0; index < parts.length - 1; index++) {
			sharedTokens += parts[index]?.tokens ?? 0;
		}
		return known.map((item, index) => {
			const group = groups[index];
			const ownsQueue = queues.ownsQueueOf(item.server.id);
			const isPreferred = group === first;
			const cachedTokens = prefixCache.cachedTokens(item.server.id, parts);
			if (ownsQueue) {
				return { known: item, ownsQueue, isPreferred, cachedTokens };
			}
			// If another router owns the queue, most placements are unknown here, so all routers use the same assumption.
			const fraction = isPreferred ? FIRST_GROUP_CACHED_FRACTION : group === second ? SECOND_GROUP_CACHED_FRACTION : 0;
			return { known: item, ownsQueue, isPreferred, cachedTokens: Math.max(fraction * sharedTokens, cachedTokens) };
		});
	}

	private createOption(place: RankedPlace, context: RankingContext): EngineOption {
		const { known, ownsQueue, isPreferred, cachedTokens } = place;
		const { work, now, reportsSpeed, memoryTokens } = context;
		const { server, state } = known;
		const workMs = work.promptTokens > 0 ? prefillMs(work.promptTokens, cachedTokens) : 0;
		if (reportsSpeed) {
			state.load.slotTimeMs = context.isPlain
				? this.inputs.plainSlotTimes.predict(server.service, state.load, now)
				: undefined;
		}
		const view = state.view(ownsQueue, now, { workMs, longestBurstMs: context.longestBurstMs });
		const slotTimeMs = state.load.slotTimeMs ?? context.meanSlotTimeMs;
		return evaluateCandidate(work, {
			server,
			workMs,
			view,
			cachedTokens,
			maximumCachedTokens: context.maximumCachedTokens,
			isPreferred,
			isSameDomain: server.failureDomain === context.failureDomain,
			sameDomainBonusMs: context.domainCostMs,
			isConnected: context.isConnectedTo(known),
			slotTimeMs,
			reportsSpeed,
			isPlain: state.load.slotTimeMs !== undefined,
			random: reportsSpeed ? Math.random() : undefined,
			memoryWaitMs:
				memoryTokens === undefined
					? 0
					: memoryWaitMs({
							neededTokens: context.neededTokens,
							heldTokens: view.heldTokens,
							inProgress: view.inProgress,
							memoryTokens,
							isShared: context.isShared,
							holdMs: slotTimeMs,
						}),
		});
	}
}

/**
 * Finds the queue groups that are most likely to have cached a prompt part. Rendezvous hashing gives all routers the same
 * order of queue groups for a document without communication.
 *
 * @param groups queue groups, possibly with duplicates
 * @param part short key of the part
 * @returns the two groups with the highest weights, or fewer if there are fewer groups; the first of equal ones precedes
 */
export function preferredGroups(groups: readonly number[], part: number): readonly number[] {
	let first: number | undefined;
	let second: number | undefined;
	let firstWeight = -1;
	let secondWeight = -1;
	for (const group of new Set(groups)) {
		const weight = rendezvousWeight(part, group);
		if (weight > firstWeight) {
			[second, secondWeight] = [first, firstWeight];
			[first, firstWeight] = [group, weight];
		} else if (weight > secondWeight) {
			[second, secondWeight] = [group, weight];
		}
	}
	return [first, second].filter((group) => group !== undefined);
}

/**
 * Shared parts count in full, since the engine may not have cached them.
 *
 * @param work prompt of a request
 * @returns tokens that the request reserves at an engine
 */
export function reservedTokens({ promptTokens, outputTokens = 0 }: PromptWork): number {
	return promptTokens > 0 ? promptTokens + outputTokens : 0;
}
