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

	/** @param router name of a peer that has ended */
	public removePeer(router: string): void {
		this.peers.delete(router);
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
		for (const peer of this.peers.values()) {
			if (now - peer.receivedAt <= PEER_USAGE_VALID_MS) {
				admitted += peer.accounts.get(account)?.admitted ?? 0;
			}
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
		const demands = new Map<number, number>();
		const add = (items: Iterable<AccountUsage>): void => {
			for (const { account, offered } of items) {
				demands.set(account, (demands.get(account) ?? 0) + offered);
			}
		};
		add(this.ownUsage(now));
		for (const peer of this.peers.values()) {
			if (now - peer.receivedAt <= PEER_USAGE_VALID_MS) {
				add(peer.accounts.values());
			}
		}
		this.level = fairLevel([...demands.values()], capacity);
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
