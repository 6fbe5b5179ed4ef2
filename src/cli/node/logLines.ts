import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';

/** Decoded log line of a router. */
export interface LogLine {
	readonly time: string;
	readonly router: string;
	readonly event: string;
	readonly id?: string;
	readonly server?: string;
	readonly [field: string]: unknown;
}

/**
 * Reads saved logs, which may also contain other text.
 *
 * @param files log files of any number of routers
 * @returns the log lines of routers, file by file
 * @throws Error when a file cannot be read
 */
export async function* readLogLines(files: readonly string[]): AsyncGenerator<LogLine> {
	for (const file of files) {
		for await (const text of createInterface({ input: createReadStream(file) })) {
			const line = parseLine(text);
			if (line !== undefined) {
				yield line;
			}
		}
	}
}

// A log collector may have added a prefix before the JSON object.
function parseLine(text: string): LogLine | undefined {
	const start = text.indexOf('{"time"');
	if (start < 0) {
		return undefined;
	}
	try {
		return JSON.parse(text.slice(start)) as LogLine;
	} catch {
		return undefined; // The line was truncated when the process ended.
	}
}
