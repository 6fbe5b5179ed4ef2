import { drawArrivalTimes, drawClosedLoopStarts } from '../load/arrivals.js';
import { drawCost, createRandom, type CostRange, type RequestSource } from '../load/workload.js';
import { GapTracker } from './gap.js';

/** What both baselines are computed from. */
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

/** Results of a computation. */
export interface BaselineResult {
	/** In cost units per share. */
	readonly gap: number;
	/** Busy slot time divided by slot time while a request waits anywhere. */
	readonly utilisation: number;
	/** Service of each account, in cost units. */
	readonly service: readonly number[];
}

interface Waiting {
	readonly source: number;
	readonly cost: number;
}

interface Running extends Waiting {
	readonly account: number;
	readonly group: number;
	remaining: number;
}

interface Arrival {
	readonly atMs: number;
	readonly source: number;
}

/**
 * Computes the oracle: one weighted fair queue that sees everything at once and charges service as it is delivered.
 *
 * @param terms the scenario's data
 * @returns gap, utilisation and service
 */
export function computeOracle(terms: BaselineOptions): BaselineResult {
	return new SlotModel(terms, [terms.slots], () => 0, takeLowestService).run();
}

/**
 * Computes the naive fleet: each router alone, with a fixed split of slots and first-come-first-served order.
 *
 * @param terms the scenario's data
 * @returns gap, utilisation and service
 */
export function computeNaive(terms: BaselineOptions): BaselineResult {
	const split = Array.from({ length: terms.routers }, (_, router) =>
		Math.floor((terms.slots * (router + 1)) / terms.routers - Math.floor((terms.slots * router) / terms.routers)),
	);
	return new SlotModel(terms, split, (source) => source.router, takeFirst).run();
}

type Take = (queue: Waiting[], model: SlotModel) => Waiting | undefined;

function takeFirst(queue: Waiting[]): Waiting | undefined {
	return queue.shift();
}

function takeLowestService(queue: Waiting[], model: SlotModel): Waiting | undefined {
	let best = -1;
	let bestOrder: readonly [number, number] = [Infinity, Infinity];
	queue.forEach((item, index) => {
		const order = model.orderOf(item);
		if (order[0] < bestOrder[0] || (order[0] === bestOrder[0] && order[1] < bestOrder[1])) {
			best = index;
			bestOrder = order;
		}
	});
	return best < 0 ? undefined : queue.splice(best, 1)[0];
}

/** Event-driven model of groups of slots, each with its queue, in virtual time. */
class SlotModel {
	private readonly tracker: GapTracker;
	private readonly draws: readonly (() => number)[];
	private readonly queues: Waiting[][];
	private readonly free: number[];
	private running: Running[] = [];
	private readonly waitingOf: number[];
	private readonly runningOf: number[];
	private readonly service: number[];
	private readonly virtual: number[];
	private now = 0;
	private busyTime = 0;
	private availableTime = 0;

	public constructor(
		private readonly terms: BaselineOptions,
		split: readonly number[],
		private readonly groupOf: (source: RequestSource) => number,
		private readonly take: Take,
	) {
		this.tracker = GapTracker.create(terms.shares);
		this.draws = terms.sources.map((source) => createRandom(terms.seed, source));
		this.queues = split.map(() => []);
		this.free = [...split];
		this.waitingOf = terms.shares.map(() => 0);
		this.runningOf = terms.shares.map(() => 0);
		this.service = terms.shares.map(() => 0);
		this.virtual = terms.shares.map(() => 0);
	}

	/** Order in the fair queue: virtual service first, then running requests per share. */
	public orderOf(item: Waiting): readonly [number, number] {
		const account = this.accountOf(item.source);
		return [this.virtual[account] ?? 0, (this.runningOf[account] ?? 0) / (this.terms.shares[account] ?? 1)];
	}

	public run(): BaselineResult {
		const arrivals = this.listArrivals();
		let next = 0;
		for (;;) {
			const completionMs = this.now + this.shortestRemaining() / this.terms.ratePerMs;
			const arrivalMs = arrivals[next]?.atMs ?? Infinity;
			const until = Math.min(completionMs, arrivalMs, this.terms.durationMs);
			this.advance(until);
			if (until >= this.terms.durationMs) {
				break;
			}
			for (let arrival = arrivals[next]; arrival !== undefined && arrival.atMs <= until; arrival = arrivals[++next]) {
				this.submit(arrival.source);
			}
			this.complete();
			this.start();
		}
		return {
			gap: this.tracker.gap,
			utilisation: this.availableTime === 0 ? 1 : this.busyTime / this.availableTime,
			service: this.service,
		};
	}

	private listArrivals(): readonly Arrival[] {
		const arrivals = this.terms.sources.flatMap((source, index): Arrival[] => {
			const times =
				source.ratePerSecond === undefined
					? drawClosedLoopStarts(this.terms.seed, source)
					: drawArrivalTimes(this.terms.seed, source, this.terms.durationMs);
			return times.map((atMs) => ({ atMs, source: index }));
		});
		return arrivals.sort((one, other) => one.atMs - other.atMs);
	}

	private advance(until: number): void {
		const elapsed = until - this.now;
		const waiting = this.queues.some((queue) => queue.length > 0);
		if (waiting) {
			this.busyTime += this.running.length * elapsed;
			this.availableTime += this.terms.slots * elapsed;
		}
		for (const item of this.running) {
			const delivered = Math.min(item.remaining, elapsed * this.terms.ratePerMs);
			item.remaining -= delivered;
			this.service[item.account] = (this.service[item.account] ?? 0) + delivered;
			this.virtual[item.account] =
				(this.virtual[item.account] ?? 0) + delivered / (this.terms.shares[item.account] ?? 1);
			this.tracker.deliver(item.account, delivered);
		}
		this.now = until;
	}

	private shortestRemaining(): number {
		return this.running.reduce((least, item) => Math.min(least, item.remaining), Infinity);
	}

	private submit(index: number): void {
		const source = this.terms.sources[index];
		const draw = this.draws[index];
		if (source === undefined || draw === undefined) {
			return;
		}
		if (this.waitingOf[source.account] === 0 && this.runningOf[source.account] === 0) {
			this.virtual[source.account] = Math.max(this.virtual[source.account] ?? 0, this.floor());
		}
		this.waitingOf[source.account] = (this.waitingOf[source.account] ?? 0) + 1;
		this.queues[this.groupOf(source)]?.push({ source: index, cost: drawCost(this.terms.costs, draw) });
	}

	private floor(): number {
		const backlogged = this.virtual.filter((_, account) => (this.waitingOf[account] ?? 0) > 0);
		return backlogged.length === 0 ? Math.max(...this.virtual) : Math.min(...backlogged);
	}

	private complete(): void {
		const ended = this.running.filter((item) => item.remaining <= 1e-9);
		this.running = this.running.filter((item) => item.remaining > 1e-9);
		for (const item of ended) {
			this.free[item.group] = (this.free[item.group] ?? 0) + 1;
			this.runningOf[item.account] = (this.runningOf[item.account] ?? 0) - 1;
			const source = this.terms.sources[item.source];
			if (source?.ratePerSecond === undefined && this.now < (source?.untilMs ?? Infinity)) {
				this.submit(item.source);
			}
		}
	}

	private start(): void {
		this.queues.forEach((queue, group) => {
			while ((this.free[group] ?? 0) > 0) {
				const item = this.take(queue, this);
				if (item === undefined) {
					break;
				}
				const account = this.accountOf(item.source);
				this.free[group] = (this.free[group] ?? 0) - 1;
				this.waitingOf[account] = (this.waitingOf[account] ?? 0) - 1;
				this.runningOf[account] = (this.runningOf[account] ?? 0) + 1;
				this.running.push({ ...item, account, group, remaining: item.cost });
			}
		});
		this.waitingOf.forEach((count, account) => this.tracker.setBacklogged(account, count > 0));
	}

	private accountOf(source: number): number {
		return this.terms.sources[source]?.account ?? 0;
	}
}
