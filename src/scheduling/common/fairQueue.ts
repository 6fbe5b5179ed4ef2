import { CostEstimate } from './costEstimate.js';

/** What an entry knows of one client account in one pool. */
export interface AccountState<T> {
	readonly key: number;
	readonly id: string;
	share: number;
	readonly queue: T[];
	/** Mean cost of the account's requests of all services. */
	readonly estimate: CostEstimate;
	/** Mean cost by service. */
	readonly serviceEstimates: Map<string, CostEstimate>;
	running: number;
	/** Charged service of this incarnation, in cost units. */
	charged: number;
	/** Virtual service without this entry's part, when the scheduler last sent it. */
	base: number;
	/** Virtual service above the floor, when the scheduler last sent it; undefined before that. */
	excess: number | undefined;
	/** The scheduler sent it since the account was last idle here; before that, it may be old. */
	hasCurrentExcess: boolean;
	/** Charged service when the floor was last heard, in cost units. */
	chargedAtLastFloor: number;
	/** Figures of the last report, to tell what is news. */
	reportedQueued: number;
	reportedCharged: number;
	reportedExpected: number;
	reportedRunning: boolean;
	/** Requests started since the last report; the scheduler still counts them as queued. */
	startedSinceReport: number;
}

/**
 * Queues of one pool at one entry: first come, first served within a client account, lowest virtual service first
 * between accounts.
 */
export class FairQueue<T> {
	private readonly states = new Map<number, AccountState<T>>();
	private readonly backlogged = new Set<AccountState<T>>();
	private readonly poolEstimate = CostEstimate.create();
	private queuedCount = 0;
	/** Lowest virtual service of any backlogged account, as the scheduler last sent it. */
	public floor = 0;

	private constructor() {}

	/** @returns an empty queue */
	public static create<T>(): FairQueue<T> {
		return new FairQueue<T>();
	}

	/** Number of queued requests of all accounts. */
	public get size(): number {
		return this.queuedCount;
	}

	/** @returns all accounts seen so far */
	public accounts(): IterableIterator<AccountState<T>> {
		return this.states.values();
	}

	/**
	 * @param key short key of the account
	 * @returns the account, or undefined when it has sent nothing yet
	 */
	public find(key: number): AccountState<T> | undefined {
		return this.states.get(key);
	}

	/**
	 * Returns the state of an account and creates it on first use.
	 *
	 * @param key short key of the account
	 * @param id identifier of the account
	 * @param share weight of the account
	 * @returns the state
	 */
	public account(key: number, id: string, share: number): AccountState<T> {
		let state = this.states.get(key);
		if (state === undefined) {
			state = {
				key,
				id,
				share,
				queue: [],
				estimate: CostEstimate.create(() => this.poolEstimate.value),
				serviceEstimates: new Map(),
				running: 0,
				charged: 0,
				base: 0,
				excess: undefined,
				hasCurrentExcess: false,
				chargedAtLastFloor: 0,
				reportedQueued: 0,
				reportedCharged: 0,
				reportedExpected: 0,
				reportedRunning: false,
				startedSinceReport: 0,
			};
			this.states.set(key, state);
		}
		state.share = share;
		return state;
	}

	/**
	 * @param state account of the request
	 * @param request what to queue
	 */
	public enqueue(state: AccountState<T>, request: T): void {
		if (state.queue.length === 0 && state.running === 0) {
			state.hasCurrentExcess = false;
		}
		if (state.queue.length === 0 && this.virtualServiceOf(state) < this.floor) {
			// Idle time earns no credit, and no backlogged account is below the floor.
			state.base += this.floor - this.virtualServiceOf(state);
		}
		state.queue.push(request);
		this.queuedCount++;
		this.backlogged.add(state);
	}

	/**
	 * Removes a request that is given up.
	 *
	 * @param state account of the request
	 * @param request the request
	 * @returns whether it was still queued
	 */
	public remove(state: AccountState<T>, request: T): boolean {
		const index = state.queue.indexOf(request);
		if (index < 0) {
			return false;
		}
		this.takeAt(state, index);
		return true;
	}

	/** @returns the backlogged account with the lowest virtual service */
	public lowestBacklogged(): AccountState<T> | undefined {
		let best: AccountState<T> | undefined;
		let bestService = Infinity;
		for (const state of this.backlogged) {
			const service = this.virtualServiceOf(state);
			if (service < bestService) {
				best = state;
				bestService = service;
			}
		}
		return best;
	}

	/**
	 * Takes the first request of an account.
	 *
	 * @param state a backlogged account
	 * @returns its oldest request
	 */
	public takeFirst(state: AccountState<T>): T | undefined {
		return this.takeAt(state, 0);
	}

	/**
	 * @param state account of a request
	 * @param service service of the request
	 * @returns mean cost of such requests; that of the account's other requests until one has ended
	 */
	public estimateOf(state: AccountState<T>, service: string): CostEstimate {
		let estimate = state.serviceEstimates.get(service);
		if (estimate === undefined) {
			estimate = CostEstimate.create(() => state.estimate.value);
			state.serviceEstimates.set(service, estimate);
		}
		return estimate;
	}

	/**
	 * Counts a finished request into the means.
	 *
	 * @param state account of the request
	 * @param service service of the request
	 * @param cost final cost, in cost units
	 */
	public observe(state: AccountState<T>, service: string, cost: number): void {
		this.estimateOf(state, service).observe(cost);
		state.estimate.observe(cost);
		this.poolEstimate.observe(cost);
	}

	/**
	 * Virtual service of an account as this entry knows it. Between two messages of the scheduler, it grows by the
	 * service of this entry, and at least with the floor, since that is what accounts with demand elsewhere do.
	 *
	 * @param state account at this entry
	 * @returns virtual service in cost units per share
	 */
	public virtualServiceOf(state: AccountState<T>): number {
		const own = state.base + state.charged / state.share;
		return state.excess === undefined ? own : Math.max(own, this.floor + state.excess);
	}

	/**
	 * Sets what the scheduler sent of an account.
	 *
	 * @param state account at this entry
	 * @param excess virtual service above the current floor
	 */
	public setExcess(state: AccountState<T>, excess: number): void {
		state.excess = excess;
		state.hasCurrentExcess = true;
		state.base = this.floor + excess - state.reportedCharged / state.share;
	}

	/**
	 * @param state account at this entry
	 * @returns virtual service above the floor when the floor was last heard; 0 when it is not known
	 */
	public excessAtLastFloor(state: AccountState<T>): number {
		if (!state.hasCurrentExcess) {
			return 0;
		}
		const own = state.base + state.chargedAtLastFloor / state.share - this.floor;
		return Math.max(0, own, state.excess ?? 0);
	}

	/** Notes how much service was charged when the floor was heard. */
	public recordFloor(): void {
		for (const state of this.states.values()) {
			state.chargedAtLastFloor = state.charged;
		}
	}

	/**
	 * Moves to the floor of another scheduler, whose virtual time differs, and keeps each account's distance from it.
	 *
	 * @param floor floor of the new scheduler
	 */
	public rebase(floor: number): void {
		for (const state of this.states.values()) {
			state.base += floor - this.floor;
		}
		this.floor = floor;
	}

	private takeAt(state: AccountState<T>, index: number): T | undefined {
		const [request] = state.queue.splice(index, 1);
		if (request === undefined) {
			return undefined;
		}
		this.queuedCount--;
		if (state.queue.length === 0) {
			this.backlogged.delete(state);
		}
		return request;
	}
}
