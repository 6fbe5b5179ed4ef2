import { CostEstimate } from './costEstimate.js';

/** State of one client account in one pool at an entry. */
export interface AccountState<T> {
	readonly key: number;
	readonly id: string;
	share: number;
	readonly queue: T[];
	/** Mean cost of the account's requests to all services. */
	readonly estimate: CostEstimate;
	/** Mean cost of the account's requests by service. */
	readonly serviceEstimates: Map<string, CostEstimate>;
	/** Number of running requests. */
	running: number;
	/** Service charged by this incarnation, in cost units. */
	charged: number;
	/** Virtual service without the part charged by this entry, as last sent by the scheduler. */
	base: number;
	/** Virtual service above the floor, as last sent by the scheduler; undefined before that. */
	excess: number | undefined;
	/** Whether the scheduler has sent the excess since the account was last idle here; otherwise it may be outdated. */
	hasCurrentExcess: boolean;
	/** Charged service when the floor was last received, in cost units. */
	chargedAtLastFloor: number;
	/** Values in the last report, for detecting changes. */
	reportedQueued: number;
	reportedCharged: number;
	reportedExpected: number;
	reportedRunning: boolean;
	/** Requests started since the last report; the scheduler still counts them as queued. */
	startedSinceReport: number;
}

/**
 * Queues of one pool at one entry: first come, first served within a client account, and lowest virtual service first
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

	/** @returns all accounts that have sent a request to this entry */
	public accounts(): IterableIterator<AccountState<T>> {
		return this.states.values();
	}

	/**
	 * @param key short key of the account
	 * @returns the account, or undefined when it has sent no request yet
	 */
	public find(key: number): AccountState<T> | undefined {
		return this.states.get(key);
	}

	/**
	 * Returns the state of an account and creates it on first use.
	 *
	 * @param key short key of the account
	 * @param id identifier of the account
	 * @param share weight of the account in the pool
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
	 * @param request request to queue
	 */
	public enqueue(state: AccountState<T>, request: T): void {
		if (state.queue.length === 0 && state.running === 0) {
			state.hasCurrentExcess = false;
		}
		if (state.queue.length === 0 && this.virtualServiceOf(state) < this.floor) {
			// Idle time earns no credit: no backlogged account is below the floor.
			state.base += this.floor - this.virtualServiceOf(state);
		}
		state.queue.push(request);
		this.queuedCount++;
		this.backlogged.add(state);
	}

	/**
	 * Removes a request that is cancelled.
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
		this.removeAt(state, index);
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
	 * Removes the first request of an account from its queue.
	 *
	 * @param state a backlogged account
	 * @returns its oldest request
	 */
	public takeFirst(state: AccountState<T>): T | undefined {
		return this.removeAt(state, 0);
	}

	/**
	 * @param state account of a request
	 * @param service service of the request
	 * @returns mean cost of the account's requests to the service; that of all its requests until one of them has ended
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
	 * Adds the cost of a finished request to the mean costs.
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
	 * Computes this entry's view of an account's virtual service. Between two updates of the scheduler, the view grows by
	 * the service charged at this entry. It rises at least as much as the floor, as the virtual service of accounts with
	 * demand at other entries does.
	 *
	 * @param state account at this entry
	 * @returns virtual service in cost units per share
	 */
	public virtualServiceOf(state: AccountState<T>): number {
		const ownService = state.base + state.charged / state.share;
		return state.excess === undefined ? ownService : Math.max(ownService, this.floor + state.excess);
	}

	/**
	 * Applies the virtual service that the scheduler sent for an account.
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
	 * @returns virtual service above the floor when the floor was last received; 0 when unknown
	 */
	public excessAtLastFloor(state: AccountState<T>): number {
		if (!state.hasCurrentExcess) {
			return 0;
		}
		const ownExcess = state.base + state.chargedAtLastFloor / state.share - this.floor;
		return Math.max(0, ownExcess, state.excess ?? 0);
	}

	/** Records the service that each account was charged when the floor was received. */
	public recordFloor(): void {
		for (const state of this.states.values()) {
			state.chargedAtLastFloor = state.charged;
		}
	}

	/**
	 * Moves to the floor of another scheduler, whose virtual time differs, and keeps each account's excess above it.
	 *
	 * @param floor floor of the new scheduler
	 */
	public rebase(floor: number): void {
		for (const state of this.states.values()) {
			state.base += floor - this.floor;
		}
		this.floor = floor;
	}

	private removeAt(state: AccountState<T>, index: number): T | undefined {
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
