import { SMALL_FLEET_ROUTERS } from '../../base/common/fleetSize.js';
import { heaviest, rendezvousWeight, shortKey } from '../../base/common/shortKey.js';
import type { IQueueOwnership } from '../../engines/common/queueOwnership.js';

/**
 * A keeper answers for a group of servers, from which it chooses. Of a larger fleet a group holds five to ten engines, and
 * a keeper is asked some hundred times a second.
 */
const ROUTERS_PER_GROUP = 8;

/** Any number, by which servers are spread over groups. */
const GROUP_KEY = 0x51ed;

/**
 * Agrees with the other routers, without talking to them, on who does what. Backend servers are divided into groups, and
 * one router keeps the queues of each group; a few routers read the store for all. In a small fleet every router hears
 * of all placements and keeps all queues.
 *
 * Load pattern: a message to all routers for each request would cost 70 routers more than the requests themselves.
 */
export class FleetAssignments implements IQueueOwnership {
	/** Short keys of the routers that serve, by name. */
	private routers: ReadonlyMap<string, number> = new Map();
	private readonly keepers = new Map<number, string>();
	/** Groups that were asked for; each request asks for those of all servers of its service. */
	private readonly groupByServer = new Map<string, number>();
	private groups = 1;
	private large = false;

	private constructor(private readonly own: string) {}

	/**
	 * @param own name of this router
	 * @returns keepers of a fleet of one router
	 */
	public static create(own: string): FleetAssignments {
		return new FleetAssignments(own);
	}

	/** Whether duties are divided, so that each queue is kept by one router only. */
	public get isLargeFleet(): boolean {
		return this.large;
	}

	/**
	 * @param serving names of the other routers that serve
	 * @param known number of routers that are known, with lost ones, by which the size of the fleet is told
	 * @returns whether some queue has another keeper than before
	 */
	public setRouters(serving: readonly string[], known: number): boolean {
		const before = new Map(this.keepers);
		const { groups, large } = this;
		this.routers = new Map([this.own, ...serving].map((name) => [name, shortKey(name)]));
		this.large = known > SMALL_FLEET_ROUTERS;
		this.groups = 2 ** Math.max(1, Math.floor(Math.log2(known / ROUTERS_PER_GROUP)));
		this.keepers.clear();
		this.groupByServer.clear();
		if (groups !== this.groups || large !== this.large) {
			return true;
		}
		return [...before].some(([group, keeper]) => this.keeperOfGroup(group) !== keeper);
	}

	public queueGroupOf(server: string): number {
		let group = this.groupByServer.get(server);
		if (group === undefined) {
			const key = shortKey(server);
			group = this.large ? rendezvousWeight(key, GROUP_KEY) % this.groups : key;
			this.groupByServer.set(server, group);
		}
		return group;
	}

	/**
	 * @param server identifier of a server
	 * @returns name of the router that keeps its queue; undefined when all routers do
	 */
	public queueOwnerOf(server: string): string | undefined {
		return this.large ? this.keeperOfGroup(this.queueGroupOf(server)) : undefined;
	}

	public ownsQueueOf(server: string): boolean {
		return (this.queueOwnerOf(server) ?? this.own) === this.own;
	}

	/**
	 * @param duty name of what some routers do for all
	 * @param count of these routers
	 * @returns whether this router is one of them
	 */
	public isAssigned(duty: string, count: number): boolean {
		const dutyKey = shortKey(duty);
		const ownWeight = rendezvousWeight(dutyKey, shortKey(this.own));
		return [...this.routers.values()].filter((key) => rendezvousWeight(dutyKey, key) > ownWeight).length < count;
	}

	private keeperOfGroup(group: number): string {
		let keeper = this.keepers.get(group);
		if (keeper === undefined) {
			const groupKey = shortKey(`group ${group}`);
			keeper =
				heaviest([...this.routers.keys()], (name) => rendezvousWeight(groupKey, this.routers.get(name) ?? 0)) ??
				this.own;
			this.keepers.set(group, keeper);
		}
		return keeper;
	}
}
