import { FleetMembership, TICK_INTERVAL_MS } from '../common/fleetMembership.js';
import { type FleetPeer, isServing } from '../common/fleetPeer.js';
import {
	HEARTBEAT_INTERVAL_MS,
	LOST_PEER_PROBE_INTERVAL_MS,
	MEMBERS_PER_DATAGRAM,
	MEMBER_UPDATE_DELAY_MS,
} from '../common/fleetTiming.js';

/** Returns whether the network delivers a datagram that is sent at a virtual time. */
export type DeliveryRule = (from: string, to: string, now: number) => boolean;

/** Size and environment of a simulated fleet. */
export interface HarnessOptions {
	readonly routers: number;
	readonly domains: number;
	/** Returns numbers from 0 to 1. */
	readonly random: () => number;
	readonly isDelivered: DeliveryRule;
}

interface Datagram {
	readonly from: string;
	readonly to: string;
	readonly sequence: number;
	readonly incarnation: number;
	readonly replyRequested: boolean;
	readonly members: readonly FleetPeer[];
}

interface Node {
	readonly name: string;
	readonly domain: string;
	readonly incarnation: number;
	readonly membership: FleetMembership;
	sequence: number;
	nextTickAt: number;
	lastFlushAt: number;
	lastProbeAt: number;
	flushAt: number | undefined;
	isRunning: boolean;
	sent: number;
}

const STEP_MS = 10;
const SEED_COUNT = 3;

/** Simulates a fleet of routers that exchange only their membership, in virtual time. */
export class MembershipHarness {
	private readonly nodes: Map<string, Node>;
	/** Datagrams by virtual time of arrival, a multiple of {@link STEP_MS}. */
	private readonly inFlight = new Map<number, Datagram[]>();
	private incarnations = 0;
	private time = 1_000;

	private constructor(private readonly options: HarnessOptions) {
		const nodes = Array.from({ length: options.routers }, (_, index) =>
			this.createNode(`router-${index}`, `domain-${index % options.domains}`),
		);
		this.nodes = new Map(nodes.map((node) => [node.name, node]));
		nodes.forEach((node) => this.introduceToSeeds(node));
	}

	/**
	 * @param options of the fleet
	 * @returns a fleet whose routers start within 300 ms of each other and know the same three seeds
	 */
	public static create(options: HarnessOptions): MembershipHarness {
		return new MembershipHarness(options);
	}

	/** Names of all running routers. */
	public get running(): readonly string[] {
		return this.runningNodes.map(({ name }) => name);
	}

	/** Datagrams sent so far. */
	public get sent(): number {
		return [...this.nodes.values()].reduce((sum, node) => sum + node.sent, 0);
	}

	public get now(): number {
		return this.time;
	}

	/** @param durationMs virtual milliseconds to simulate */
	public run(durationMs: number): void {
		for (const end = this.time + durationMs; this.time < end;) {
			this.time += STEP_MS;
			this.deliver();
			this.runningNodes.forEach((node) => this.step(node));
		}
	}

	/** @param names of routers that stop without notice */
	public stop(names: readonly string[]): void {
		for (const name of names) {
			this.node(name).isRunning = false;
		}
	}

	/** @param name of a stopped router that continues with its former state, like a process that was frozen */
	public resume(name: string): void {
		const node = this.node(name);
		node.isRunning = true;
		node.nextTickAt = this.time;
	}

	/** @param names of stopped routers that restart without their former state */
	public start(names: readonly string[]): void {
		for (const name of names) {
			const fresh = this.createNode(name, this.node(name).domain);
			this.nodes.set(name, fresh);
			this.introduceToSeeds(fresh);
		}
	}

	/**
	 * @param name of a router
	 * @returns sorted names of the routers that it considers to be serving, including itself
	 */
	public servingSeenBy(name: string): readonly string[] {
		const { members } = this.node(name).membership;
		const others = members.all.filter(isServing).map(({ instance }) => instance);
		return [name, ...others].sort();
	}

	/** Names of the running routers whose view differs from the set of running routers. */
	public get inconsistentRouters(): readonly string[] {
		const expected = [...this.running].sort().join();
		return this.running.filter((name) => this.servingSeenBy(name).join() !== expected);
	}

	private get runningNodes(): readonly Node[] {
		return [...this.nodes.values()].filter(({ isRunning }) => isRunning);
	}

	private node(name: string): Node {
		const node = this.nodes.get(name);
		if (node === undefined) {
			throw new Error(`unknown router ${name}`);
		}
		return node;
	}

	private createNode(name: string, domain: string): Node {
		const membership = FleetMembership.create(name, domain, this.options.random);
		const nextTickAt = this.time + this.options.random() * 300;
		const incarnation = ++this.incarnations;
		const times = { nextTickAt, lastFlushAt: 0, lastProbeAt: 0, flushAt: undefined };
		return { name, domain, incarnation, membership, sequence: 0, ...times, isRunning: true, sent: 0 };
	}

	private introduceToSeeds(node: Node): void {
		const seeds = [...this.nodes.keys()].slice(0, SEED_COUNT).filter((name) => name !== node.name);
		this.send(node, seeds, [], true);
	}

	private step(node: Node): void {
		const { membership } = node;
		if (this.time >= node.nextTickAt) {
			node.nextTickAt = this.time + TICK_INTERVAL_MS;
			membership.setLarge(true, this.time);
			membership.tick(this.time);
			const intervalMs = membership.isRelay ? TICK_INTERVAL_MS : HEARTBEAT_INTERVAL_MS;
			if (this.time - node.lastFlushAt >= intervalMs - TICK_INTERVAL_MS / 2) {
				this.flush(node);
			}
		}
		if (membership.members.hasPendingUpdates) {
			node.flushAt ??= this.time + MEMBER_UPDATE_DELAY_MS;
		}
		if (node.flushAt !== undefined && this.time >= node.flushAt) {
			this.flush(node);
		}
	}

	private flush(node: Node): void {
		node.lastFlushAt = this.time;
		node.flushAt = undefined;
		for (const { to, members } of node.membership.announcements()) {
			this.send(node, to, members, false);
		}
		if (this.time - node.lastProbeAt >= LOST_PEER_PROBE_INTERVAL_MS) {
			node.lastProbeAt = this.time;
			this.send(node, node.membership.probeTargets(), [], true);
		}
	}

	private send(node: Node, receivers: readonly string[], members: readonly FleetPeer[], replyRequested: boolean): void {
		const sequence = ++node.sequence;
		for (const to of receivers) {
			node.sent += Math.max(1, Math.ceil(members.length / MEMBERS_PER_DATAGRAM));
			if (this.options.isDelivered(node.name, to, this.time)) {
				const { name: from, incarnation } = node;
				const at = this.time + STEP_MS;
				const arriving = this.inFlight.get(at) ?? [];
				arriving.push({ from, to, sequence, incarnation, members, replyRequested });
				this.inFlight.set(at, arriving);
			}
		}
	}

	private deliver(): void {
		const due = this.inFlight.get(this.time) ?? [];
		this.inFlight.delete(this.time);
		for (const datagram of due) {
			const node = this.node(datagram.to);
			if (node.isRunning) {
				this.receive(node, datagram, this.node(datagram.from).domain);
			}
		}
	}

	private receive(node: Node, datagram: Datagram, domain: string): void {
		const { membership } = node;
		const address = { host: datagram.from, port: 1 };
		const peer: FleetPeer = {
			instance: datagram.from,
			incarnation: datagram.incarnation,
			failureDomain: domain,
			peerAddress: address,
			datagramAddress: address,
			leaving: false,
			isRelieved: false,
			heardAt: this.time,
			followedRevisions: [],
			lost: false,
			contactSince: undefined,
			sequence: datagram.sequence,
		};
		const hadDirectContact = membership.members.hasDirectContact(peer);
		if (membership.recordDirect(peer) === 'outdated') {
			return;
		}
		membership.recordIndirect(datagram.members, this.time);
		const isConsideredLost = datagram.members.some(({ instance, lost }) => lost && instance === node.name);
		const isNewDomainPeer = !hadDirectContact && membership.isRelay && domain === node.domain;
		if (datagram.replyRequested || isConsideredLost || isNewDomainPeer) {
			this.send(node, [datagram.from], hadDirectContact ? [] : membership.membersForNewPeer(), false);
		}
	}
}
