import { drawArrivalTimes, drawClosedLoopStarts } from '../load/arrivals.js';
import { drawCost, createRandom, type CostRange, type RequestSource } from '../load/workload.js';
import { GapTracker } from './gap.js';

/** Parameters of the baselines. */
export interface BaselineOptions {
	readonly seed: number;
	readonly shares: readonly number[];
	readonly sources: readonly RequestSource[];
	readonly costs: CostRange;
	readonly slots: number;
	readonly routers: number;
	/** Service of one busy slot per millisecond, in cost units. */
	readonly ratePerMs: number;
	readonly durationMs: number;
}

/** Computed metrics of a baseline. */
export interface BaselineResult {
	/** Fairness gap in cost units per share. */
	readonly gap: number;
	/** Busy slot time divided by slot time, while a request waits in any queue. */
	readonly utilisation: number;
	/** Service of each account, in cost units. */
	readonly service: readonly number[];
}

interface WaitingRequest {
	readonly source: number;
	readonly cost: number;
}

interface RunningRequest extends WaitingRequest {
	readonly account: number;
	readonly group: number;
	remaining: number;
}

interface Arrival {
	readonly atMs: number;
	readonly source: number;
}

/**
 * Computes the oracle: a single weighted fair queue with immediate global information, which charges service when it is
 * delivered.
 *
 * @param options parameters of the scenario
 * @returns gap, utilisation and service
 */
export function computeOracle(options: BaselineOptions): BaselineResult {
	return new SlotSimulation(options, [options.slots], () => 0, takeLowestService).run();
}

/**
 * Computes the naive fleet: independent routers with a fixed division of the slots and first-come-first-served queues.
 *
 * @param options parameters of the scenario
 * @returns gap, utilisation and service
 */
export function computeNaive(options: BaselineOptions): BaselineResult {
	const slotsByRouter = Array.from({ length: options.routers }, (_, router) =>
		Math.floor(
			(options.slots * (router + 1)) / options.routers - Math.floor((options.slots * router) / options.routers),
		),
	);
	return new SlotSimulation(options, slotsByRouter, (source) => source.router, takeFirst).run();
}

type QueueDiscipline = (queue: WaitingRequest[], simulation: SlotSimulation) => WaitingRequest | undefined;

function takeFirst(queue: WaitingRequest[]): WaitingRequest | undefined {
	return queue.shift();
}

function takeLowestService(queue: WaitingRequest[], simulation: SlotSimulation): WaitingRequest | undefined {
	let best = -1;
	let bestKey: readonly [number, number] = [Infinity, Infinity];
	queue.forEach((item, index) => {
		const key = simulation.sortKeyOf(item);
		if (key[0] < bestKey[0] || (key[0] === bestKey[0] && key[1] < bestKey[1])) {
			best = index;
			bestKey = key;
		}
	});
	return best < 0 ? undefined : queue.splice(best, 1)[0];
}

/** Discrete-event simulation of groups of slots, each with its own queue. */
class SlotSimulation {
	private readonly tracker: GapTracker;
	private readonly draws: readonly (() => number)[];
	private readonly queues: WaitingRequest[][];
	private readonly freeSlots: number[];
	private running: RunningRequest[] = [];
	private readonly waitingByAccount: number[];
	private readonly runningByAccount: number[];
	private readonly service: number[];
	private readonly virtualServices: number[];
	private now = 0;
	private busyTime = 0;
	private availableTime = 0;

	public constructor(
		private readonly options: BaselineOptions,
		slotsByGroup: readonly number[],
		private readonly groupOf: (source: RequestSource) => number,
		private readonly takeNext: QueueDiscipline,
	) {
		this.tracker = GapTracker.create(options.shares);
		this.draws = options.sources.map((source) => createRandom(options.seed, source));
		this.queues = slotsByGroup.map(() => []);
		this.freeSlots = [...slotsByGroup];
		this.waitingByAccount = options.shares.map(() => 0);
		this.runningByAccount = options.shares.map(() => 0);
		this.service = options.shares.map(() => 0);
		this.virtualServices = options.shares.map(() => 0);
	}

	/** Sort key of the fair queue: virtual service, then running requests per share. */
	public sortKeyOf(item: WaitingRequest): readonly [number, number] {
		const account = this.accountOf(item.source);
		return [
			this.virtualServices[account] ?? 0,
			(this.runningByAccount[account] ?? 0) / (this.options.shares[account] ?? 1),
		];
	}

	public run(): BaselineResult {
		const arrivals = this.listArrivals();
		let next = 0;
		for (;;) {
			const completionMs = this.now + this.shortestRemaining() / this.options.ratePerMs;
			const arrivalMs = arrivals[next]?.atMs ?? Infinity;
			const until = Math.min(completionMs, arrivalMs, this.options.durationMs);
			this.advance(until);
			if (until >= this.options.durationMs) {
				break;
			}
			for (let arrival = arrivals[next]; arrival !== undefined && arrival.atMs <= until; arrival = arrivals[++next]) {
				this.submit(arrival.source);
			}
			this.complete();
			this.startRequests();
		}
		return {
			gap: this.tracker.gap,
			utilisation: this.availableTime === 0 ? 1 : this.busyTime / this.availableTime,
			service: this.service,
		};
	}

	private listArrivals(): readonly Arrival[] {
		const arrivals = this.options.sources.flatMap((source, index): Arrival[] => {
			const times =
				source.ratePerSecond === undefined
					? drawClosedLoopStarts(this.options.seed, source)
					: drawArrivalTimes(this.options.seed, source, this.options.durationMs);
			return times.map((atMs) => ({ atMs, source: index }));
		});
		return arrivals.sort((one, other) => one.atMs - other.atMs);
	}

	private advance(until: number): void {
		const elapsed = until - this.now;
		const waiting = this.queues.some((queue) => queue.length > 0);
		if (waiting) {
			this.busyTime += this.running.length * elapsed;
			this.availableTime += this.options.slots * elapsed;
		}
		for (const item of this.running) {
			const delivered = Math.min(item.remaining, elapsed * this.options.ratePerMs);
			item.remaining -= delivered;
			this.service[item.account] = (this.service[item.account] ?? 0) + delivered;
			this.virtualServices[item.account] =
				(this.virtualServices[item.account] ?? 0) + delivered / (this.options.shares[item.account] ?? 1);
			this.tracker.deliver(item.account, delivered);
		}
		this.now = until;
	}

	private shortestRemaining(): number {
		return this.running.reduce((least, item) => Math.min(least, item.remaining), Infinity);
	}

	private submit(index: number): void {
		const source = this.options.sources[index];
		const draw = this.draws[index];
		if (source === undefined || draw === undefined) {
			return;
		}
		if (this.waitingByAccount[source.account] === 0 && this.runningByAccount[source.account] === 0) {
			this.virtualServices[source.account] = Math.max(this.virtualServices[source.account] ?? 0, this.floor());
		}
		this.waitingByAccount[source.account] = (this.waitingByAccount[source.account] ?? 0) + 1;
		this.queues[this.groupOf(source)]?.push({ source: index, cost: drawCost(this.options.costs, draw) });
	}

	private floor(): number {
		const backlogged = this.virtualServices.filter((_, account) => (this.waitingByAccount[account] ?? 0) > 0);
		return backlogged.length === 0 ? Math.max(...this.virtualServices) : Math.min(...backlogged);
	}

	private complete(): void {
		const ended = this.running.filter((item) => item.remaining <= 1e-9);
		this.running = this.running.filter((item) => item.remaining > 1e-9);
		for (const item of ended) {
			this.freeSlots[item.group] = (this.freeSlots[item.group] ?? 0) + 1;
			this.runningByAccount[item.account] = (this.runningByAccount[item.account] ?? 0) - 1;
			const source = this.options.sources[item.source];
			if (source?.ratePerSecond === undefined && this.now < (source?.untilMs ?? Infinity)) {
				this.submit(item.source);
			}
		}
	}

	private startRequests(): void {
		this.queues.forEach((queue, group) => {
			while ((this.freeSlots[group] ?? 0) > 0) {
				const item = this.takeNext(queue, this);
				if (item === undefined) {
					break;
				}
				const account = this.accountOf(item.source);
				this.freeSlots[group] = (this.freeSlots[group] ?? 0) - 1;
				this.waitingByAccount[account] = (this.waitingByAccount[account] ?? 0) - 1;
				this.runningByAccount[account] = (this.runningByAccount[account] ?? 0) + 1;
				this.running.push({ ...item, account, group, remaining: item.cost });
			}
		});
		this.waitingByAccount.forEach((count, account) => this.tracker.setBacklogged(account, count > 0));
	}

	private accountOf(source: number): number {
		return this.options.sources[source]?.account ?? 0;
	}
}
