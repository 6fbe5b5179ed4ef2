import type { LoadRecord, RequestRecord } from '../load/load.js';
import { GapTracker } from './gap.js';

/** Times at which a backend stand-in ran a request, from its ledger, in milliseconds since the epoch. */
export interface LedgerSpans {
	readonly backend: string;
	readonly requestId: string;
	readonly startedAtMs: readonly number[];
	readonly endedAtMs: readonly number[];
}

/** Parameters of the analysis. */
export interface AnalysisOptions {
	readonly shares: readonly number[];
	/** Number of slots by backend server. */
	readonly slots: ReadonlyMap<string, number>;
	/** Start of the period in which slots and service are counted, in milliseconds since the epoch. */
	readonly fromMs: number;
	/** End of that period, in milliseconds since the epoch. */
	readonly untilMs: number;
	/** Times at which a phase of the gap ends, such as the end of a partition; the intervals of the gap start anew. */
	readonly phasesMs?: readonly number[];
}

/** Fairness and slot metrics of a run. */
export interface Analysis {
	/** Largest gap in each phase, in cost units per share. */
	readonly gaps: readonly number[];
	/** Accounts with the largest gap of the last phase. */
	readonly worstPair: readonly [number, number] | undefined;
	/** Busy slot time divided by slot time, while a request waits. */
	readonly utilisation: number;
	/** How long each slot was free while a request waited, once per free period, in milliseconds, ascending. */
	readonly idleMs: readonly number[];
	/** Longest time for which each account was backlogged without receiving service, in milliseconds. */
	readonly maximumServiceGapMs: readonly number[];
	/** Service of each account between `fromMs` and `untilMs`, in cost units. */
	readonly service: readonly number[];
}

type Step = () => void;

/**
 * Replays the recorded events in time order. A request waits from when it is sent until it is first started on a backend
 * server, or until it ends without having been started.
 *
 * @param record requests and deliveries recorded at callers
 * @param ledgers requests recorded at backend servers
 * @param options shares, slots and times
 * @returns the metrics
 */
export function analyse(record: LoadRecord, ledgers: readonly LedgerSpans[], options: AnalysisOptions): Analysis {
	const replay = new EventReplay(options);
	const events: { readonly atMs: number; readonly step: Step }[] = [];
	const add = (atMs: number, step: Step): void => void events.push({ atMs, step });
	const firstStarts = new Map<string, number>();
	for (const { backend, requestId, startedAtMs, endedAtMs } of ledgers) {
		const first = Math.min(...startedAtMs, firstStarts.get(requestId) ?? Infinity);
		firstStarts.set(requestId, first);
		startedAtMs.forEach((atMs) => add(atMs, () => replay.startRequest(backend)));
		endedAtMs.forEach((atMs) => add(atMs, () => replay.endRequest(backend)));
	}
	for (const request of record.requests) {
		add(request.sentMs, () => replay.changeWaiting(request, 1));
		const endOfWait = firstStarts.get(request.id) ?? request.endMs;
		if (endOfWait !== undefined) {
			add(Math.max(endOfWait, request.sentMs), () => replay.changeWaiting(request, -1));
		}
	}
	for (const { atMs, account, service } of record.deliveries) {
		add(atMs, () => replay.deliver(account, service));
	}
	for (const atMs of options.phasesMs ?? []) {
		add(atMs, () => replay.endPhase());
	}
	events.sort((one, other) => one.atMs - other.atMs);
	for (const { atMs, step } of events) {
		if (atMs > options.untilMs) {
			break;
		}
		replay.advance(atMs);
		step();
	}
	replay.advance(options.untilMs);
	return replay.finish();
}

class EventReplay {
	private readonly tracker: GapTracker;
	private readonly gaps: number[] = [];
	private readonly waitingByAccount: number[];
	private readonly freeSince = new Map<string, number[]>();
	private readonly service: number[];
	private readonly lastServiceMs: number[];
	private readonly maximumServiceGaps: number[];
	private readonly idle: number[] = [];
	private readonly slotCount: number;
	private waiting = 0;
	private busy = 0;
	private now: number;
	/** Time since `fromMs` during which at least one request waited, in milliseconds. */
	private waitingTime = 0;
	private busyTime = 0;

	public constructor(private readonly options: AnalysisOptions) {
		this.tracker = GapTracker.create(options.shares);
		this.waitingByAccount = options.shares.map(() => 0);
		this.service = options.shares.map(() => 0);
		this.lastServiceMs = options.shares.map(() => 0);
		this.maximumServiceGaps = options.shares.map(() => 0);
		this.slotCount = [...options.slots.values()].reduce((sum, slots) => sum + slots, 0);
		options.slots.forEach((slots, backend) => this.freeSince.set(backend, new Array<number>(slots).fill(0)));
		this.now = options.fromMs;
	}

	public advance(atMs: number): void {
		const elapsed = Math.max(0, atMs - Math.max(this.now, this.options.fromMs));
		if (this.waiting > 0) {
			this.waitingTime += elapsed;
			this.busyTime += elapsed * this.busy;
		}
		this.now = atMs;
	}

	public changeWaiting(request: RequestRecord, change: 1 | -1): void {
		const { account } = request;
		const before = this.waitingByAccount[account] ?? 0;
		this.waiting += change;
		this.waitingByAccount[account] = before + change;
		this.tracker.setBacklogged(account, before + change > 0);
		if (before === 0) {
			this.lastServiceMs[account] = this.now;
		} else if (before + change === 0) {
			this.recordServiceGap(account);
		}
	}

	public startRequest(backend: string): void {
		this.busy++;
		const since = this.freeSince.get(backend)?.shift();
		if (since !== undefined && this.now > this.options.fromMs) {
			this.idle.push(this.waitingTime - since);
		}
	}

	public endRequest(backend: string): void {
		this.busy--;
		this.freeSince.get(backend)?.push(this.waitingTime);
	}

	public deliver(account: number, service: number): void {
		this.tracker.deliver(account, service);
		if ((this.waitingByAccount[account] ?? 0) > 0) {
			this.recordServiceGap(account);
		}
		if (this.now >= this.options.fromMs) {
			this.service[account] = (this.service[account] ?? 0) + service;
		}
	}

	public endPhase(): void {
		this.gaps.push(this.tracker.gap);
		this.tracker.reset();
	}

	public finish(): Analysis {
		this.waitingByAccount.forEach((count, account) => {
			if (count > 0) {
				this.recordServiceGap(account);
			}
		});
		for (const since of [...this.freeSince.values()].flat()) {
			this.idle.push(this.waitingTime - since);
		}
		const { worstPair } = this.tracker;
		this.endPhase();
		const available = this.waitingTime * this.slotCount;
		return {
			gaps: this.gaps,
			worstPair,
			utilisation: available === 0 ? 1 : this.busyTime / available,
			idleMs: this.idle.sort((one, other) => one - other),
			maximumServiceGapMs: this.maximumServiceGaps,
			service: this.service,
		};
	}

	private recordServiceGap(account: number): void {
		const elapsed = this.now - (this.lastServiceMs[account] ?? this.now);
		this.maximumServiceGaps[account] = Math.max(this.maximumServiceGaps[account] ?? 0, elapsed);
		this.lastServiceMs[account] = this.now;
	}
}
