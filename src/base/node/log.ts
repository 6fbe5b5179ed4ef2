import { createConsola, type ConsolaInstance } from 'consola';
import type { LogLevel } from '../common/logLevel.js';

export { LOG_LEVELS, type LogLevel } from '../common/logLevel.js';

const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 };

const root = createConsola({ level: CONSOLA_LEVELS.info, formatOptions: { date: true, colors: false } });
const loggers = new Map<string, ConsolaInstance>();

/**
 * Returns the logger of one component. All its lines have the component's name as prefix.
 *
 * @param component name of the component, such as `scheduler`
 * @returns the component's logger, the same one on each call
 */
export function getLogger(component: string): ConsolaInstance {
	let logger = loggers.get(component);
	if (logger === undefined) {
		logger = root.withTag(component);
		loggers.set(component, logger);
	}
	return logger;
}

/**
 * Sets the level of all loggers, including those created before.
 *
 * @param level lowest severity that is written
 */
export function setLogLevel(level: LogLevel): void {
	root.level = CONSOLA_LEVELS[level];
	for (const logger of loggers.values()) {
		logger.level = CONSOLA_LEVELS[level];
	}
}
