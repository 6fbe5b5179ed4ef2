import type { LoadRecord, RequestRecord } from '../load/load.js';
import { GapTracker } from './gap.js';

/** Work on one slot, as a backend stand-in's ledger has it. Times are milliseconds since the epoch. */
export interface LedgerSpans {
	readonly backend: string;
	readonly requestId: string;
	readonly startedAtMs: readonly number[];
	readonly endedAtMs: readonly number[];
}

/** What the analysis needs besides the recorded events. */
export interface AnalysisOptions {
	readonly shares: readonly number[];
	/** Slots by backend server. */
	readonly slots: ReadonlyMap<string, number>;
	/** Start of the time in which slots are watched, in milliseconds since the epoch. */
	readonly fromMs: number;
	readonly untilMs: number;
	/** Times at which the gap is taken and its intervals begin anew, such as that of a rejoin. */
	readonly phasesMs?: readonly number[];
}

/** Figures of one run. */
export interface Analysis {
	/** Largest gap in each phase, in cost units per share. */
	readonly gaps: readonly number[];
	/** Accounts of the largest gap of the last phase. */
	readonly worstPair: readonly [number, number] | undefined;
	/** Busy slot time divided by slot time, while a request waits. */
	readonly utilisation: number;
	/** Times for which single slots were free while a request waited, in milliseconds, ascending. */
	readonly idleMs: readonly number[];
	/** Longest time without service of each account while it was backlogged, in milliseconds. */
	readonly maximumServiceGapMs: readonly number[];
	/** Service of each account between `fromMs` and `untilMs`, in cost units. */
	readonly service: readonly number[];
}

type Step = () => void;

/**
 * Replays the recorded events in the order of time. A request waits from its sending until its first start on a backend
 * server, or its end without one.
 *
 * @param record what callers saw
 * @param ledgers what backend servers did
 * @param terms shares, slots and times
 * @returns the figures
 */
export function analyse(record: LoadRecord, ledgers: readonly LedgerSpans[], terms: AnalysisOptions): Analysis {
	const replay = new Replay(terms);
	const events: { readonly atMs: number; readonly step: Step }[] = [];
	const add = (atMs: number, step: Step): void => void events.push({ atMs, step });
	const firstStarts = new Map<string, number>();
	for (const { backend, requestId, startedAtMs, endedAtMs } of ledgers) {
		const first = Math.min(...startedAtMs, firstStarts.get(requestId) ?? Infinity);
		firstStarts.set(requestId, first);
		startedAtMs.forEach((atMs) => add(atMs, () => replay.occupy(backend)));
		endedAtMs.forEach((atMs) => add(atMs, () => replay.free(backend)));
	}
	for (const request of record.requests) {
		add(request.sentMs, () => replay.wait(request, 1));
		const endOfWait = firstStarts.get(request.id) ?? request.endMs;
		if (endOfWait !== undefined) {
			add(Math.max(endOfWait, request.sentMs), () => replay.wait(request, -1));
		}
	}
	for (const { atMs, account, service } of record.deliveries) {
		add(atMs, () => replay.deliver(account, service));
	}
	for (const atMs of terms.phasesMs ?? []) {
		add(atMs, () => replay.endPhase());
	}
	events.sort((one, other) => one.atMs - other.atMs);
	for (const { atMs, step } of events) {
		if (atMs > terms.untilMs) {
			break;
		}
		replay.advance(atMs);
		step();
	}
	replay.advance(terms.untilMs);
	return replay.finish();
}

class Replay {
	private readonly tracker: GapTracker;
	private readonly gaps: number[] = [];
	private readonly waitingOf: number[];
	private readonly freeSince = new Map<string, number[]>();
	private readonly service: number[];
	private readonly withoutSince: number[];
	private readonly longestWithout: number[];
	private readonly idle: number[] = [];
	private readonly slotCount: number;
	private waiting = 0;
	private busy = 0;
	private now: number;
	/** Time since `fromMs` in which a request waited. */
	private waitingTime = 0;
	private busyTime = 0;

	public constructor(private readonly terms: AnalysisOptions) {
		this.tracker = GapTracker.create(terms.shares);
		this.waitingOf = terms.shares.map(() => 0);
		this.service = terms.shares.map(() => 0);
		this.withoutSince = terms.shares.map(() => 0);
		this.longestWithout = terms.shares.map(() => 0);
		this.slotCount = [...terms.slots.values()].reduce((sum, slots) => sum + slots, 0);
		terms.slots.forEach((slots, backend) => this.freeSince.set(backend, new Array<number>(slots).fill(0)));
		this.now = terms.fromMs;
	}

	public advance(atMs: number): void {
		const elapsed = Math.max(0, atMs - Math.max(this.now, this.terms.fromMs));
		if (this.waiting > 0) {
			this.waitingTime += elapsed;
			this.busyTime += elapsed * this.busy;
		}
		this.now = atMs;
	}

	public wait(request: RequestRecord, change: 1 | -1): void {
		const { account } = request;
		const before = this.waitingOf[account] ?? 0;
		this.waiting += change;
		this.waitingOf[account] = before + change;
		this.tracker.setBacklogged(account, before + change > 0);
		if (before === 0) {
			this.withoutSince[account] = this.now;
		} else if (before + change === 0) {
			this.noteWithout(account);
		}
	}

	public occupy(backend: string): void {
		this.busy++;
		const since = this.freeSince.get(backend)?.shift();
		if (since !== undefined && this.now > this.terms.fromMs) {
			this.idle.push(this.waitingTime - since);
		}
	}

	public free(backend: string): void {
		this.busy--;
		this.freeSince.get(backend)?.push(this.waitingTime);
	}

	public deliver(account: number, service: number): void {
		this.tracker.deliver(account, service);
		if ((this.waitingOf[account] ?? 0) > 0) {
			this.noteWithout(account);
		}
		if (this.now >= this.terms.fromMs) {
			this.service[account] = (this.service[account] ?? 0) + service;
		}
	}

	public endPhase(): void {
		this.gaps.push(this.tracker.gap);
		this.tracker.reset();
	}

	public finish(): Analysis {
		this.waitingOf.forEach((count, account) => {
			if (count > 0) {
				this.noteWithout(account);
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
			maximumServiceGapMs: this.longestWithout,
			service: this.service,
		};
	}

	private noteWithout(account: number): void {
		const elapsed = this.now - (this.withoutSince[account] ?? this.now);
		this.longestWithout[account] = Math.max(this.longestWithout[account] ?? 0, elapsed);
		this.withoutSince[account] = this.now;
	}
}
