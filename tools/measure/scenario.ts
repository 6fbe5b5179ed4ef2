import type { Fleet, RouterProcess } from '../fleet/fleet.js';
import type { CostRange, RequestSource } from '../load/workload.js';

/** Functions and objects that a fault uses while the load runs. */
export interface FaultContext {
	readonly fleet: Fleet;
	/** @returns the current scheduler of the pool of model engines */
	readonly scheduler: () => Promise<RouterProcess>;
	/** Ends the current phase of the gap; the intervals of the gap start anew. */
	readonly endPhase: () => void;
	/** Permits broken responses at the callers of a router, because a fault breaks their connections. */
	readonly exemptRouter: (router: RouterProcess) => void;
	/** Adds a line to the printed output. */
	readonly addNote: (line: string) => void;
	/** Adds a violated bound. */
	readonly addFailure: (reason: string) => void;
}

/** A fault that is injected into the fleet while the load runs. */
export interface Fault {
	/** When the fault is injected, in milliseconds from the start of the load. */
	readonly atMs: number;
	readonly run: (context: FaultContext) => Promise<void>;
}

/** A load on the standard fleet, with faults. */
export interface Scenario {
	readonly name: string;
	readonly purpose: string;
	readonly durationMs: number;
	readonly costs: CostRange;
	readonly shares: readonly number[];
	readonly sources: readonly RequestSource[];
	readonly faults: readonly Fault[];
	/** Accounts that send more than their share; a refused request of any other account violates a bound. */
	readonly overloadingAccounts: readonly number[];
	/** Whether broken responses are permitted at all routers, because a fault crashes a backend server. */
	readonly allowsBrokenResponses: boolean;
	/** Whether the gap must stay within its bound in all phases or only in the last one, or is printed without a check. */
	readonly gapCheck: 'always' | 'last-phase' | 'printed';
	/** Minimum sum of the shares of the accounts that are backlogged at the same time; all shares when absent. */
	readonly backloggedShares?: number;
	/** Slack of the pools, in mean request costs. */
	readonly slack: number;
}
