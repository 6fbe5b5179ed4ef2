import type { Fleet, RouterProcess } from '../fleet/fleet.js';
import type { CostRange, RequestSource } from '../load/workload.js';

/** What a fault may use while the load runs. */
export interface FaultContext {
	readonly fleet: Fleet;
	/** @returns the router that is scheduler of the pool of model engines now */
	readonly scheduler: () => Promise<RouterProcess>;
	/** Ends a phase of the gap now; intervals begin anew. */
	readonly endPhase: () => void;
	/** Allows broken answers at callers of this router, which holds their connections. */
	readonly exemptRouter: (router: RouterProcess) => void;
	/** Adds a line to the printed results. */
	readonly addNote: (line: string) => void;
	/** Adds a broken bound. */
	readonly addFailure: (reason: string) => void;
}

/** Something that is done to the fleet while the load runs. */
export interface Fault {
	/** Milliseconds from the start of the load. */
	readonly atMs: number;
	readonly run: (context: FaultContext) => Promise<void>;
}

/** One measured run: a load over the standard fleet, with faults. */
export interface Scenario {
	readonly name: string;
	readonly purpose: string;
	readonly durationMs: number;
	readonly costs: CostRange;
	readonly shares: readonly number[];
	readonly sources: readonly RequestSource[];
	readonly faults: readonly Fault[];
	/** Accounts that send more than they are entitled to; refusals of the others break a bound. */
	readonly overloadingAccounts: readonly number[];
	/** Broken answers on all routers are allowed, since backend servers are crashed. */
	readonly allowsBrokenResponses: boolean;
	/** The gap holds in all phases, or only after the last fault, or is only printed. */
	readonly gapCheck: 'always' | 'last-phase' | 'printed';
	/** Least sum of the shares of accounts that are backlogged at once, for the bound; all when absent. */
	readonly backloggedShares?: number;
	/** Slack of the pools, in mean request costs. */
	readonly slack: number;
}
