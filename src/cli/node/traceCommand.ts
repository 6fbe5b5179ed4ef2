import { EXIT_FAILED, EXIT_OK, type CommandOutput } from './exitCodes.js';
import { type LogLine, readLogLines } from './logLines.js';

/** Fields that are not repeated behind the time and the event. */
const LEADING_FIELDS = new Set(['time', 'router', 'event', 'id', 'lines']);

/** Events of what a router believes; those that concern the request's servers are shown with it. */
const SERVER_EVENTS = new Set(['server-changed']);

/**
 * Prints what routers decided on one request, in the order of time, from their saved logs, with the changes of the
 * servers that it met.
 *
 * @param id of the request
 * @param files with log lines of any number of routers, which may hold other text as well
 * @param output where the lines go
 * @returns the exit code; 1 when no line names the request
 * @throws Error when a file cannot be read
 */
export async function trace(id: string, files: readonly string[], output: CommandOutput): Promise<number> {
	const found: LogLine[] = [];
	const serverChanges: LogLine[] = [];
	for await (const line of readLogLines(files)) {
		if (line.id === id) {
			found.push(line);
		} else if (SERVER_EVENTS.has(line.event)) {
			serverChanges.push(line);
		}
	}
	if (found.length === 0) {
		output.printError(`masticloom: no line in these files names request ${id}`);
		return EXIT_FAILED;
	}
	const servers = new Set(found.flatMap(({ server }) => server ?? []));
	const routers = new Set(found.map(({ router }) => router));
	const related = serverChanges.filter(
		({ server, router }) => server !== undefined && servers.has(server) && routers.has(router),
	);
	[...found, ...related]
		.sort((one, other) => one.time.localeCompare(other.time))
		.forEach((line) => output.print(formatLine(line)));
	return EXIT_OK;
}

function formatLine(line: LogLine): string {
	const fields = Object.entries(line)
		.filter(([name, value]) => !LEADING_FIELDS.has(name) && value !== '')
		.map(([name, value]) => `${name}=${String(value)}`);
	return [line.time, line.router, line.event, ...fields].join(' ');
}
