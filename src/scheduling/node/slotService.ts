import { Effect } from 'effect';
import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import { shortKey } from '../../base/common/shortKey.js';
import { logOf } from '../../base/node/log.js';
import type { IConfigurationService } from '../../configuration/common/configurationService.js';
import type { Configuration, Pool } from '../../configuration/common/model.js';
import type { IMembershipService } from '../../membership/common/membershipService.js';
import type { PoolReport, PoolUpdate } from '../../peers/common/generated/masticloom/peers/v1/peers.js';
import type { IPeerNetwork, PeerMessage, PeerStatus } from '../../peers/common/peerNetwork.js';
import { type PendingRequest, PoolEntry, type SlotLease, type Urgency } from '../common/poolEntry.js';
import { type PoolLimits, PoolScheduler } from '../common/poolScheduler.js';
import type { PoolDump } from '../common/schedulingDump.js';
import type { ISlotService, Slot, SlotRequest } from '../common/slotService.js';

/** Changes that are not urgent are reported after this time, together. */
const LAZY_REPORT_MS = 10;

/** The scheduler looks for drifted floors and bases, and for the end of contention, this often. */
const SCHEDULER_TICK_MS = 10;
const RELAX_INTERVAL_MS = 50;

/** A new scheduler waits this long for complete reports. */
const REBUILD_LIMIT_MS = 300;

/** Slots of a lost entry stay leased this long, since its requests may still be ending on the backend servers. */
const LOST_ENTRY_GRACE_MS = 1_000;

const log = logOf('scheduling');

/** Identity of this router. */
export interface LocalEntry {
	readonly instance: string;
	readonly incarnation: string;
}

/** What the slot service is built from. */
export interface SlotServiceOptions {
	readonly local: LocalEntry;
	readonly configuration: IConfigurationService;
	readonly membership: IMembershipService;
	readonly network: IPeerNetwork;
	/**
	 * @param backendServer identifier in the configuration
	 * @param configured its slots in the configuration
	 * @returns requests it may have in progress now
	 */
	readonly slotLimit: (backendServer: string, configured: number) => number;
	/** @param backendServer server that an entry saw fail */
	readonly onBackendFailure: (backendServer: string) => void;
}

interface PoolState {
	readonly id: string;
	readonly key: number;
	readonly entry: PoolEntry;
	scheduler: PoolScheduler | undefined;
	schedulerInstance: string;
	highestTerm: number;
	reportPending: boolean;
	lazyTimer: NodeJS.Timeout | undefined;
	flushPending: boolean;
}

/** Runs the entry part of every pool, and the scheduler of those pools that this router owns. */
export class SlotService extends Disposable implements ISlotService {
	private readonly pools = new Map<number, PoolState>();
	private readonly backendNames = new Map<number, string>();
	private readonly accountShares = new Map<number, number>();
	private readonly lostEntries = new Map<string, NodeJS.Timeout>();

	private constructor(private readonly options: SlotServiceOptions) {
		super();
		const { configuration, membership, network } = options;
		this.register(configuration.onDidChange((current) => this.applyConfiguration(current)));
		this.register(membership.onDidChange(() => this.placeSchedulers()));
		this.register(network.onDidReceive((message) => this.receive(message)));
		this.register(network.onDidChangePeer((peer) => this.followPeer(peer)));
		const tick = setInterval(() => this.tick(), SCHEDULER_TICK_MS);
		const relax = setInterval(() => this.relax(), RELAX_INTERVAL_MS);
		this.register(toDisposable(() => clearInterval(tick)));
		this.register(toDisposable(() => clearInterval(relax)));
		if (configuration.current !== undefined) {
			this.applyConfiguration(configuration.current);
		}
	}

	/**
	 * @param options services and functions it needs
	 * @returns a service that follows the configuration
	 */
	public static create(options: SlotServiceOptions): SlotService {
		return new SlotService(options);
	}

	public acquire(request: SlotRequest): Effect.Effect<Slot> {
		return Effect.suspend(() => {
			const pool = this.pools.get(shortKey(request.pool));
			if (pool === undefined) {
				return Effect.die(new Error(`pool ${request.pool} is not configured`));
			}
			const { entry } = pool;
			const key = shortKey(request.account);
			const account = entry.queue.account(key, request.account, this.accountShares.get(key) ?? 1);
			let lease: SlotLease | undefined;
			const wait = Effect.callback<Slot>((resume) => {
				const start = (granted: SlotLease): void => {
					lease = granted;
					resume(Effect.succeed(this.toSlot(granted)));
				};
				const pending: PendingRequest = { expectedCost: account.estimate.expect(request.costHint), start };
				entry.submit(account, pending);
				return Effect.sync(() => entry.cancel(account, pending));
			});
			// An interruption can arrive after the slot was granted and before the caller's fiber went on.
			return Effect.onInterrupt(wait, () => Effect.sync(() => lease?.release(false)));
		});
	}

	public queuedRequests(pool: string, account: string): number {
		return this.pools.get(shortKey(pool))?.entry.queue.find(shortKey(account))?.queue.length ?? 0;
	}

	/** Takes slot limits into account that changed. */
	public refreshLimits(): void {
		for (const pool of this.pools.values()) {
			pool.scheduler?.setLimits(this.limitsOf(pool.id));
			this.flushUpdates(pool);
		}
	}

	/** @returns figures for the state dump */
	public dump(): readonly PoolDump[] {
		return [...this.pools.values()].map((pool) => ({
			pool: pool.id,
			scheduler: pool.schedulerInstance,
			entry: pool.entry.dump(),
			schedulerState: pool.scheduler?.dump(),
		}));
	}

	private toSlot(lease: SlotLease): Slot {
		return {
			backendServer: this.backendNames.get(lease.backend) ?? '',
			charge: (costUnits) => lease.charge(costUnits),
			release: (failed) => lease.release(failed),
		};
	}

	private applyConfiguration(configuration: Configuration): void {
		this.accountShares.clear();
		for (const account of configuration.accounts) {
			this.accountShares.set(shortKey(account.id), account.share);
		}
		for (const server of configuration.backendServers) {
			this.backendNames.set(shortKey(server.id), server.id);
		}
		for (const pool of configuration.pools) {
			this.addPool(pool);
		}
		this.placeSchedulers();
		this.refreshLimits();
	}

	private addPool(pool: Pool): void {
		const key = shortKey(pool.id);
		if (this.pools.has(key)) {
			return;
		}
		const state: PoolState = {
			id: pool.id,
			key,
			entry: PoolEntry.create(key, (urgency) => this.scheduleReport(state, urgency)),
			scheduler: undefined,
			schedulerInstance: '',
			highestTerm: 0,
			reportPending: false,
			lazyTimer: undefined,
			flushPending: false,
		};
		this.pools.set(key, state);
	}

	private limitsOf(poolId: string): PoolLimits {
		const configuration = this.options.configuration.current;
		const pool = configuration?.pools.find((item) => item.id === poolId);
		const slotLimits = new Map<number, number>();
		const live = this.options.membership.liveRouters().length;
		// Both sides of a partition lease out their proportion, so that together they respect the slot limits.
		const proportion = live / (live + this.options.membership.silentRouters());
		for (const server of configuration?.backendServers ?? []) {
			if (server.pool !== poolId) {
				continue;
			}
			const limit = this.options.slotLimit(server.id, server.slots);
			slotLimits.set(shortKey(server.id), limit > 0 ? Math.max(1, Math.floor(limit * proportion)) : 0);
		}
		return { slack: pool?.slack ?? 0, slotLimits, shareOf: (account) => this.accountShares.get(account) };
	}

	private placeSchedulers(): void {
		for (const pool of this.pools.values()) {
			const owner = this.options.membership.ownerOf(pool.id);
			if (owner !== pool.schedulerInstance) {
				this.moveScheduler(pool, owner);
			}
		}
		this.refreshLimits();
	}

	private moveScheduler(pool: PoolState, owner: string): void {
		pool.schedulerInstance = owner;
		pool.entry.loseScheduler();
		pool.scheduler = undefined;
		if (owner === this.options.local.instance) {
			this.startScheduler(pool);
		}
		pool.entry.requestCompleteReport();
	}

	private startScheduler(pool: PoolState): void {
		pool.highestTerm = Math.max(pool.highestTerm, pool.entry.term) + 1;
		const scheduler = PoolScheduler.create(pool.key, pool.highestTerm, this.limitsOf(pool.id));
		pool.scheduler = scheduler;
		log.info(`This router schedules pool ${pool.id} in term ${scheduler.term}.`);
		for (const router of this.options.membership.liveRouters()) {
			scheduler.requestReport(router.instance, router.incarnation);
		}
		setTimeout(() => this.finishRebuild(pool, scheduler), REBUILD_LIMIT_MS);
		this.flushUpdates(pool);
	}

	private finishRebuild(pool: PoolState, scheduler: PoolScheduler): void {
		if (pool.scheduler === scheduler && scheduler.isRebuilding) {
			scheduler.finishRebuild();
			this.flushUpdates(pool);
		}
	}

	private followPeer(peer: PeerStatus): void {
		const timer = this.lostEntries.get(peer.instance);
		clearTimeout(timer);
		this.lostEntries.delete(peer.instance);
		for (const pool of this.pools.values()) {
			if (peer.state === 'connected') {
				if (pool.schedulerInstance === peer.instance) {
					pool.entry.requestCompleteReport();
				}
			} else {
				pool.scheduler?.suspendEntry(peer.instance);
			}
		}
		if (peer.state === 'connected') {
			return;
		}
		const remove = (): void => this.removeEntry(peer.instance);
		this.lostEntries.set(peer.instance, setTimeout(remove, LOST_ENTRY_GRACE_MS));
	}

	private removeEntry(instance: string): void {
		this.lostEntries.delete(instance);
		for (const pool of this.pools.values()) {
			pool.scheduler?.removeEntry(instance);
			this.flushUpdates(pool);
		}
	}

	private receive(message: PeerMessage): void {
		for (const report of message.frame.reports) {
			this.handleReport(message.instance, message.incarnation, report);
		}
		for (const update of message.frame.updates) {
			this.handleUpdate(message.instance, update);
		}
	}

	private handleReport(instance: string, incarnation: string, report: PoolReport): void {
		const pool = this.pools.get(report.pool);
		if (pool === undefined) {
			return;
		}
		pool.highestTerm = Math.max(pool.highestTerm, report.term);
		if (pool.scheduler !== undefined && report.term > pool.scheduler.term) {
			this.startScheduler(pool);
		}
		const { scheduler } = pool;
		if (scheduler === undefined) {
			return;
		}
		for (const slot of report.slots) {
			const name = slot.failed ? this.backendNames.get(slot.backend) : undefined;
			if (name !== undefined) {
				this.options.onBackendFailure(name);
			}
		}
		scheduler.applyReport(instance, incarnation, report);
		if (scheduler.isRebuilding && this.hasAllReports(scheduler)) {
			scheduler.finishRebuild();
		}
		this.flushSoon(pool);
	}

	private hasAllReports(scheduler: PoolScheduler): boolean {
		const reported = scheduler.reportedEntries();
		return this.options.membership.liveRouters().every((router) => reported.has(router.instance));
	}

	private handleUpdate(instance: string, update: PoolUpdate): void {
		const pool = this.pools.get(update.pool);
		if (pool === undefined) {
			return;
		}
		pool.highestTerm = Math.max(pool.highestTerm, update.term);
		if (instance === pool.schedulerInstance) {
			pool.entry.applyUpdate(update);
		}
	}

	private scheduleReport(pool: PoolState, urgency: Urgency): void {
		if (urgency === 'now') {
			if (!pool.reportPending) {
				pool.reportPending = true;
				setImmediate(() => this.sendReport(pool));
			}
			return;
		}
		pool.lazyTimer ??= setTimeout(() => this.sendReport(pool), LAZY_REPORT_MS);
	}

	private sendReport(pool: PoolState): void {
		clearTimeout(pool.lazyTimer);
		pool.lazyTimer = undefined;
		pool.reportPending = false;
		const { local, network } = this.options;
		const report = pool.entry.takeReport();
		if (pool.schedulerInstance === local.instance) {
			this.handleReport(local.instance, local.incarnation, report);
			return;
		}
		if (!network.send(pool.schedulerInstance, { reports: [report] })) {
			pool.entry.loseScheduler();
		}
	}

	private tick(): void {
		for (const pool of this.pools.values()) {
			this.flushUpdates(pool);
		}
	}

	private relax(): void {
		for (const pool of this.pools.values()) {
			pool.scheduler?.relax();
		}
	}

	private flushSoon(pool: PoolState): void {
		if (pool.flushPending) {
			return;
		}
		pool.flushPending = true;
		setImmediate(() => {
			pool.flushPending = false;
			this.flushUpdates(pool);
		});
	}

	private flushUpdates(pool: PoolState): void {
		const { scheduler } = pool;
		if (scheduler === undefined) {
			return;
		}
		for (const instance of scheduler.entriesToUpdate()) {
			const update = scheduler.takeUpdate(instance);
			if (update === undefined) {
				continue;
			}
			if (instance === this.options.local.instance) {
				this.handleUpdate(instance, update);
			} else {
				this.options.network.send(instance, { updates: [update] });
			}
		}
	}
}
