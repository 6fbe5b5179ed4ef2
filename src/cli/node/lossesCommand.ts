import { type LoggedRequest, LossLedger, type LossGroup } from '../common/lossLedger.js';
import { EXIT_FAILED, EXIT_OK, type CommandOutput } from './exitCodes.js';
import { type LogLine, readLogLines } from './logLines.js';

const SECOND_MS = 1_000;

/** What requests can be grouped by. */
export const LOSS_GROUPS = ['all', 'route', 'account', 'second'] as const;

/** One of {@link LOSS_GROUPS}. */
export type LossGrouping = (typeof LOSS_GROUPS)[number];

/**
 * Prints what became of all requests in the logs of routers: served in time, late, refused or broken, and why.
 *
 * @param files log files of all routers
 * @param grouping what the requests are grouped by
 * @param output receives the results
 * @returns the exit code; 1 when no line has a request
 * @throws Error when a file cannot be read
 */
export async function losses(files: readonly string[], grouping: LossGrouping, output: CommandOutput): Promise<number> {
	const requests = new Map<string, LoggedRequest>();
	for await (const line of readLogLines(files)) {
		recordLine(requests, line);
	}
	if (requests.size === 0) {
		output.printError('masticloom: no line in these files has a request');
		return EXIT_FAILED;
	}
	const known = [...requests.values()];
	const start = known.reduce((earliest, { at }) => Math.min(earliest, at), Infinity);
	const groups = LossLedger.create(known).groupBy((request) => nameOfGroup(request, grouping, start));
	output.print(`${known.length} requests`);
	[...groups].sort((one, other) => compareNames(one.name, other.name)).forEach((group) => printGroup(group, output));
	return EXIT_OK;
}

function nameOfGroup({ route, account, at }: LoggedRequest, grouping: LossGrouping, start: number): string {
	switch (grouping) {
		case 'all':
			return 'all requests';
		case 'route':
			return route;
		case 'account':
			return account;
		case 'second':
			return String(Math.floor((at - start) / SECOND_MS));
	}
}

function compareNames(one: string, other: string): number {
	return Number(one) - Number(other) || one.localeCompare(other);
}

function printGroup({ name, counts }: LossGroup, output: CommandOutput): void {
	const total = counts.reduce((sum, { requests }) => sum + requests, 0);
	const parts = counts.map(({ fate, requests, cost }) => `${fate} ${requests} (cost ${Math.round(cost)})`);
	output.print(`${name === '' ? '(unknown)' : name}: ${total}; ${parts.join(', ')}`);
}

/** A request that was handed over has lines of several routers; a placement replaces a refusal. */
function recordLine(requests: Map<string, LoggedRequest>, line: LogLine): void {
	const { id } = line;
	if (id === undefined || id === '') {
		return;
	}
	const existing = requests.get(id);
	if (line.event === 'request-end') {
		if (existing !== undefined) {
			requests.set(id, {
				...existing,
				status: numberOf(line.status),
				endReason: textOf(line.reason),
				firstBytesMs: numberOf(line.firstBytesMs),
			});
		}
		return;
	}
	if (line.event !== 'admission' && line.event !== 'refused') {
		return;
	}
	const outcome = textOf(line.outcome);
	const refusal = line.event === 'refused' ? textOf(line.reason) : outcome === 'placed' ? undefined : outcome;
	if (existing !== undefined && refusal !== undefined) {
		return;
	}
	const waitMs = numberOf(line.waitMs);
	const elapsedMs = numberOf(line.elapsedMs) ?? 0;
	const aimLeftMs = numberOf(line.aimLeftMs);
	requests.set(id, {
		id,
		account: textOf(line.account),
		route: textOf(line.route),
		service: textOf(line.service),
		at: Date.parse(line.time),
		cost: numberOf(line.cost) ?? 0,
		refusal,
		predictedMs: waitMs === undefined ? undefined : elapsedMs + waitMs + (numberOf(line.readMs) ?? 0),
		limitMs: numberOf(line.limitMs),
		waitMs,
		aimMs: aimLeftMs === undefined ? undefined : aimLeftMs + elapsedMs,
		firstBytesMs: undefined,
		status: undefined,
		endReason: '',
	});
}

function numberOf(value: unknown): number | undefined {
	return typeof value === 'number' ? value : undefined;
}

function textOf(value: unknown): string {
	return typeof value === 'string' ? value : '';
}
