/** What became of one request of an account. */
export interface AccountRequest {
	readonly account: string;
	/** Milliseconds from any fixed moment at which the request arrived. */
	readonly at: number;
	/** Cost units. */
	readonly cost: number;
	/** Whether it was begun. */
	readonly isServed: boolean;
	/** Whether it was refused, or its answer began after its aim. */
	readonly wasDelayed: boolean;
}

/** An account that waited in each second of a window, compared with the best served account. */
export interface FairnessWindow {
	readonly account: string;
	/** First second of the window. */
	readonly fromSecond: number;
	readonly requestedCost: number;
	/** Second by second, the smaller of what the account asked and what the best served account got. */
	readonly comparableCost: number;
	readonly servedCost: number;
	/** What the account got, relative to what is comparable. */
	readonly ratio: number;
}

/** Seconds over which accounts are compared. */
export const FAIRNESS_WINDOW_SECONDS = 6;

const SECOND_MS = 1_000;

interface SecondTotals {
	readonly asked: number;
	readonly got: number;
	readonly wasDelayed: boolean;
}

const NOTHING: SecondTotals = { asked: 0, got: 0, wasDelayed: false };

/** Compares what accounts asked and got, second by second, to find those that waited while others were served. */
export class FairnessLedger {
	private readonly seconds = new Map<number, Map<string, SecondTotals>>();

	private constructor() {}

	/** @returns a ledger without requests */
	public static create(): FairnessLedger {
		return new FairnessLedger();
	}

	/** @param request that has arrived */
	public add({ account, at, cost, isServed, wasDelayed }: AccountRequest): void {
		const second = Math.floor(at / SECOND_MS);
		const accounts = this.seconds.get(second) ?? new Map<string, SecondTotals>();
		this.seconds.set(second, accounts);
		const before = accounts.get(account) ?? NOTHING;
		accounts.set(account, {
			asked: before.asked + cost,
			got: before.got + (isServed ? cost : 0),
			wasDelayed: before.wasDelayed || wasDelayed,
		});
	}

	/** @returns all windows in which an account waited in each second, the worst served first */
	public windows(): readonly FairnessWindow[] {
		const accounts = new Set([...this.seconds.values()].flatMap((totals) => [...totals.keys()]));
		return [...this.seconds.keys()]
			.flatMap((fromSecond) => [...accounts].flatMap((account) => this.windowOf(account, fromSecond) ?? []))
			.sort((one, other) => one.ratio - other.ratio);
	}

	private windowOf(account: string, fromSecond: number): FairnessWindow | undefined {
		let requestedCost = 0;
		let comparableCost = 0;
		let servedCost = 0;
		for (let second = fromSecond; second < fromSecond + FAIRNESS_WINDOW_SECONDS; second++) {
			const accounts = this.seconds.get(second);
			const totals = accounts?.get(account);
			if (accounts === undefined || totals?.wasDelayed !== true) {
				return undefined;
			}
			const best = Math.max(...[...accounts.values()].map((other) => other.got));
			requestedCost += totals.asked;
			comparableCost += Math.min(totals.asked, best);
			servedCost += totals.got;
		}
		return comparableCost > 0
			? {
					account,
					fromSecond,
					requestedCost,
					comparableCost,
					servedCost,
					ratio: servedCost / comparableCost,
				}
			: undefined;
	}
}
