import { fairLevel } from './fairLevel.js';
import { CapacityEstimator } from './capacityEstimator.js';
import { ShareCredit } from './shareCredit.js';
import { ShareGrant } from './shareGrant.js';
import { SlidingSum } from './slidingSum.js';

/** Usage of one account at one router within the share window, in cost units. */
export interface AccountUsage {
	/** Short key of the account's name. */
	readonly account: number;
	/** Cost of the requests that arrived. */
	readonly offered: number;
	/** Cost of the requests that were sent to engines. */
	readonly admitted: number;
}

interface OwnUsage {
	readonly offered: SlidingSum;
	readonly admitted: SlidingSum;
	readonly credit: ShareCredit;
}

/** Requests of an account that this router placed as owner of the engines' queues. */
interface PlacedUsage {
	readonly requests: SlidingSum;
	readonly admitted: SlidingSum;
}

interface PeerUsage {
	readonly receivedAt: number;
	readonly accounts: ReadonlyMap<number, AccountUsage>;
}

/** Capacity and load of the engines that accounts share. */
export interface EngineCapacitySource {
	/** Nominal capacity of all engines, in cost units per second; undefined when unknown. */
	readonly nominalCapacityPerSecond: () => number | undefined;
	/**
	 * @param now monotonic milliseconds
	 * @returns mean fraction of the time that engines spend on prefill, from 0 to 1; undefined when no engine is known
	 */
	readonly load: (now: number) => number | undefined;
	/**
	 * @param now monotonic milliseconds
	 * @returns fraction of the engines' capacity that the limits which they name leave, from 0 to 1; absent when they name none
	 */
	readonly remainingFraction?: (now: number) => number;
}

/** Usage of an account relative to its fair share, and whether it is throttled. */
export interface ShareStatus {
	/** Work offered to all routers within the window, relative to the fair share; 0 when all demands fit. */
	readonly offeredShare: number;
	/** Work admitted within the window, relative to the fair share; 0 when all demands fit. */
	readonly usedShare: number;
	/** Fair level: cost units per second that each account may use; infinite when all demands fit. */
	readonly level: number;
	/** Work admitted within the window, in cost units. */
	readonly admitted: number;
	/** Rate at which this router may admit the account, in cost units per second; infinite when all demands fit. */
	readonly rate: number;
	/** Cost units that this router may still admit of the account; negative after a request that overdrew them. */
	readonly credit: number;
	/** Milliseconds until this router may admit a request of the account; 0 when it may admit one now. */
	readonly throttledMs: number;
}

/** Window over which the rates of accounts are measured: twice the age of the usage that peers report. */
const SHARE_WINDOW_MS = 1_000;

/** Usage reported by a peer expires after this time. */
const PEER_USAGE_VALID_MS = 2_000;

/** Key of the sum over all failure domains; no domain has this name. */
const WHOLE_FLEET = '';

/** An account is throttled above this multiple of its share; rates measured over one second vary by as much. */
const THROTTLING_THRESHOLD = 1.15;

/** Tolerated excess over an account's share at the engines of one queue owner, since requests spread unevenly. */
const QUEUE_OWNER_TOLERANCE = 1.5;

/** Longest wait and highest load at which an engine is nearly idle and still accepts accounts over their share. */
export const OVER_SHARE_LIMITS = { limitMs: 15, maximumLoad: 0.45 };

/** With fewer requests in the share window, an account's rate is not known, since request sizes differ by 100 to 1. */
const MINIMUM_PLACED_REQUESTS = 8;

/**
 * Part of an account's share, divided equally among all routers, that each of them may admit at least, since the
 * account's requests may just have begun to arrive there. The rates of all routers exceed the share by no more than it.
 */
const MINIMUM_PART = 0.12;

/** The fair level is recomputed after this time. */
const LEVEL_VALID_MS = 50;

/**
 * Mean age of the usage that other routers report. The fraction of an account's work that arrives here is computed from
 * local usage of the same age, so that the fractions of all routers add up to one while an account's rate rises.
 */
const REPORT_AGE_MS = 500;

/** Time after which new sources have reported all accounts: two reporting intervals of routers and relays. */
const SOURCE_CHANGE_DELAY_MS = 1_000;

const SECOND_MS = 1_000;

interface OwnSnapshot {
	readonly at: number;
	readonly offered: ReadonlyMap<number, number>;
}

/**
 * Tracks the offered and admitted work of each client account in the whole fleet, and divides the capacity of the
 * engines by max-min fairness. An account that offers more than its share is admitted at the rate of its share; each
 * router admits the fraction of that rate that matches the fraction of the account's work arriving there.
 *
 * Load pattern: one account sends many times its usual work through all routers, then the next one.
 */
export class FleetShares {
	private readonly own = new Map<number, OwnUsage>();
	private readonly peers = new Map<string, PeerUsage>();
	/** Usage summed over several routers, by failure domain; that of the whole fleet under the empty name. */
	private readonly sums = new Map<string, PeerUsage>();
	/** Usage of this router that the sum of the whole fleet includes. */
	private ownReported: ReadonlyMap<number, AccountUsage> = new Map();
	private readonly capacityEstimator = CapacityEstimator.create();
	private snapshots: readonly OwnSnapshot[] = [];
	private totals: ReadonlyMap<number, AccountUsage> = new Map();
	private levelComputedAt = -Infinity;
	/** Monotonic milliseconds until which the sources of reports have not had time to report. */
	private sourcesIncompleteUntil = -Infinity;
	/** Number of routers when the level was computed. */
	private routers = 1;
	private level = Infinity;
	/** The fair level if one more account offered more than its share. */
	private levelWithAddedAccount = Infinity;
	/** Requests placed at engines whose queues this router owns, by account. */
	private readonly placed = new Map<number, PlacedUsage>();

	private constructor(
		private readonly engines: EngineCapacitySource,
		private readonly countRouters: () => number,
		private readonly windowMs: number,
	) {}

	/**
	 * @param engines capacity and load of the engines that accounts share
	 * @param countRouters returns the number of routers in the fleet, at least 1
	 * @param windowMs window over which rates of accounts are measured, in milliseconds
	 * @returns shares without usage
	 */
	public static create(
		engines: EngineCapacitySource,
		countRouters: () => number,
		windowMs = SHARE_WINDOW_MS,
	): FleetShares {
		return new FleetShares(engines, countRouters, windowMs);
	}

	/**
	 * Counts a request that arrived at this router.
	 *
	 * @param account short key of the account
	 * @param cost cost of the request
	 * @param now monotonic milliseconds
	 */
	public recordOffered(account: number, cost: number, now: number): void {
		this.usageOf(account).offered.add(cost, now);
	}

	/**
	 * Counts a request that this router sent to an engine.
	 *
	 * @param account short key of the account
	 * @param cost cost of the request
	 * @param now monotonic milliseconds
	 */
	public recordAdmitted(account: number, cost: number, now: number): void {
		this.usageOf(account).admitted.add(cost, now);
	}

	/**
	 * Deducts an admitted request from the account's credit at this router.
	 *
	 * @param account short key of the account
	 * @param cost cost of the request
	 * @param now monotonic milliseconds
	 * @returns the deducted credit, to be settled when the request has ended
	 */
	public spend(account: number, cost: number, now: number): ShareGrant {
		const { credit } = this.usageOf(account);
		credit.spend(cost, this.rateOf(account, now), now);
		return ShareGrant.create((endedAt) => credit.refund(cost, this.rateOf(account, endedAt), endedAt));
	}

	/**
	 * Replaces the usage reported by a peer.
	 *
	 * @param router name of the peer
	 * @param usage usage of all accounts that have any at the peer
	 * @param now monotonic milliseconds
	 */
	public applyPeerUsage(router: string, usage: readonly AccountUsage[], now: number): void {
		this.peers.set(router, { receivedAt: now, accounts: new Map(usage.map((item) => [item.account, item])) });
	}

	/**
	 * Replaces the summed usage of the routers of a failure domain.
	 *
	 * @param failureDomain name of the failure domain
	 * @param usage usage of all accounts that have any in the domain
	 * @param now monotonic milliseconds
	 */
	public applyDomainSum(failureDomain: string, usage: readonly AccountUsage[], now: number): void {
		this.sums.set(failureDomain, { receivedAt: now, accounts: new Map(usage.map((item) => [item.account, item])) });
	}

	/**
	 * Replaces the summed usage of all routers; the part that this router reported itself is subtracted.
	 *
	 * @param usage usage of all accounts that have any
	 * @param now monotonic milliseconds
	 */
	public applyFleetSum(usage: readonly AccountUsage[], now: number): void {
		const others = usage.map(({ account, offered, admitted }): AccountUsage => {
			const reported = this.ownReported.get(account);
			return {
				account,
				offered: Math.max(0, offered - (reported?.offered ?? 0)),
				admitted: Math.max(0, admitted - (reported?.admitted ?? 0)),
			};
		});
		this.applyDomainSum(WHOLE_FLEET, others, now);
	}

	/**
	 * Records the local usage that was reported to the routers that sum it up.
	 *
	 * @param usage result of {@link ownUsage}
	 */
	public recordReportedUsage(usage: readonly AccountUsage[]): void {
		this.ownReported = new Map(usage.map((item) => [item.account, item]));
	}

	/** @param router name of a peer whose process has ended */
	public removePeer(router: string): void {
		this.peers.delete(router);
	}

	/**
	 * Discards the usage reported by other routers, when the sources of these reports change. The fair level is kept
	 * until the new sources have had time to report.
	 *
	 * @param now monotonic milliseconds
	 */
	public discardRemoteUsage(now: number): void {
		this.peers.clear();
		this.sums.clear();
		this.sourcesIncompleteUntil = now + SOURCE_CHANGE_DELAY_MS;
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns whether the sources of reports have had time to report since they changed; before that, sums lack most routers
	 */
	public hasCompleteSources(now: number): boolean {
		return now >= this.sourcesIncompleteUntil;
	}

	/**
	 * @param scope `domain` for this router and the peers that report to it themselves, `fleet` for all
	 * @param now monotonic milliseconds
	 * @returns summed usage by account
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
	 * @returns usage at this router; accounts without usage are left out
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
	 * @returns usage of the account relative to its share, and whether it is throttled
	 */
	public shareStatusOf(account: number, now: number): ShareStatus {
		this.refreshLevel(now);
		const { level } = this;
		const total = this.totals.get(account);
		if (level === Infinity) {
			const admitted = total?.admitted ?? 0;
			return { offeredShare: 0, usedShare: 0, level, admitted, rate: Infinity, credit: Infinity, throttledMs: 0 };
		}
		const share = (level * this.windowMs) / SECOND_MS;
		const offeredShare = (total?.offered ?? 0) / share;
		const rate = this.rateOf(account, now);
		const { credit } = this.usageOf(account);
		return {
			offeredShare,
			usedShare: (total?.admitted ?? 0) / share,
			level,
			admitted: total?.admitted ?? 0,
			rate,
			credit: credit.remaining(rate, now),
			throttledMs: offeredShare <= THROTTLING_THRESHOLD ? 0 : credit.throttledMs(rate, now),
		};
	}

	/**
	 * Checks whether an account exceeds its share at the engines whose queues this router owns. The queue owner sees all
	 * requests to its engines at once, so a sudden rise of an account's rate is detected before routers have exchanged
	 * their usage.
	 *
	 * @param account short key of the account
	 * @param engineFraction fraction of all engines whose queues this router owns, from 0 to 1
	 * @param now monotonic milliseconds
	 * @returns whether the account exceeds its share there
	 */
	public isOverShareAtQueueOwner(account: number, engineFraction: number, now: number): boolean {
		this.refreshLevel(now);
		const usage = this.placed.get(account);
		if (usage === undefined || usage.requests.sum(now) < MINIMUM_PLACED_REQUESTS) {
			return false;
		}
		const admittedUnthrottled = this.level === Infinity ? (this.totals.get(account)?.admitted ?? 0) : 0;
		const share = Math.max((this.levelWithAddedAccount * this.windowMs) / SECOND_MS, admittedUnthrottled);
		return usage.admitted.sum(now) > QUEUE_OWNER_TOLERANCE * engineFraction * share;
	}

	/**
	 * Counts a request that was placed at an engine whose queue this router owns.
	 *
	 * @param account short key of the account
	 * @param cost cost of the request
	 * @param now monotonic milliseconds
	 */
	public recordPlacement(account: number, cost: number, now: number): void {
		const { requests, admitted } = this.placedUsageOf(account);
		requests.add(1, now);
		admitted.add(cost, now);
	}

	/** Rate at which this router may admit an account, in cost units per second; infinite when all demands fit. */
	private rateOf(account: number, now: number): number {
		this.refreshLevel(now);
		return this.level === Infinity ? Infinity : this.level * this.fractionOf(account);
	}

	/** Fraction of an account's work that arrives at this router. */
	private fractionOf(account: number): number {
		const earlierOwn = this.snapshots[0]?.offered.get(account) ?? 0;
		const total = this.totals.get(account)?.offered ?? 0;
		const currentOwn = this.own.get(account)?.offered.sum(this.levelComputedAt) ?? 0;
		const others = Math.max(0, total - currentOwn);
		const minimum = MINIMUM_PART / this.routers;
		return earlierOwn + others === 0 ? 1 : Math.max(minimum, earlierOwn / (earlierOwn + others));
	}

	private refreshLevel(now: number): void {
		if (now - this.levelComputedAt < LEVEL_VALID_MS) {
			return;
		}
		this.levelComputedAt = now;
		this.routers = Math.max(1, this.countRouters());
		// A level that was never finite is no level to keep.
		if (!this.hasCompleteSources(now) && this.level !== Infinity) {
			return;
		}
		const usage = this.summedUsage('fleet', now);
		this.totals = new Map(usage.map((item) => [item.account, item]));
		this.takeSnapshot(now);
		const perSecond = SECOND_MS / this.windowMs;
		const admittedPerSecond = usage.reduce((sum, { admitted }) => sum + admitted, 0) * perSecond;
		const remainingFraction = this.engines.remainingFraction?.(now) ?? 1;
		this.capacityEstimator.observe({ admittedPerSecond, load: this.engines.load(now), remainingFraction }, now);
		const nominal = this.engines.nominalCapacityPerSecond();
		const demands = usage.map(({ offered }) => offered * perSecond);
		const capacity = nominal === undefined ? Infinity : this.capacityEstimator.estimatePerSecond(nominal);
		this.level = fairLevel(demands, capacity);
		this.levelWithAddedAccount = capacity === Infinity ? Infinity : fairLevel([...demands, Infinity], capacity);
	}

	/** Stores the local usage, to be compared with reports of other routers once these are of the same age. */
	private takeSnapshot(now: number): void {
		const offered = new Map(this.ownUsage(now).map((item) => [item.account, item.offered]));
		const kept = this.snapshots.filter(({ at }, index) => {
			return now - at <= REPORT_AGE_MS || (this.snapshots[index + 1]?.at ?? Infinity) > now - REPORT_AGE_MS;
		});
		this.snapshots = [...kept, { at: now, offered }];
	}

	private valid(usages: ReadonlyMap<string, PeerUsage>, now: number): readonly PeerUsage[] {
		return [...usages.values()].filter(({ receivedAt }) => now - receivedAt <= PEER_USAGE_VALID_MS);
	}

	private placedUsageOf(account: number): PlacedUsage {
		let usage = this.placed.get(account);
		if (usage === undefined) {
			usage = { requests: SlidingSum.create(this.windowMs), admitted: SlidingSum.create(this.windowMs) };
			this.placed.set(account, usage);
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
