import type { PoolReport, PoolUpdate } from '../../peers/common/generated/masticloom/peers/v1/peers.js';
import { PeerFrame } from '../../peers/common/generated/masticloom/peers/v1/peers.js';
import type { BaselineOptions } from '../../../tools/measure/baselines.js';
import { GapTracker } from '../../../tools/measure/gap.js';
import { drawCost, createRandom } from '../../../tools/load/workload.js';
import { type PendingRequest, PoolEntry, type SlotLease, type Urgency } from '../common/poolEntry.js';
import { PoolScheduler } from '../common/poolScheduler.js';
import { LAZY_REPORT_MS, CONTENTION_CHECK_INTERVAL_MS, SCHEDULER_TICK_MS } from '../common/timing.js';
import { VirtualTime } from './virtualTime.js';

const POOL = 281_474_976_710_000;
const KEY_BASE = 140_737_488_350_000;
const DELIVERY_STEP_MS = 5;

/** Headers of an HTTP/2 data frame and of a gRPC message, in bytes. */
const FRAME_OVERHEAD_BYTES = 9 + 5;

export interface PoolHarnessOptions extends BaselineOptions {
	readonly backends: number;
	readonly slack: number;
	readonly delayMs: number;
}

interface Running {
	readonly account: number;
	readonly source: number;
	readonly lease: SlotLease;
	remaining: number;
}

interface SimulatedRouter {
	readonly instance: string;
	readonly entry: PoolEntry;
	reportPending: boolean;
	lazyPending: boolean;
}

/** Connects entries and one scheduler through ordered links with a fixed delay, in virtual time. */
export class PoolHarness {
	public readonly time = new VirtualTime();
	public readonly tracker: GapTracker;
	public readonly scheduler: PoolScheduler;
	public readonly routers: SimulatedRouter[];
	public readonly service: number[];
	public messages = 0;
	public bytes = 0;
	public readonly bytesByPart = new Map<string, number>();
	public completed = 0;
	private readonly draws: readonly (() => number)[];
	private readonly waitingByAccount: number[];
	private readonly running: Running[] = [];
	private busyTime = 0;
	private availableTime = 0;
	private idleSinceMs: number | undefined;
	/** Longest time for which a slot was free while a request waited, in milliseconds. */
	public longestIdleMs = 0;
	private flushPending = false;

	public constructor(public readonly options: PoolHarnessOptions) {
		this.tracker = GapTracker.create(options.shares);
		this.service = options.shares.map(() => 0);
		this.waitingByAccount = options.shares.map(() => 0);
		this.draws = options.sources.map((source) => createRandom(options.seed, source));
		const slotLimits = new Map<number, number>();
		for (let slot = 0; slot < options.slots; slot++) {
			const key = KEY_BASE - 1 - (slot % options.backends);
			slotLimits.set(key, (slotLimits.get(key) ?? 0) + 1);
		}
		this.scheduler = PoolScheduler.create(POOL, 1, {
			slack: options.slack,
			slotLimits,
			shareOf: (key) => options.shares[key - KEY_BASE],
		});
		this.routers = Array.from({ length: options.routers }, (_, index) => this.createRouter(index));
		this.scheduler.finishRebuild();
		this.time.every(SCHEDULER_TICK_MS, () => this.flush(true));
		this.time.every(CONTENTION_CHECK_INTERVAL_MS, () => this.scheduler.clearContention());
		this.time.every(DELIVERY_STEP_MS, () => this.deliver());
		options.sources.forEach((source, index) => {
			this.time.after(source.fromMs ?? 0, () => {
				for (let count = 0; count < source.inProgress; count++) {
					this.submit(index);
				}
			});
		});
	}

	public get utilisation(): number {
		return this.availableTime === 0 ? 1 : this.busyTime / this.availableTime;
	}

	public get bytesPerRequest(): number {
		return this.bytes / Math.max(1, this.completed);
	}

	/** Restarts all measurements, for example after a warm-up. */
	public restartMeasures(): void {
		this.tracker.reset();
		this.messages = 0;
		this.bytes = 0;
		this.bytesByPart.clear();
		this.completed = 0;
		this.busyTime = 0;
		this.availableTime = 0;
		this.longestIdleMs = 0;
		this.idleSinceMs = undefined;
	}

	private createRouter(index: number): SimulatedRouter {
		const entry = PoolEntry.create(POOL, (urgency) => this.scheduleReport(router, urgency));
		const router: SimulatedRouter = { instance: `router-${index}`, entry, reportPending: false, lazyPending: false };
		this.time.after(0, () => entry.requestCompleteReport());
		return router;
	}

	private submit(index: number): void {
		const source = this.options.sources[index];
		const draw = this.draws[index];
		const router = this.routers[source?.router ?? 0];
		if (source === undefined || draw === undefined || router === undefined) {
			return;
		}
		const { account } = source;
		const { queue } = router.entry;
		const state = queue.account(KEY_BASE + account, `account-${account}`, this.options.shares[account] ?? 1);
		const cost = drawCost(this.options.costs, draw);
		this.setWaiting(account, 1);
		const request: PendingRequest = {
			service: 'completions',
			expectedCost: queue.estimateOf(state, 'completions').withHint(undefined),
			start: (lease) => {
				this.account();
				this.setWaiting(account, -1);
				const running: Running = { account, source: index, lease, remaining: cost };
				this.running.push(running);
				this.account();
				this.time.after(cost / this.options.ratePerMs, () => this.complete(running));
			},
		};
		router.entry.submit(state, request);
	}

	private setWaiting(account: number, change: number): void {
		this.account();
		this.waitingByAccount[account] = (this.waitingByAccount[account] ?? 0) + change;
		// Deferred, so that the account stays backlogged when its only waiting request starts and the next one arrives at
		// the same time.
		this.time.after(0, () => this.tracker.setBacklogged(account, (this.waitingByAccount[account] ?? 0) > 0));
		this.account();
	}

	private complete(running: Running): void {
		this.account();
		this.advance(running, running.remaining);
		this.running.splice(this.running.indexOf(running), 1);
		this.completed++;
		const source = this.options.sources[running.source];
		if (this.time.now < (source?.untilMs ?? Infinity)) {
			this.submit(running.source);
		}
		running.lease.release(false);
		this.account();
	}

	private deliver(): void {
		for (const running of this.running) {
			const delivered = Math.min(running.remaining, DELIVERY_STEP_MS * this.options.ratePerMs);
			this.advance(running, delivered);
		}
	}

	private advance(running: Running, delivered: number): void {
		running.remaining -= delivered;
		this.service[running.account] = (this.service[running.account] ?? 0) + delivered;
		this.tracker.deliver(running.account, delivered);
		running.lease.charge(delivered);
	}

	private lastUpdateMs = 0;
	private lastBusy = 0;
	private lastWaiting = false;

	/** Adds the time since the last change to the utilisation and idle time. */
	private account(): void {
		const elapsed = this.time.now - this.lastUpdateMs;
		if (this.lastWaiting) {
			this.busyTime += this.lastBusy * elapsed;
			this.availableTime += this.options.slots * elapsed;
		}
		this.lastUpdateMs = this.time.now;
		this.lastBusy = this.running.length;
		this.lastWaiting = this.waitingByAccount.some((count) => count > 0);
		if (!this.lastWaiting || this.lastBusy >= this.options.slots) {
			if (this.idleSinceMs !== undefined) {
				this.longestIdleMs = Math.max(this.longestIdleMs, this.time.now - this.idleSinceMs);
			}
			this.idleSinceMs = undefined;
		} else {
			this.idleSinceMs ??= this.time.now;
		}
	}

	private scheduleReport(router: SimulatedRouter, urgency: Urgency): void {
		if (urgency === 'now') {
			if (!router.reportPending) {
				router.reportPending = true;
				this.time.after(0, () => this.sendReport(router));
			}
			return;
		}
		if (!router.lazyPending) {
			router.lazyPending = true;
			this.time.after(LAZY_REPORT_MS, () => {
				if (router.lazyPending) {
					this.sendReport(router);
				}
			});
		}
	}

	private sendReport(router: SimulatedRouter): void {
		router.reportPending = false;
		router.lazyPending = false;
		const report = router.entry.takeReport();
		this.transmit(router, { reports: [report] }, () => {
			this.scheduler.applyReport(router.instance, 'first', report);
			if (!this.flushPending) {
				this.flushPending = true;
				this.time.after(0, () => {
					this.flushPending = false;
					this.flush();
				});
			}
		});
	}

	private flush(withDrift = false): void {
		for (const instance of this.scheduler.entriesToUpdate(withDrift)) {
			const router = this.routers.find((item) => item.instance === instance);
			const update = this.scheduler.takeUpdate(instance);
			if (router !== undefined && update !== undefined) {
				this.transmit(router, { updates: [update] }, () => router.entry.applyUpdate(update));
			}
		}
	}

	/** The scheduler runs on the first router, whose messages to it stay in the process and are not counted. */
	private transmit(
		router: SimulatedRouter,
		parts: { reports?: PoolReport[]; updates?: PoolUpdate[] },
		deliver: () => void,
	): void {
		if (router === this.routers[0]) {
			this.time.after(0, deliver);
			return;
		}
		const size = PeerFrame.encode(PeerFrame.create(parts)).finish().length + FRAME_OVERHEAD_BYTES;
		this.messages++;
		this.bytes += size;
		const part = parts.reports === undefined ? 'updates' : 'reports';
		this.bytesByPart.set(part, (this.bytesByPart.get(part) ?? 0) + size);
		this.time.after(this.options.delayMs, deliver);
	}
}
