import type { VirtualTime } from '../../base/test/virtualTime.js';
import { HEARTBEAT_INTERVAL_MS, PEER_TIMEOUT_MS, RELAY_TIMEOUT_MS } from '../../fleet/common/fleetTiming.js';
import { TICK_INTERVAL_MS } from '../../fleet/common/fleetMembership.js';
import type { FleetShares } from '../common/fleetShares.js';

/** Environment of the relays. */
export interface UsageRelayOptions {
	/** Number of failure domains, over which routers are spread in turn. */
	readonly domains: number;
	/** Whether a router is lost at a given time in milliseconds. */
	readonly isRouterLost: (router: number, now: number) => boolean;
	/** Returns numbers from 0 to 1. */
	readonly random: () => number;
}

const RELAYS_PER_DOMAIN = 3;
const NETWORK_DELAY_MS = 2;

/** Time from the start of a router until the others of its domain know that it serves. */
const JOIN_DELAY_MS = 100;

/**
 * Exchanges the usage of accounts through the relays of each failure domain, in virtual time, as a large fleet does. Routers that
 * are lost and return begin with new shares, also as relays.
 */
export class UsageRelays {
	private readonly wasRelay: boolean[];
	private readonly wasLost: boolean[];
	private readonly lostAt: number[];
	private readonly startedAt: number[];

	private constructor(
		private readonly time: VirtualTime,
		private readonly shares: FleetShares[],
		private readonly createShares: () => FleetShares,
		private readonly options: UsageRelayOptions,
	) {
		this.wasLost = shares.map(() => false);
		this.lostAt = shares.map(() => -Infinity);
		this.startedAt = shares.map(() => -Infinity);
		this.wasRelay = shares.map((_, router) => this.isRelay(router, 0));
	}

	/**
	 * @param time in which messages are sent
	 * @param shares of all routers; those of a router that returns are replaced
	 * @param createShares creates the shares of a router that has just started
	 * @param options environment of the relays
	 */
	public static start(
		time: VirtualTime,
		shares: FleetShares[],
		createShares: () => FleetShares,
		options: UsageRelayOptions,
	): void {
		const relays = new UsageRelays(time, shares, createShares, options);
		shares.forEach((_, router) => {
			const tick = (now: number): void => {
				relays.tick(router, now);
				time.schedule(now + TICK_INTERVAL_MS, tick);
			};
			time.schedule(options.random() * TICK_INTERVAL_MS, tick);
		});
	}

	private tick(router: number, now: number): void {
		const isLost = this.options.isRouterLost(router, now);
		const wasLost = this.wasLost[router] === true;
		this.wasLost[router] = isLost;
		if (isLost) {
			this.lostAt[router] = wasLost ? (this.lostAt[router] ?? now) : now;
			return;
		}
		if (wasLost) {
			this.shares[router] = this.createShares();
			this.startedAt[router] = now;
			this.wasRelay[router] = false;
		}
		const isRelay = this.isRelay(router, now);
		if (isRelay !== this.wasRelay[router]) {
			this.wasRelay[router] = isRelay;
			this.shares[router]?.discardRemoteUsage(now);
		}
		if (isRelay || Math.floor(now / TICK_INTERVAL_MS) % (HEARTBEAT_INTERVAL_MS / TICK_INTERVAL_MS) === 0) {
			this.send(router, isRelay, now);
		}
	}

	private send(router: number, isRelay: boolean, now: number): void {
		const own = this.shares[router];
		if (own === undefined) {
			return;
		}
		const usage = own.ownUsage(now);
		own.recordReportedUsage(usage);
		const name = `router-${router}`;
		const domain = this.domainOf(router);
		const isSending = own.hasCompleteSources(now);
		const fleetSum = own.summedUsage('fleet', now);
		const domainSum = own.summedUsage('domain', now);
		this.shares.forEach((_, receiver) => {
			const isSameDomain = this.domainOf(receiver) === domain;
			const deliver = (apply: (shares: FleetShares, later: number) => void): void =>
				this.time.schedule(now + NETWORK_DELAY_MS, (later) => {
					const shares = this.shares[receiver];
					if (shares !== undefined && !this.options.isRouterLost(receiver, later)) {
						apply(shares, later);
					}
				});
			if (receiver === router) {
				return;
			}
			if (this.isRelay(receiver, now)) {
				if (isSameDomain) {
					deliver((shares, later) => shares.applyPeerUsage(name, usage, later));
				} else if (isRelay && isSending) {
					deliver((shares, later) => shares.applyDomainSum(`domain-${domain}`, domainSum, later));
				}
			} else if (isRelay && isSameDomain && isSending) {
				deliver((shares, later) => shares.applyFleetSum(fleetSum, later));
			}
		});
	}

	private domainOf(router: number): number {
		return router % this.options.domains;
	}

	/** Whether the others of its domain select a router as relay, which they do for a while after its loss. */
	private isRelay(router: number, now: number): boolean {
		const domain = this.domainOf(router);
		const serving = this.shares
			.map((_, candidate) => candidate)
			.filter((candidate) => this.domainOf(candidate) === domain && this.seemsToServe(candidate, now));
		return serving.slice(0, RELAYS_PER_DOMAIN).includes(router);
	}

	private seemsToServe(router: number, now: number): boolean {
		return this.options.isRouterLost(router, now)
			? now - (this.lostAt[router] ?? now) < Math.min(RELAY_TIMEOUT_MS, PEER_TIMEOUT_MS)
			: now - (this.startedAt[router] ?? -Infinity) >= JOIN_DELAY_MS;
	}
}
