/** Log levels accepted in the settings, from the least to the most verbose. */
export const LOG_LEVELS = ['error', 'warn', 'info', 'debug'] as const;

/** One of {@link LOG_LEVELS}. */
export type LogLevel = (typeof LOG_LEVELS)[number];
