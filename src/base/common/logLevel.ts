/** Levels that the settings accept, from the least to the most output. */
export const LOG_LEVELS = ['error', 'warn', 'info', 'debug'] as const;

/** One of {@link LOG_LEVELS}. */
export type LogLevel = (typeof LOG_LEVELS)[number];
