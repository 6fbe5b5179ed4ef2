import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { EngineQueue } from '../../engines/common/engineQueue.js';
import { prefillMs } from '../../engines/common/prefillTime.js';
import type { EngineOption } from '../../engines/common/engineChoice.js';
import { engineWith, optionWith } from '../../engines/test/engineFixture.js';
import { FairnessLedger, type FairnessWindow } from '../../shares/common/fairnessLedger.js';
import { OVER_SHARE_LIMITS, FleetShares } from '../../shares/common/fleetShares.js';
import { decideAdmission, overShareRetryAfterMs } from '../common/admission.js';

/** An account and what it asks. */
export interface ReplayedAccount {
	readonly name: string;
	/** Tokens of a prompt, at the mean. */
	readonly meanTokens: number;
	/** Requests a second at a time in milliseconds. */
	readonly requestsPerSecond: (now: number) => number;
	/** Routers that its requests arrive at. */
	readonly routers: number;
}

/** Engines and routers of a replay. */
export interface ReplayedFleet {
	readonly routers: number;
	readonly engines: number;
	/** Time that engines take for a prompt, relative to the nominal time, at a time in milliseconds. */
	readonly pace?: (now: number) => number;
	/** Tokens a second that the engines are said to produce. */
	readonly nominalTokensPerSecond: number;
	/** Time in milliseconds after which routers know of each other's usage, and the time between two reports of it. */
	readonly exchangeDelayMs?: number;
}

/** What became of the requests of a replay. */
export interface ReplayResult {
	readonly windows: readonly FairnessWindow[];
	/** Cost units that each account got, by second. */
	readonly servedBySecond: ReadonlyMap<string, readonly number[]>;
	/** Part of the time for which engines read, in seconds in which some request was refused for its account's share. */
	readonly loadWhileThrottled: readonly number[];
	/** Requests that no engine could take in time, of accounts that ask for less than an equal part. */
	readonly busy: ReadonlyMap<string, number>;
}

interface Attempt {
	readonly account: ReplayedAccount;
	readonly key: number;
	readonly tokens: number;
	readonly router: number;
	readonly isReturn: boolean;
}

const CALLER = { aimMs: 500, deadlineLeftMs: 10_000 };
const EXCHANGE_INTERVAL_MS = 250;
const DEFAULT_EXCHANGE_DELAY_MS = 500;
const SECOND_MS = 1_000;

/** Engines whose queues one router keeps. */
const ENGINES_OF_A_KEEPER = 4;

/** Sizes of prompts differ by this factor up and down. */
const SIZE_SPREAD = 2.5;

function isNearlyIdle({ waitMs, load }: EngineOption): boolean {
	return waitMs <= OVER_SHARE_LIMITS.limitMs && load <= OVER_SHARE_LIMITS.maximumLoad;
}

/** An engine that reads prompts in the order of arrival. */
class ReplayedEngine {
	public readonly queue = EngineQueue.create();
	private readonly reading: { readonly sequence: number; readonly endsAt: number }[] = [];
	private freeAt = 0;
	private sequence = 0;
	private readonly busyMs = new Map<number, number>();

	public place(workMs: number, pace: number, now: number): void {
		const sequence = ++this.sequence;
		this.queue.place({ router: '', sequence }, now, workMs);
		const startsAt = Math.max(now, this.freeAt);
		this.freeAt = startsAt + workMs * pace;
		this.reading.push({ sequence, endsAt: this.freeAt });
		for (let second = Math.floor(startsAt / SECOND_MS); second * SECOND_MS < this.freeAt; second++) {
			const part = Math.min(this.freeAt, (second + 1) * SECOND_MS) - Math.max(startsAt, second * SECOND_MS);
			this.busyMs.set(second, (this.busyMs.get(second) ?? 0) + part);
		}
	}

	public advance(now: number): void {
		while ((this.reading[0]?.endsAt ?? Infinity) <= now) {
			const { sequence, endsAt } = this.reading.shift() ?? { sequence: 0, endsAt: now };
			this.queue.recordFirstEvent({ router: '', sequence }, endsAt);
		}
	}

	public busyPart(second: number): number {
		return (this.busyMs.get(second) ?? 0) / SECOND_MS;
	}
}

/**
 * Replays accounts that share the engines of a fleet through several routers in virtual time. A caller that is refused
 * returns once. Routers learn of each other's usage and of the engines' load with a delay.
 *
 * @param fleet its routers and engines
 * @param accounts what they ask
 * @param endMs when the replay ends, in milliseconds
 * @param seed of the sizes, moments and routers of requests
 * @returns what became of the requests
 */
export function replayShares(
	fleet: ReplayedFleet,
	accounts: readonly ReplayedAccount[],
	endMs: number,
	seed: number,
): ReplayResult {
	const generator = xoroshiro128plus(seed);
	const random = (): number => uniformFloat64(generator);
	const pace = fleet.pace ?? ((): number => 1);
	const delayMs = fleet.exchangeDelayMs ?? DEFAULT_EXCHANGE_DELAY_MS;
	const events: { readonly at: number; readonly run: (now: number) => void }[] = [];
	const schedule = (at: number, run: (now: number) => void): void => {
		let low = 0;
		let high = events.length;
		while (low < high) {
			const middle = (low + high) >> 1;
			if ((events[middle]?.at ?? 0) > at) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}
		events.splice(low, 0, { at, run });
	};
	const engines = Array.from({ length: fleet.engines }, () => new ReplayedEngine());
	let toldLoad = 0;
	const sharedEngines = { nominalCapacityPerSecond: () => fleet.nominalTokensPerSecond, load: () => toldLoad };
	const shares = Array.from({ length: fleet.routers }, () => FleetShares.create(sharedEngines));
	const ledger = FairnessLedger.create();
	const got = new Map(accounts.map(({ name }) => [name, Array.from({ length: endMs / SECOND_MS }, () => 0)]));
	const busy = new Map<string, number>();
	const refusedSeconds = new Set<number>();

	const optionsFor = (tokens: number, now: number): readonly EngineOption[] => {
		const workMs = prefillMs(tokens, 0);
		return engines
			.map((engine, index): EngineOption => {
				engine.advance(now);
				const { queue } = engine;
				return optionWith({
					server: engineWith(`engine-${index}`),
					waitMs: queue.waitMs(now),
					workMs,
					readMs: workMs * queue.pace,
					load: queue.load(now),
					cost: queue.waitMs(now) + workMs * queue.pace + random(),
				});
			})
			.sort((one, other) => one.cost - other.cost);
	};
	const keeperOf = (server: string): FleetShares | undefined => {
		const group = Math.floor(Number(server.split('-')[1]) / ENGINES_OF_A_KEEPER);
		return shares[group % shares.length];
	};
	const refuse = (attempt: Attempt, retryAfterMs: number, now: number): void => {
		const { account, tokens, isReturn } = attempt;
		ledger.add({ account: account.name, at: now, cost: tokens, isServed: false, wasDelayed: true });
		if (!isReturn) {
			schedule(now + retryAfterMs, (later) => arrive({ ...attempt, isReturn: true }, later));
		}
	};
	const arrive = ({ account, key, tokens, router, isReturn }: Attempt, now: number): void => {
		const share = shares[router];
		if (share === undefined) {
			return;
		}
		share.recordOffered(key, tokens, now);
		const shareStatus = share.shareStatusOf(key, now);
		if (shareStatus.throttledMs > 0) {
			refuse({ account, key, tokens, router, isReturn }, overShareRetryAfterMs(shareStatus.throttledMs, CALLER), now);
			refusedSeconds.add(Math.floor(now / SECOND_MS));
			return;
		}
		const decision = decideAdmission({
			options: optionsFor(tokens, now),
			declinedBy: new Set(),
			shareStatus,
			...CALLER,
			aimLeftMs: CALLER.aimMs,
			retryJitter: random(),
		});
		const partOfEngines = Math.min(1, ENGINES_OF_A_KEEPER / engines.length);
		const keeper = decision.kind === 'place' ? keeperOf(decision.option.server.id) : undefined;
		const isExceeded = keeper?.isOverShareAtQueueOwner(key, partOfEngines, now) === true;
		if (decision.kind === 'place' && !(isExceeded && !isNearlyIdle(decision.option))) {
			ledger.add({ account: account.name, at: now, cost: tokens, isServed: true, wasDelayed: false });
			keeper?.recordPlacement(key, tokens, now);
			share.spend(key, tokens, now);
			share.recordAdmitted(key, tokens, now);
			const index = Number(decision.option.server.id.split('-')[1]);
			engines[index]?.place(decision.option.workMs, pace(now), now);
			const bySecond = got.get(account.name) ?? [];
			const second = Math.floor(now / SECOND_MS);
			bySecond[second] = (bySecond[second] ?? 0) + tokens;
			return;
		}
		if (decision.kind === 'place') {
			refuse({ account, key, tokens, router, isReturn }, overShareRetryAfterMs(0, CALLER), now);
			refusedSeconds.add(Math.floor(now / SECOND_MS));
		} else {
			refuse({ account, key, tokens, router, isReturn }, decision.retryAfterMs, now);
			busy.set(account.name, (busy.get(account.name) ?? 0) + 1);
		}
	};

	for (const [index, account] of accounts.entries()) {
		const firstRouter = Math.floor(random() * fleet.routers);
		const next = (now: number): void => {
			const rate = account.requestsPerSecond(now);
			if (rate > 0) {
				const tokens = Math.round(account.meanTokens * SIZE_SPREAD ** (2 * random() - 1));
				const router = (firstRouter + Math.floor(random() * account.routers)) % fleet.routers;
				arrive({ account, key: index + 1, tokens, router, isReturn: false }, now);
			}
			schedule(now - (SECOND_MS * Math.log(1 - random())) / Math.max(1, rate), next);
		};
		schedule(random() * 100, next);
	}
	const exchange = (now: number): void => {
		const usages = shares.map((share) => share.ownUsage(now));
		engines.forEach((engine) => engine.advance(now));
		const load = engines.reduce((sum, { queue }) => sum + queue.load(now), 0) / engines.length;
		schedule(now + delayMs, (later) => {
			toldLoad = load;
			shares.forEach((share, router) => {
				usages.forEach((usage, peer) => {
					if (peer !== router) {
						share.applyPeerUsage(`router-${peer}`, usage, later);
					}
				});
			});
		});
		schedule(now + EXCHANGE_INTERVAL_MS, exchange);
	};
	schedule(0, exchange);
	for (let event = events.pop(); event !== undefined && event.at < endMs; event = events.pop()) {
		event.run(event.at);
	}
	return {
		windows: ledger.windows(),
		servedBySecond: got,
		loadWhileThrottled: [...refusedSeconds].map(
			(second) => engines.reduce((sum, engine) => sum + engine.busyPart(second), 0) / engines.length,
		),
		busy,
	};
}
