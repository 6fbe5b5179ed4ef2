import { fairLevel } from './fairLevel.js';
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
}

interface PeerUsage {
	readonly receivedAt: number;
	readonly accounts: ReadonlyMap<number, AccountUsage>;
}

/** How an account stands against its fair share. */
export interface Standing {
	/** Work admitted within the window, relative to the fair share; 0 when all demands fit. */
	readonly usedShare: number;
	/** Cost units that an account may use within the window; infinite when all demands fit. */
	readonly level: number;
	readonly admitted: number;
}

/** Usage of a peer that was not heard of for longer is not counted. */
const PEER_USAGE_VALID_MS = 2_000;

/** Name of the sum over all failure domains, which no domain has. */
const WHOLE_FLEET = '';

/** The level is computed again after this time. */
const LEVEL_VALID_MS = 50;

/**
 * Knows what each client account asked for and received over the whole fleet within the share window, and what its
 * max-min fair share is.
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
	private levelComputedAt = -Infinity;
	private level = Infinity;

	private constructor(
		private readonly windowMs: number,
		private readonly capacityPerWindow: () => number | undefined,
	) {}

	/**
	 * @param windowMs length of the window in which shares are counted
	 * @param capacityPerWindow cost units that all engines can deliver within the window; undefined when not known
	 * @returns shares without usage
	 */
	public static create(windowMs: number, capacityPerWindow: () => number | undefined): FleetShares {
		return new FleetShares(windowMs, capacityPerWindow);
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
	 * Takes over what a peer has seen.
	 *
	 * @param router name of the peer
	 * @param usage all its accounts with usage
	 * @param now monotonic milliseconds
	 */
	public applyPeer(router: string, usage: readonly AccountUsage[], now: number): void {
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
	public noteTold(usage: readonly AccountUsage[]): void {
		this.ownTold = new Map(usage.map((item) => [item.account, item]));
	}

	/** @param router name of a peer that has ended */
	public removePeer(router: string): void {
		this.peers.delete(router);
	}

	/** Forgets what was heard of others, when it is to come from other sources than before. */
	public forgetOthers(): void {
		this.peers.clear();
		this.sums.clear();
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
	public standing(account: number, now: number): Standing {
		this.refreshLevel(now);
		let admitted = this.own.get(account)?.admitted.sum(now) ?? 0;
		for (const { accounts } of [...this.valid(this.peers, now), ...this.valid(this.sums, now)]) {
			admitted += accounts.get(account)?.admitted ?? 0;
		}
		return { usedShare: this.level === Infinity ? 0 : admitted / this.level, level: this.level, admitted };
	}

	private refreshLevel(now: number): void {
		if (now - this.levelComputedAt < LEVEL_VALID_MS) {
			return;
		}
		this.levelComputedAt = now;
		const capacity = this.capacityPerWindow();
		if (capacity === undefined) {
			this.level = Infinity;
			return;
		}
		const demands = this.summedUsage('fleet', now).map(({ offered }) => offered);
		this.level = fairLevel(demands, capacity);
	}

	private valid(usages: ReadonlyMap<string, PeerUsage>, now: number): readonly PeerUsage[] {
		return [...usages.values()].filter(({ receivedAt }) => now - receivedAt <= PEER_USAGE_VALID_MS);
	}

	private usageOf(account: number): OwnUsage {
		let usage = this.own.get(account);
		if (usage === undefined) {
			usage = { offered: SlidingSum.create(this.windowMs), admitted: SlidingSum.create(this.windowMs) };
			this.own.set(account, usage);
		}
		return usage;
	}
}
