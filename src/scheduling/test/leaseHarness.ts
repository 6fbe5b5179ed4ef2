import type { PoolReport, PoolUpdate } from '../../peers/common/generated/masticloom/peers/v1/peers.js';
import { type PendingRequest, PoolEntry, type SlotLease, type Urgency } from '../common/poolEntry.js';
import { PoolScheduler } from '../common/poolScheduler.js';
import { LAZY_REPORT_MS, CONTENTION_CHECK_INTERVAL_MS, SCHEDULER_TICK_MS } from '../common/timing.js';
import { VirtualTime } from './virtualTime.js';

const POOL = 1;
const DELAY_MS = 1;
const GRACE_MS = 1_000;

interface Client {
	readonly instance: string;
	incarnation: number;
	/** Number of the current stream; messages of earlier streams are dropped. */
	stream: number;
	connected: boolean;
	entry: PoolEntry;
	running: SlotLease[];
	queued: { account: number; request: PendingRequest }[];
	reportPending: boolean;
	lazyPending: boolean;
}

/** Connects entries and a scheduler through links that can break, with entries and schedulers that can be replaced. */
export class LeaseHarness {
	public readonly time = new VirtualTime();
	public readonly clients: Client[];
	public scheduler: PoolScheduler;
	public violations: string[] = [];
	private term = 1;
	private readonly highestLimits: Map<number, number>;

	public constructor(
		entries: number,
		private limits: ReadonlyMap<number, number>,
	) {
		this.highestLimits = new Map(limits);
		this.scheduler = this.createScheduler();
		this.clients = Array.from({ length: entries }, (_, index) => {
			const client: Client = {
				instance: `router-${index}`,
				incarnation: 0,
				stream: 0,
				connected: true,
				entry: PoolEntry.create(POOL, (urgency) => this.scheduleReport(client, urgency)),
				running: [],
				queued: [],
				reportPending: false,
				lazyPending: false,
			};
			return client;
		});
		this.replaceScheduler();
		this.time.every(SCHEDULER_TICK_MS, () => this.flush());
		this.time.every(CONTENTION_CHECK_INTERVAL_MS, () => this.scheduler.clearContention());
	}

	public submit(index: number, account: number): void {
		const client = this.clientAt(index);
		const { entry } = client;
		const state = entry.queue.account(account, `account-${account}`, 1);
		const request: PendingRequest = {
			service: 'service',
			expectedCost: entry.queue.estimateOf(state, 'service').withHint(undefined),
			start: (lease) => {
				client.queued = client.queued.filter((item) => item.request !== request);
				client.running.push(lease);
				this.check();
			},
		};
		client.queued.push({ account, request });
		entry.submit(state, request);
	}

	public complete(index: number, cost: number, failed: boolean): void {
		const lease = this.clientAt(index).running.shift();
		lease?.charge(cost);
		lease?.release(failed);
	}

	public cancel(index: number): void {
		const { entry, queued } = this.clientAt(index);
		const item = queued.shift();
		const state = item === undefined ? undefined : entry.queue.find(item.account);
		if (item !== undefined && state !== undefined) {
			entry.cancel(state, item.request);
		}
	}

	public setLimit(backend: number, limit: number): void {
		this.limits = new Map([...this.limits, [backend, limit]]);
		this.highestLimits.set(backend, Math.max(limit, this.highestLimits.get(backend) ?? 0));
		this.scheduler.setLimits(this.poolLimits());
	}

	/** Ends the stream of an entry, so that messages in transit are lost, and opens another one later. */
	public breakStream(index: number, forMs: number): void {
		const client = this.clientAt(index);
		if (!client.connected) {
			return;
		}
		client.connected = false;
		client.stream++;
		const { stream } = client;
		const incarnation = incarnationOf(client);
		this.scheduler.suspendEntry(client.instance);
		this.time.after(GRACE_MS, () => {
			if (client.stream === stream && !client.connected) {
				this.scheduler.removeEntry(client.instance, incarnation);
			}
		});
		this.time.after(Math.min(forMs, GRACE_MS - 1), () => {
			client.connected = true;
			client.entry.requestCompleteReport();
		});
	}

	/** Replaces the process of an entry; its requests end with it. */
	public restartEntry(index: number): void {
		const client = this.clientAt(index);
		if (!client.connected) {
			return;
		}
		const former = incarnationOf(client);
		client.stream++;
		client.incarnation++;
		client.running = [];
		client.queued = [];
		client.reportPending = false;
		client.lazyPending = false;
		client.entry = PoolEntry.create(POOL, (urgency) => this.scheduleReport(client, urgency));
		this.scheduler.suspendEntry(client.instance);
		this.time.after(GRACE_MS, () => this.scheduler.removeEntry(client.instance, former));
		client.entry.requestCompleteReport();
	}

	/** Replaces the scheduler; the new one starts to grant slots when all entries have reported. */
	public replaceScheduler(): void {
		this.term++;
		this.scheduler = this.createScheduler();
		for (const client of this.clients) {
			client.stream++;
			client.entry.detachScheduler();
			this.scheduler.requestReport(client.instance, incarnationOf(client));
			if (client.connected) {
				client.entry.requestCompleteReport();
			}
		}
		this.flush();
	}

	/** Completes all running requests, including those that start in the meantime. */
	public completeAll(): void {
		while (this.clients.some(({ running }) => running.length > 0)) {
			this.clients.forEach((client, index) => client.running.forEach(() => this.complete(index, 1, false)));
			this.time.runFor(CONTENTION_CHECK_INTERVAL_MS);
		}
	}

	/** Compares the state of the entries with that of the scheduler once no message is in transit. */
	public checkSettled(): void {
		for (const client of this.clients) {
			const heldByEntry = JSON.stringify([...client.entry.heldSlots()].sort());
			const heldInScheduler = JSON.stringify([...this.scheduler.heldBy(client.instance)].sort());
			if (heldByEntry !== heldInScheduler) {
				this.violations.push(`${client.instance} holds ${heldByEntry}, the scheduler has ${heldInScheduler}`);
			}
		}
		const held = this.clients.reduce((sum, { entry }) => sum + entry.metrics().heldSlots, 0);
		const { leasedSlots, freeSlots } = this.scheduler.metrics();
		if (held !== leasedSlots) {
			this.violations.push(`${held} slots are held and ${leasedSlots} leased`);
		}
		for (const [backend, limit] of this.limits) {
			const heldHere = this.clients.reduce((sum, { entry }) => sum + (entry.heldSlots().get(backend) ?? 0), 0);
			if (heldHere > limit && this.clients.every(({ running }) => running.length === 0)) {
				this.violations.push(`${heldHere} slots of ${backend} are held beyond the limit of ${limit}`);
			}
		}
		const waiting = this.clients.reduce((sum, { queued }) => sum + queued.length, 0);
		if (waiting > 0 && freeSlots > 0) {
			this.violations.push(`${waiting} requests wait beside ${freeSlots} free slots`);
		}
	}

	/** Checks that no backend server has more running requests than its highest limit so far. */
	private check(): void {
		for (const [backend, limit] of this.highestLimits) {
			const running = this.clients
				.flatMap((client) => client.running)
				.filter((lease) => lease.backend === backend).length;
			if (running > limit) {
				this.violations.push(`${running} requests run on ${limit} slots of ${backend}`);
			}
		}
	}

	private createScheduler(): PoolScheduler {
		return PoolScheduler.create(POOL, this.term, this.poolLimits());
	}

	private poolLimits(): { slack: number; slotLimits: ReadonlyMap<number, number>; shareOf: () => number } {
		return { slack: 2, slotLimits: this.limits, shareOf: () => 1 };
	}

	private clientAt(index: number): Client {
		const client = this.clients[index % this.clients.length];
		if (client === undefined) {
			throw new Error('the harness has no entry');
		}
		return client;
	}

	private scheduleReport(client: Client, urgency: Urgency): void {
		const { incarnation } = client;
		const send = (): void => {
			if (client.incarnation === incarnation && (client.reportPending || client.lazyPending)) {
				this.sendReport(client);
			}
		};
		if (urgency === 'now') {
			client.reportPending = true;
			this.time.after(0, send);
			return;
		}
		client.lazyPending = true;
		this.time.after(LAZY_REPORT_MS, send);
	}

	private sendReport(client: Client): void {
		client.reportPending = false;
		client.lazyPending = false;
		const report: PoolReport = client.entry.takeReport();
		if (!client.connected) {
			client.entry.detachScheduler();
			return;
		}
		const { scheduler } = this;
		const incarnation = incarnationOf(client);
		this.transmit(client, () => {
			scheduler.applyReport(client.instance, incarnation, report);
			if (scheduler.isRebuilding && scheduler.reportedEntries().size === this.clients.length) {
				scheduler.finishRebuild();
			}
			this.flush();
		});
	}

	private flush(): void {
		for (const instance of this.scheduler.entriesToUpdate(true)) {
			const client = this.clients.find((item) => item.instance === instance);
			const update: PoolUpdate | undefined = this.scheduler.takeUpdate(instance);
			if (client !== undefined && update !== undefined && client.connected) {
				this.transmit(client, () => void client.entry.applyUpdate(update));
			}
		}
	}

	private transmit(client: Client, deliver: () => void): void {
		const { stream } = client;
		this.time.after(DELAY_MS, () => {
			if (client.stream === stream && client.connected) {
				deliver();
			}
		});
	}
}

function incarnationOf(client: Client): string {
	return `${client.instance}/${client.incarnation}`;
}
