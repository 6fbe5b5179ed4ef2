/** One request of an account and its outcome. */
export interface AccountRequest {
	readonly account: string;
	/** Arrival time in milliseconds, counted from any fixed moment. */
	readonly at: number;
	/** Cost units. */
	readonly cost: number;
	/** Whether it was sent to an engine. */
	readonly isServed: boolean;
	/** Whether it was refused, or its first event missed the latency target. */
	readonly wasDelayed: boolean;
}

/** An account with delayed requests in each second of a window, compared with the best served account. */
export interface FairnessWindow {
	readonly account: string;
	/** First second of the window. */
	readonly fromSecond: number;
	/** Cost of the requests that arrived, in cost units. */
	readonly requestedCost: number;
	/** Sum over the seconds of the smaller of this account's requested cost and the best served account's served cost. */
	readonly comparableCost: number;
	/** Cost of the requests that were served, in cost units. */
	readonly servedCost: number;
	/** Served cost relative to the comparable cost. */
	readonly ratio: number;
}

/** Length of the windows in which accounts are compared, in seconds. */
export const FAIRNESS_WINDOW_SECONDS = 6;

const SECOND_MS = 1_000;

interface SecondTotals {
	readonly requestedCost: number;
	readonly servedCost: number;
	readonly wasDelayed: boolean;
}

const EMPTY_TOTALS: SecondTotals = { requestedCost: 0, servedCost: 0, wasDelayed: false };

/** Sums up the requested and the served cost of accounts by second, to find those delayed while others were served. */
export class FairnessLedger {
	private readonly seconds = new Map<number, Map<string, SecondTotals>>();

	private constructor() {}

	/** @returns a ledger without requests */
	public static create(): FairnessLedger {
		return new FairnessLedger();
	}

	/** @param request request that arrived, with its outcome */
	public add({ account, at, cost, isServed, wasDelayed }: AccountRequest): void {
		const second = Math.floor(at / SECOND_MS);
		const accounts = this.seconds.get(second) ?? new Map<string, SecondTotals>();
		this.seconds.set(second, accounts);
		const previous = accounts.get(account) ?? EMPTY_TOTALS;
		accounts.set(account, {
			requestedCost: previous.requestedCost + cost,
			servedCost: previous.servedCost + (isServed ? cost : 0),
			wasDelayed: previous.wasDelayed || wasDelayed,
		});
	}

	/** @returns all windows in which an account had delayed requests in each second, lowest ratio first */
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
			const highestServedCost = Math.max(...[...accounts.values()].map((other) => other.servedCost));
			requestedCost += totals.requestedCost;
			comparableCost += Math.min(totals.requestedCost, highestServedCost);
			servedCost += totals.servedCost;
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
