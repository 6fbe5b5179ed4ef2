import { rendezvousWeight, shortKey } from '../../base/common/shortKey.js';
import { SMALL_FLEET_ROUTERS } from './fleetTiming.js';

interface KnownRouter {
	readonly name: string;
	readonly key: number;
}

/**
 * Agrees with the other routers, without talking to them, on who does what: one router keeps the queue of each backend
 * server. In a small fleet every router hears of all placements and keeps all queues.
 *
 * Load pattern: a message to all routers for each request would cost 70 routers more than the requests themselves.
 */
export class FleetDuties {
	private routers: readonly KnownRouter[] = [];
	private readonly keepers = new Map<string, string>();
	private large = false;

	private constructor(private readonly own: string) {}

	/**
	 * @param own name of this router
	 * @returns keepers of a fleet of one router
	 */
	public static create(own: string): FleetDuties {
		return new FleetDuties(own);
	}

	/** Whether duties are divided, so that each queue is kept by one router only. */
	public get isLargeFleet(): boolean {
		return this.large;
	}

	/**
	 * @param serving names of the other routers that serve
	 * @param known number of routers that are known, with lost ones, by which the size of the fleet is told
	 * @returns servers whose queue has moved to another router
	 */
	public setRouters(serving: readonly string[], known: number): readonly string[] {
		const before = new Map(this.keepers);
		this.routers = [this.own, ...serving].map((name) => ({ name, key: shortKey(name) }));
		this.large = known > SMALL_FLEET_ROUTERS;
		this.keepers.clear();
		return [...before].filter(([server, keeper]) => this.keeperOf(server) !== keeper).map(([server]) => server);
	}

	/**
	 * @param server identifier of a server
	 * @returns name of the router that keeps its queue; undefined when all routers do
	 */
	public keeperOf(server: string): string | undefined {
		if (!this.large) {
			return undefined;
		}
		let keeper = this.keepers.get(server);
		if (keeper === undefined) {
			keeper = this.choose(shortKey(server));
			this.keepers.set(server, keeper);
		}
		return keeper;
	}

	/**
	 * @param server identifier of a server
	 * @returns whether this router keeps its queue
	 */
	public keeps(server: string): boolean {
		return (this.keeperOf(server) ?? this.own) === this.own;
	}

	/**
	 * @param duty name of what some routers do for all
	 * @param count of these routers
	 * @returns whether this router is one of them
	 */
	public isAmong(duty: string, count: number): boolean {
		const dutyKey = shortKey(duty);
		const ownWeight = rendezvousWeight(dutyKey, shortKey(this.own));
		return this.routers.filter(({ key }) => rendezvousWeight(dutyKey, key) > ownWeight).length < count;
	}

	private choose(server: number): string {
		let best = this.own;
		let bestWeight = -1;
		for (const { name, key } of this.routers) {
			const weight = rendezvousWeight(server, key);
			if (weight > bestWeight) {
				best = name;
				bestWeight = weight;
			}
		}
		return best;
	}
}
