/** Routers of the standard fleet. */
export const ROUTER_COUNT = 8;

/**
 * Slots of the model engines, 60 in all. With a multiple of 16 slots, 16 equal accounts would each keep the same slots
 * for ever and the oracle's gap would be 0, which no system with delays can be compared with.
 */
export const ENGINE_SLOTS: readonly number[] = [8, 8, 8, 8, 7, 7, 7, 7];

/** Slots of the plain services. */
export const PLAIN_SLOTS: readonly number[] = [8, 8, 8, 8];

/**
 * Milliseconds per generated token. Real engines need 46 ms; a faster pace gives more requests per run, but below 20 ms
 * the processes of a run disturb each other on 10 cores.
 */
export const TOKEN_MS = 20;

/** One-way delay between routers of different failure domains, as at today's users. */
export const DELAY_MS = 0.5;

/** Time to process a report or an update on both sides, for the bound's `d`. */
export const PROCESSING_MS = 1.5;

/** Slack of the pools, in mean request costs. */
export const SLACK = 2;

/**
 * Reporting quantum as a fraction of the slack, for the bound's `q`. The scheduler uses 0.25 (poolScheduler.ts); the
 * smaller value gives a stricter bound and is kept.
 */
export const QUANTUM_FRACTION = 0.125;

/** Client accounts of a run. */
export const ACCOUNT_COUNT = 16;

/** Number of slots of all model engines. */
export const SLOT_COUNT = ENGINE_SLOTS.reduce((sum, slots) => sum + slots, 0);
