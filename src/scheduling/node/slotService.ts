import { Effect } from 'effect';
import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import { shortKey } from '../../base/common/shortKey.js';
import { getLogger } from '../../base/node/log.js';
import type { Configuration, Pool } from '../../configuration/common/model.js';
import type { PoolReport, PoolUpdate } from '../../peers/common/generated/masticloom/peers/v1/peers.js';
import type { PeerMessage, PeerStatus } from '../../peers/common/peerNetwork.js';
import { type PendingRequest, PoolEntry, type SlotLease, type Urgency } from '../common/poolEntry.js';
import { type PoolLimits, PoolScheduler } from '../common/poolScheduler.js';
import type { PoolDump } from '../common/schedulingDump.js';
import type { ISlotService, Slot, SlotRequest } from '../common/slotService.js';
import { LAZY_REPORT_MS, CONTENTION_CHECK_INTERVAL_MS, SCHEDULER_TICK_MS } from '../common/timing.js';
import { computeLimits } from './limits.js';
import { LostEntryDetector } from './lostEntryDetector.js';
import type { PoolMetrics, SlotServiceOptions } from './slotServiceOptions.js';

/** Maximum time for which a new scheduler waits for complete reports. */
const REBUILD_LIMIT_MS = 300;

const log = getLogger('scheduling');

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
	contendedMs: number;
}

/** Runs this router's entry of every pool, and the scheduler of those pools that the router owns. */
export class SlotService extends Disposable implements ISlotService {
	private readonly pools = new Map<number, PoolState>();
	private readonly backendNames = new Map<number, string>();
	private readonly accountShares = new Map<number, number>();
	private readonly lostEntries: LostEntryDetector;
	private leaving = false;

	private constructor(private readonly options: SlotServiceOptions) {
		super();
		const { configuration, membership, network } = options;
		this.lostEntries = this.register(
			LostEntryDetector.create({
				onSuspend: (instance) => this.forEachScheduler((scheduler) => scheduler.suspendEntry(instance)),
				onRemove: (instance, incarnation) =>
					this.forEachScheduler((scheduler) => scheduler.removeEntry(instance, incarnation)),
			}),
		);
		this.register(configuration.onDidChange((current) => this.applyConfiguration(current)));
		this.register(membership.onDidChange(() => this.assignSchedulers()));
		this.register(network.onDidReceive((message) => this.onMessage(message)));
		this.register(network.onDidChangePeer((peer) => this.onPeerChange(peer)));
		const tick = setInterval(() => this.tick(), SCHEDULER_TICK_MS);
		const contentionTimer = setInterval(() => this.updateContention(), CONTENTION_CHECK_INTERVAL_MS);
		this.register(toDisposable(() => this.pools.forEach((pool) => clearTimeout(pool.lazyTimer))));
		this.register(toDisposable(() => clearInterval(tick)));
		this.register(toDisposable(() => clearInterval(contentionTimer)));
		if (configuration.current !== undefined) {
			this.applyConfiguration(configuration.current);
		}
	}

	/**
	 * @param options services and functions that it depends on
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
				const pending: PendingRequest = {
					service: request.service,
					expectedCost: entry.queue.estimateOf(account, request.service).withHint(request.costHint),
					start,
				};
				entry.submit(account, pending);
				return Effect.sync(() => entry.cancel(account, pending));
			});
			// An interruption can arrive after the slot was granted and before the caller's fiber resumed.
			return Effect.onInterrupt(wait, () => Effect.sync(() => lease?.release(false)));
		});
	}

	public queuedRequests(pool: string, account: string): number {
		return this.pools.get(shortKey(pool))?.entry.queue.find(shortKey(account))?.queue.length ?? 0;
	}

	/** Applies changed slot limits to the schedulers. */
	public refreshLimits(): void {
		for (const pool of this.pools.values()) {
			pool.scheduler?.setLimits(this.limitsOf(pool.id));
			this.flushUpdates(pool);
		}
	}

	/** Keeps no idle slots from now on, since this router is shutting down. */
	public leave(): void {
		this.leaving = true;
		for (const pool of this.pools.values()) {
			pool.entry.leave();
		}
	}

	/** @returns metrics of every pool */
	public metrics(): readonly PoolMetrics[] {
		return [...this.pools.values()].map((pool) => ({
			pool: pool.id,
			schedulerInstance: pool.schedulerInstance,
			entry: pool.entry.metrics(),
			scheduler: pool.scheduler?.metrics(),
			contendedMs: pool.contendedMs,
		}));
	}

	/** @returns state of every pool for the state dump */
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
		this.assignSchedulers();
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
			contendedMs: 0,
		};
		if (this.leaving) {
			state.entry.leave();
		}
		this.pools.set(key, state);
	}

	private limitsOf(poolId: string): PoolLimits {
		const { configuration, membership, slotLimit } = this.options;
		const shareOf = (account: number): number | undefined => this.accountShares.get(account);
		const live = membership.liveRouters().length;
		return computeLimits(
			configuration.current,
			poolId,
			slotLimit,
			live / (live + membership.countUnreachableRouters()),
			shareOf,
		);
	}

	private assignSchedulers(): void {
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
		pool.entry.detachScheduler();
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
		const { local, network } = this.options;
		for (const peer of [local, ...network.peers().filter(({ state }) => state === 'connected')]) {
			scheduler.requestReport(peer.instance, peer.incarnation);
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

	private onPeerChange(peer: PeerStatus): void {
		this.lostEntries.onPeerChange(peer);
		if (peer.state !== 'connected') {
			return;
		}
		for (const pool of this.pools.values()) {
			if (pool.schedulerInstance === peer.instance) {
				pool.entry.requestCompleteReport();
			}
		}
	}

	private forEachScheduler(change: (scheduler: PoolScheduler) => void): void {
		for (const pool of this.pools.values()) {
			if (pool.scheduler !== undefined) {
				change(pool.scheduler);
				this.flushUpdates(pool);
			}
		}
	}

	private onMessage(message: PeerMessage): void {
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
		this.scheduleFlush(pool);
	}

	private hasAllReports(scheduler: PoolScheduler): boolean {
		const { local, network } = this.options;
		const reported = scheduler.reportedEntries();
		// Routers that are shutting down take no role, but they still hold slots.
		const connected = network.peers().filter((peer) => peer.state === 'connected');
		return [local, ...connected].every(({ instance }) => reported.has(instance));
	}

	private handleUpdate(instance: string, update: PoolUpdate): void {
		const pool = this.pools.get(update.pool);
		if (pool === undefined) {
			return;
		}
		pool.highestTerm = Math.max(pool.highestTerm, update.term);
		if (instance === pool.schedulerInstance && !pool.entry.applyUpdate(update)) {
			// The scheduler's term is outdated, for example after a restart. The report contains the higher one.
			pool.entry.requestCompleteReport();
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
			pool.entry.detachScheduler();
		}
	}

	private tick(): void {
		for (const pool of this.pools.values()) {
			this.flushUpdates(pool, true);
		}
	}

	private updateContention(): void {
		for (const pool of this.pools.values()) {
			if (pool.scheduler?.isContended === true) {
				pool.contendedMs += CONTENTION_CHECK_INTERVAL_MS;
				pool.scheduler.clearContention();
				pool.scheduler.rebalance();
			}
		}
	}

	private scheduleFlush(pool: PoolState): void {
		if (pool.flushPending) {
			return;
		}
		pool.flushPending = true;
		setImmediate(() => {
			pool.flushPending = false;
			this.flushUpdates(pool);
		});
	}

	private flushUpdates(pool: PoolState, withDrift = false): void {
		const { scheduler } = pool;
		if (scheduler === undefined) {
			return;
		}
		for (const instance of scheduler.entriesToUpdate(withDrift)) {
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
