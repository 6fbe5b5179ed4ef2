import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';

/** Decoded line of a router's log. */
export interface LogLine {
	readonly time: string;
	readonly router: string;
	readonly event: string;
	readonly id?: string;
	readonly server?: string;
	readonly [field: string]: unknown;
}

/**
 * Reads saved logs, which may hold other text as well.
 *
 * @param files with lines of any number of routers
 * @returns the lines of routers, file by file
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

// Saved logs may carry a prefix of whatever collected them before the JSON object.
function parseLine(text: string): LogLine | undefined {
	const start = text.indexOf('{"time"');
	if (start < 0) {
		return undefined;
	}
	try {
		return JSON.parse(text.slice(start)) as LogLine;
	} catch {
		return undefined; // The line was cut when the process ended.
	}
}
