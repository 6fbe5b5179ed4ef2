/** Changes that are not urgent are reported after this time, together. */
export const LAZY_REPORT_MS = 40;

/** The scheduler looks for entries whose view has drifted this often, since a look after each report costs more. */
export const SCHEDULER_TICK_MS = 10;

/** The scheduler looks for the end of contention this often. */
export const CONTENTION_CHECK_INTERVAL_MS = 50;
