import { MAXIMUM_SMALL_FLEET_ROUTERS } from '../../base/common/fleetSize.js';
import { highestWeightMember, rendezvousWeight, shortKey } from '../../base/common/shortKey.js';
import type { IQueueOwnership } from '../../engines/common/queueDivision.js';

/**
 * Number of routers for each queue group; the number of groups is rounded down to a power of two. The owner of a
 * group's queues chooses among the servers of the group. In a large fleet a group holds five to ten engines, and its
 * owner receives about a hundred reservation requests a second.
 */
const ROUTERS_PER_GROUP = 8;

/** Arbitrary constant that is hashed with the key of a server to determine its queue group. */
const GROUP_KEY = 0x51ed;

/**
 * Assigns queues and other tasks to routers by rendezvous hashing, so that routers that know the same members compute
 * the same assignments without exchanging messages. Backend servers are divided into queue groups, and one router owns
 * the queues of each group; a few routers read the store for all. In a small fleet every router is notified of all
 * placements and owns all queues.
 *
 * Load pattern: in a fleet of 70 routers, a message to all routers for each request would cost more than the requests
 * themselves.
 */
export class FleetAssignments implements IQueueOwnership {
	/** Short keys of the serving routers, by name. */
	private routers: ReadonlyMap<string, number> = new Map();
	private readonly ownerByGroup = new Map<number, string>();
	/** Cached queue groups, by server; each request needs those of all servers of its service. */
	private readonly groupByServer = new Map<string, number>();
	private groupCount = 1;
	private isLarge = false;

	private constructor(private readonly ownName: string) {}

	/**
	 * @param ownName name of this router
	 * @returns the assignments in a fleet of one router
	 */
	public static create(ownName: string): FleetAssignments {
		return new FleetAssignments(ownName);
	}

	/** Whether the fleet is large enough to divide the queues, so that only one router owns each. */
	public get isLargeFleet(): boolean {
		return this.isLarge;
	}

	public get isShared(): boolean {
		return !this.isLarge;
	}

	/**
	 * Replaces the routers to which queues and tasks are assigned.
	 *
	 * @param serving names of the other serving routers
	 * @param knownCount number of known routers, including this one and lost ones, which determines whether the fleet is
	 * large and how many queue groups it has
	 * @returns whether the owner of a queue that was looked up before may have changed
	 */
	public setRouters(serving: readonly string[], knownCount: number): boolean {
		const before = new Map(this.ownerByGroup);
		const { groupCount, isLarge } = this;
		this.routers = new Map([this.ownName, ...serving].map((name) => [name, shortKey(name)]));
		this.isLarge = knownCount > MAXIMUM_SMALL_FLEET_ROUTERS;
		this.groupCount = 2 ** Math.max(1, Math.floor(Math.log2(knownCount / ROUTERS_PER_GROUP)));
		this.ownerByGroup.clear();
		this.groupByServer.clear();
		if (groupCount !== this.groupCount || isLarge !== this.isLarge) {
			return true;
		}
		return [...before].some(([group, owner]) => this.ownerOfGroup(group) !== owner);
	}

	public queueGroupOf(server: string): number {
		let group = this.groupByServer.get(server);
		if (group === undefined) {
			const key = shortKey(server);
			group = this.isLarge ? rendezvousWeight(key, GROUP_KEY) % this.groupCount : key;
			this.groupByServer.set(server, group);
		}
		return group;
	}

	/**
	 * @param server identifier of a server
	 * @returns name of the router that owns its queue; undefined when all routers do
	 */
	public queueOwnerOf(server: string): string | undefined {
		return this.isLarge ? this.ownerOfGroup(this.queueGroupOf(server)) : undefined;
	}

	public ownsQueueOf(server: string): boolean {
		return (this.queueOwnerOf(server) ?? this.ownName) === this.ownName;
	}

	/**
	 * @param task name of a task that a few routers carry out for all
	 * @param count number of these routers
	 * @returns whether this router is one of them
	 */
	public isAssigned(task: string, count: number): boolean {
		const taskKey = shortKey(task);
		const ownWeight = rendezvousWeight(taskKey, shortKey(this.ownName));
		return [...this.routers.values()].filter((key) => rendezvousWeight(taskKey, key) > ownWeight).length < count;
	}

	private ownerOfGroup(group: number): string {
		let owner = this.ownerByGroup.get(group);
		if (owner === undefined) {
			const groupKey = shortKey(`group ${group}`);
			owner =
				highestWeightMember([...this.routers.keys()], (name) =>
					rendezvousWeight(groupKey, this.routers.get(name) ?? 0),
				) ?? this.ownName;
			this.ownerByGroup.set(group, owner);
		}
		return owner;
	}
}
