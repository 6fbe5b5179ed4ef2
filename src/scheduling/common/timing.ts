/** Changes that are not urgent are reported together after this time. */
export const LAZY_REPORT_MS = 40;

/** Interval at which the scheduler checks which entries' views have drifted; a check after each report costs more. */
export const SCHEDULER_TICK_MS = 10;

/** Interval at which the scheduler checks whether contention has ended. */
export const CONTENTION_CHECK_INTERVAL_MS = 50;
