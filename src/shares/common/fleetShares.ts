import { fairLevel } from './fairLevel.js';
import { CapacityEstimator } from './capacityEstimator.js';
import { ShareCredit } from './shareCredit.js';
import { SlidingSum } from './slidingSum.js';

/** What one router saw of one account within the share window, in cost units. */
export interface AccountUsage {
	/** Short key of the account's name. */
	readonly account: number;
	/** Work that arrived. */
	readonly offered: number;
	/** Work that was sent to engines. */
	readonly admitted: number;
}

interface OwnUsage {
	readonly offered: SlidingSum;
	readonly admitted: SlidingSum;
	readonly credit: ShareCredit;
}

/** What an account began at engines whose queues this router keeps. */
interface KeptUsage {
	readonly requests: SlidingSum;
	readonly admitted: SlidingSum;
}

interface PeerUsage {
	readonly receivedAt: number;
	readonly accounts: ReadonlyMap<number, AccountUsage>;
}

/** What is known of the engines that accounts share. */
export interface EngineCapacitySource {
	/** Cost units a second that all engines are said to produce; undefined when not known. */
	readonly nominalCapacityPerSecond: () => number | undefined;
	/**
	 * @param now monotonic milliseconds
	 * @returns mean part of the time for which engines read prompts, from 0 to 1; undefined when no engine is known
	 */
	readonly load: (now: number) => number | undefined;
}

/** How an account stands against its fair share. */
export interface ShareStatus {
	/** Work that arrived at all routers within the window, relative to the fair share; 0 when all demands fit. */
	readonly offeredShare: number;
	/** Work admitted within the window, relative to the fair share; 0 when all demands fit. */
	readonly usedShare: number;
	/** Cost units a second that an account may use; infinite when all demands fit. */
	readonly level: number;
	/** Work admitted within the window. */
	readonly admitted: number;
	/** Milliseconds until this router may admit a request of the account; 0 when it may do so now. */
	readonly throttledMs: number;
}

/** Rates of accounts are counted over this time. Twice the age of what routers know of each other. */
const SHARE_WINDOW_MS = 1_000;

/** Usage of a peer that was not heard of for longer is not counted. */
const PEER_USAGE_VALID_MS = 2_000;

/** Name of the sum over all failure domains, which no domain has. */
const WHOLE_FLEET = '';

/** An account is bounded when it asks for more than this many times its share; rates within a second vary as much. */
const BOUNDED_FROM = 1.15;

/** Requests of an account are not spread evenly over the engines. */
const KEEPER_TOLERANCE = 1.5;

/** Longest wait and highest load of an engine for an account that has begun more than its share there: it is nearly idle. */
export const OVER_SHARE_LIMITS = { limitMs: 15, maximumLoad: 0.45 };

/** Fewer requests within the share window say nothing about the rate of an account, since they differ in size by 100 to 1. */
const LEAST_KEPT_REQUESTS = 8;

/** A router at which an account has just arrived admits at least this part of its share. */
const LEAST_PART = 0.02;

/** The level is computed again after this time. */
const LEVEL_VALID_MS = 50;

/**
 * What others have told is this old at the mean. The part of an account's work that arrives here is taken from what was
 * known here at that time, so that the parts of all routers add up to one while an account begins to send more.
 */
const TOLD_AGE_MS = 500;

/** Time in which new sources have told of all accounts: two intervals of routers and relays. */
const SOURCE_CHANGE_MS = 1_000;

const SECOND_MS = 1_000;

interface OwnSnapshot {
	readonly at: number;
	readonly offered: ReadonlyMap<number, number>;
}

/**
 * Knows what each client account asks and receives over the whole fleet, and divides what the engines can give by
 * max-min fairness. An account that asks for more than its share is admitted at the rate of its share, each router
 * admitting the part of it that arrives there.
 *
 * Load pattern: one account sends many times its usual work through all routers, then the next one.
 */
export class FleetShares {
	private readonly own = new Map<number, OwnUsage>();
	private readonly peers = new Map<string, PeerUsage>();
	/** Sums over several routers, by failure domain; of the whole fleet under the empty name. */
	private readonly sums = new Map<string, PeerUsage>();
	/** Own usage that the sum of the whole fleet contains. */
	private ownTold: ReadonlyMap<number, AccountUsage> = new Map();
	private readonly capacity = CapacityEstimator.create();
	private snapshots: readonly OwnSnapshot[] = [];
	private totals: ReadonlyMap<number, AccountUsage> = new Map();
	private levelComputedAt = -Infinity;
	private heldUntil = -Infinity;
	private level = Infinity;
	/** The level if one more account asked for more than its share. */
	private nextLevel = Infinity;
	/** What accounts began at engines whose queues this router keeps. */
	private readonly kept = new Map<number, KeptUsage>();

	private constructor(
		private readonly engines: EngineCapacitySource,
		private readonly windowMs: number,
	) {}

	/**
	 * @param engines that accounts share
	 * @param windowMs time over which rates of accounts are counted, in milliseconds
	 * @returns shares without usage
	 */
	public static create(engines: EngineCapacitySource, windowMs = SHARE_WINDOW_MS): FleetShares {
		return new FleetShares(engines, windowMs);
	}

	/**
	 * @param account short key of the account
	 * @param cost of a request that arrived
	 * @param now monotonic milliseconds
	 */
	public recordOffered(account: number, cost: number, now: number): void {
		this.usageOf(account).offered.add(cost, now);
	}

	/**
	 * @param account short key of the account
	 * @param cost of a request that was sent to an engine
	 * @param now monotonic milliseconds
	 */
	public recordAdmitted(account: number, cost: number, now: number): void {
		this.usageOf(account).admitted.add(cost, now);
	}

	/**
	 * Takes a request that arrived here and is to be served from what this router may admit of its account.
	 *
	 * @param account short key of the account
	 * @param cost of the request
	 * @param now monotonic milliseconds
	 */
	public spend(account: number, cost: number, now: number): void {
		this.usageOf(account).credit.spend(cost, this.rateOf(account, now), now);
	}

	/**
	 * Gives back what {@link spend} took for a request that was refused.
	 *
	 * @param account short key of the account
	 * @param cost of the request
	 * @param now monotonic milliseconds
	 */
	public refund(account: number, cost: number, now: number): void {
		this.usageOf(account).credit.refund(cost, this.rateOf(account, now), now);
	}

	/**
	 * Takes over what a peer has seen.
	 *
	 * @param router name of the peer
	 * @param usage all its accounts with usage
	 * @param now monotonic milliseconds
	 */
	public applyPeerUsage(router: string, usage: readonly AccountUsage[], now: number): void {
		this.peers.set(router, { receivedAt: now, accounts: new Map(usage.map((item) => [item.account, item])) });
	}

	/**
	 * Takes over what the routers of a failure domain have seen together.
	 *
	 * @param failureDomain that is summed up
	 * @param usage all its accounts with usage
	 * @param now monotonic milliseconds
	 */
	public applyDomainSum(failureDomain: string, usage: readonly AccountUsage[], now: number): void {
		this.sums.set(failureDomain, { receivedAt: now, accounts: new Map(usage.map((item) => [item.account, item])) });
	}

	/**
	 * Takes over what all routers have seen together, this one included.
	 *
	 * @param usage all accounts with usage
	 * @param now monotonic milliseconds
	 */
	public applyFleetSum(usage: readonly AccountUsage[], now: number): void {
		const others = usage.map(({ account, offered, admitted }): AccountUsage => {
			const told = this.ownTold.get(account);
			return {
				account,
				offered: Math.max(0, offered - (told?.offered ?? 0)),
				admitted: Math.max(0, admitted - (told?.admitted ?? 0)),
			};
		});
		this.applyDomainSum(WHOLE_FLEET, others, now);
	}

	/**
	 * Notes what this router has told of its own usage to those that sum it up.
	 *
	 * @param usage as {@link ownUsage} gave it
	 */
	public recordReportedUsage(usage: readonly AccountUsage[]): void {
		this.ownTold = new Map(usage.map((item) => [item.account, item]));
	}

	/** @param router name of a peer that has ended */
	public removePeer(router: string): void {
		this.peers.delete(router);
	}

	/**
	 * Forgets what was heard of others, when it is to come from other sources than before. The level stays as it is until
	 * these had time to tell.
	 *
	 * @param now monotonic milliseconds
	 */
	public discardRemoteUsage(now: number): void {
		this.peers.clear();
		this.sums.clear();
		this.heldUntil = now + SOURCE_CHANGE_MS;
	}

	/**
	 * @param scope `domain` for this router and the peers that tell it of themselves, `fleet` for all
	 * @param now monotonic milliseconds
	 * @returns usage of all accounts, summed up
	 */
	public summedUsage(scope: 'domain' | 'fleet', now: number): readonly AccountUsage[] {
		const totals = new Map<number, AccountUsage>();
		const add = ({ account, offered, admitted }: AccountUsage): void => {
			const before = totals.get(account);
			totals.set(account, {
				account,
				offered: offered + (before?.offered ?? 0),
				admitted: admitted + (before?.admitted ?? 0),
			});
		};
		this.ownUsage(now).forEach(add);
		for (const peer of this.valid(this.peers, now)) {
			[...peer.accounts.values()].forEach(add);
		}
		if (scope === 'fleet') {
			for (const sum of this.valid(this.sums, now)) {
				[...sum.accounts.values()].forEach(add);
			}
		}
		return [...totals.values()];
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns usage at this router, without accounts that had none
	 */
	public ownUsage(now: number): readonly AccountUsage[] {
		const usage: AccountUsage[] = [];
		for (const [account, sums] of this.own) {
			const offered = sums.offered.sum(now);
			const admitted = sums.admitted.sum(now);
			if (offered > 0 || admitted > 0) {
				usage.push({ account, offered, admitted });
			}
		}
		return usage;
	}

	/**
	 * @param account short key of the account
	 * @param now monotonic milliseconds
	 * @returns how the account stands now
	 */
	public shareStatusOf(account: number, now: number): ShareStatus {
		this.refreshLevel(now);
		const { level } = this;
		const total = this.totals.get(account);
		if (level === Infinity) {
			return { offeredShare: 0, usedShare: 0, level, admitted: total?.admitted ?? 0, throttledMs: 0 };
		}
		const share = (level * this.windowMs) / SECOND_MS;
		const offeredShare = (total?.offered ?? 0) / share;
		const rate = this.rateOf(account, now);
		return {
			offeredShare,
			usedShare: (total?.admitted ?? 0) / share,
			level,
			admitted: total?.admitted ?? 0,
			throttledMs: offeredShare <= BOUNDED_FROM ? 0 : this.usageOf(account).credit.throttledMs(rate, now),
		};
	}

	/**
	 * Tells as keeper of a group of engines whether an account has begun more there than its share allows. A keeper hears
	 * of all requests to its engines at once, so an account that begins to send many times its usual work is noticed before
	 * routers have told each other.
	 *
	 * @param account short key of the account
	 * @param partOfEngines part of all engines whose queues this router keeps
	 * @param now monotonic milliseconds
	 * @returns whether it has begun more
	 */
	public isOverShareAtQueueOwner(account: number, partOfEngines: number, now: number): boolean {
		this.refreshLevel(now);
		const usage = this.kept.get(account);
		if (usage === undefined || usage.requests.sum(now) < LEAST_KEPT_REQUESTS) {
			return false;
		}
		const known = this.level === Infinity ? (this.totals.get(account)?.admitted ?? 0) : 0;
		const share = Math.max((this.nextLevel * this.windowMs) / SECOND_MS, known);
		return usage.admitted.sum(now) > KEEPER_TOLERANCE * partOfEngines * share;
	}

	/**
	 * Notes a request that was given a place at engines whose queues this router keeps.
	 *
	 * @param account short key of the account
	 * @param cost of the request
	 * @param now monotonic milliseconds
	 */
	public recordPlacement(account: number, cost: number, now: number): void {
		const { requests, admitted } = this.keptUsageOf(account);
		requests.add(1, now);
		admitted.add(cost, now);
	}

	/** Cost units a second of an account that this router may admit; infinite when all demands fit. */
	private rateOf(account: number, now: number): number {
		this.refreshLevel(now);
		return this.level === Infinity ? Infinity : this.level * this.partOf(account);
	}

	/** Part of an account's work that arrives at this router. */
	private partOf(account: number): number {
		const own = this.snapshots[0]?.offered.get(account) ?? 0;
		const total = this.totals.get(account)?.offered ?? 0;
		const present = this.own.get(account)?.offered.sum(this.levelComputedAt) ?? 0;
		const others = Math.max(0, total - present);
		return own + others === 0 ? 1 : Math.max(LEAST_PART, own / (own + others));
	}

	private refreshLevel(now: number): void {
		if (now - this.levelComputedAt < LEVEL_VALID_MS) {
			return;
		}
		this.levelComputedAt = now;
		if (now < this.heldUntil) {
			return;
		}
		const usage = this.summedUsage('fleet', now);
		this.totals = new Map(usage.map((item) => [item.account, item]));
		this.takeSnapshot(now);
		const perSecond = SECOND_MS / this.windowMs;
		const admittedPerSecond = usage.reduce((sum, { admitted }) => sum + admitted, 0) * perSecond;
		this.capacity.observe({ admittedPerSecond, load: this.engines.load(now) }, now);
		const stated = this.engines.nominalCapacityPerSecond();
		const demands = usage.map(({ offered }) => offered * perSecond);
		const capacity = stated === undefined ? Infinity : this.capacity.estimatePerSecond(stated);
		this.level = fairLevel(demands, capacity);
		this.nextLevel = capacity === Infinity ? Infinity : fairLevel([...demands, Infinity], capacity);
	}

	/** Keeps what is known here now for the time at which others know of it. */
	private takeSnapshot(now: number): void {
		const offered = new Map(this.ownUsage(now).map((item) => [item.account, item.offered]));
		const kept = this.snapshots.filter(({ at }, index) => {
			return now - at <= TOLD_AGE_MS || (this.snapshots[index + 1]?.at ?? Infinity) > now - TOLD_AGE_MS;
		});
		this.snapshots = [...kept, { at: now, offered }];
	}

	private valid(usages: ReadonlyMap<string, PeerUsage>, now: number): readonly PeerUsage[] {
		return [...usages.values()].filter(({ receivedAt }) => now - receivedAt <= PEER_USAGE_VALID_MS);
	}

	private keptUsageOf(account: number): KeptUsage {
		let usage = this.kept.get(account);
		if (usage === undefined) {
			usage = { requests: SlidingSum.create(this.windowMs), admitted: SlidingSum.create(this.windowMs) };
			this.kept.set(account, usage);
		}
		return usage;
	}

	private usageOf(account: number): OwnUsage {
		let usage = this.own.get(account);
		if (usage === undefined) {
			usage = {
				offered: SlidingSum.create(this.windowMs),
				admitted: SlidingSum.create(this.windowMs),
				credit: ShareCredit.create(),
			};
			this.own.set(account, usage);
		}
		return usage;
	}
}
