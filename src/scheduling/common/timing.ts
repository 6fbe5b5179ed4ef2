/** Changes that are not urgent are reported after this time, together. */
export const LAZY_REPORT_MS = 20;

/** The scheduler looks for drifted floors and bases this often. */
export const SCHEDULER_TICK_MS = 20;

/** The scheduler looks for the end of contention this often. */
export const RELAX_INTERVAL_MS = 50;
