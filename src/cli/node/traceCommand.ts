import { EXIT_FAILED, EXIT_OK, type CommandOutput } from './exitCodes.js';
import { type LogLine, readLogLines } from './logLines.js';

/** Fields that are omitted from the list after time, router and event. */
const LEADING_FIELDS = new Set(['time', 'router', 'event', 'id', 'lines']);

/** Events of a router's view of its servers. Those of the request's servers are printed with the request. */
const SERVER_EVENTS = new Set(['server-changed']);

/**
 * Prints the decisions of routers on one request from their saved logs, in chronological order, with the changes of the
 * servers that it was sent to.
 *
 * @param id identifier of the request
 * @param files log files of any number of routers, which may also contain other text
 * @param output receives the lines
 * @returns the exit code; 1 when no line has the request's identifier
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
