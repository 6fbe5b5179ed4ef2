/** Number of routers of the standard fleet. */
export const ROUTER_COUNT = 8;

/**
 * Slots of each model engine, 60 in total. The total must not be a multiple of the 16 accounts: accounts of equal share
 * would then keep the same slots all the time, and the gap of the oracle would be 0, which is no usable reference for a
 * system with delays.
 */
export const ENGINE_SLOTS: readonly number[] = [8, 8, 8, 8, 7, 7, 7, 7];

/** Slots of each plain service. */
export const PLAIN_SLOTS: readonly number[] = [8, 8, 8, 8];

/**
 * Milliseconds per generated token. Real engines take 46 ms; a shorter time gives more requests per run, but below 20 ms
 * the processes of a run compete for CPU time on 10 cores.
 */
export const TOKEN_MS = 20;

/** One-way delay between routers in milliseconds, as between failure domains of current deployments. */
export const DELAY_MS = 0.5;

/** Time to process a report or an update at sender and receiver, in milliseconds; part of `d` of the gap bound. */
export const PROCESSING_MS = 1.5;

/** Slack of the pools, in mean request costs. */
export const SLACK = 2;

/**
 * Reporting quantum as a fraction of the slack, for `q` of the gap bound. The scheduler uses 0.25 (poolScheduler.ts); the
 * smaller value here makes the bound stricter.
 */
export const QUANTUM_FRACTION = 0.125;

/** Number of client accounts of a run. */
export const ACCOUNT_COUNT = 16;

/** Total number of slots of the model engines. */
export const SLOT_COUNT = ENGINE_SLOTS.reduce((sum, slots) => sum + slots, 0);
