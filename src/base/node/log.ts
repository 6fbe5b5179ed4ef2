import { createConsola, type ConsolaInstance } from 'consola';
import type { LogLevel } from '../common/logLevel.js';

export { LOG_LEVELS, type LogLevel } from '../common/logLevel.js';

const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 };

const root = createConsola({ level: CONSOLA_LEVELS.info, formatOptions: { date: true, colors: false } });
const parts = new Map<string, ConsolaInstance>();

/**
 * Returns the log of one part of the program. All its lines carry the part's name as prefix.
 *
 * @param part name of the part, such as `scheduler`
 * @returns the part's log, the same one on each call
 */
export function getLogger(part: string): ConsolaInstance {
	let log = parts.get(part);
	if (log === undefined) {
		log = root.withTag(part);
		parts.set(part, log);
	}
	return log;
}

/**
 * Sets the level of all logs, also of those created before.
 *
 * @param level lowest severity that is written
 */
export function setLogLevel(level: LogLevel): void {
	root.level = CONSOLA_LEVELS[level];
	for (const log of parts.values()) {
		log.level = CONSOLA_LEVELS[level];
	}
}
