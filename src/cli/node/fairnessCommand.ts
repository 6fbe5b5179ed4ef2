import { FAIRNESS_WINDOW_SECONDS, FairnessLedger, type FairnessWindow } from '../../shares/common/fairnessLedger.js';
import { EXIT_FAILED, EXIT_OK, type CommandOutput } from './exitCodes.js';
import { type LogLine, readLogLines } from './logLines.js';

/** Windows that are printed one by one. */
const PRINTED_WINDOWS = 10;

/** Parts of the windows up to which ratios are printed. */
const QUANTILES = [0, 0.05, 0.25, 0.5];

interface LoggedRequest {
	account: string;
	at: number;
	cost: number;
	isServed: boolean;
	isRefused: boolean;
	/** Milliseconds after its arrival at which the first event is late. */
	aimMs: number;
	isLate: boolean;
}

/**
 * Prints how accounts that were refused or late in each second of a window compare with the best served account.
 *
 * @param files with log lines of all routers
 * @param output where the figures go
 * @returns the exit code; 1 when no line tells what a request costs
 * @throws Error when a file cannot be read
 */
export async function fairness(files: readonly string[], output: CommandOutput): Promise<number> {
	const requests = new Map<string, LoggedRequest>();
	let dropped = 0;
	for await (const line of readLogLines(files)) {
		noteLine(requests, line);
		dropped += line.event === 'log-lines-dropped' ? Number(line.lines) : 0;
	}
	if (dropped > 0) {
		output.printError(`masticloom: routers dropped ${dropped} log lines, so accounts may have got more than is shown`);
	}
	if (requests.size === 0) {
		output.printError('masticloom: no line in these files tells the account and cost of a request');
		return EXIT_FAILED;
	}
	const start = Math.min(...[...requests.values()].map(({ at }) => at));
	const ledger = FairnessLedger.create();
	for (const { account, at, cost, isServed, isRefused, isLate } of requests.values()) {
		ledger.add({ account, at: at - start, cost, isServed, wasDelayed: isServed ? isLate : isRefused });
	}
	const windows = ledger.windows();
	output.print(
		`${requests.size} requests; windows of ${FAIRNESS_WINDOW_SECONDS} s with an account that waited: ${windows.length}`,
	);
	if (windows.length > 0) {
		output.print(`part of what is comparable that these accounts got: ${formatQuantiles(windows)}`);
		windows.slice(0, PRINTED_WINDOWS).forEach((window) => output.print(formatWindow(window)));
	}
	return EXIT_OK;
}

/** A request that was passed on has lines of several routers; it is served when one of them placed it. */
function noteLine(requests: Map<string, LoggedRequest>, line: LogLine): void {
	const { id, account, cost } = line;
	if (id === undefined || id === '') {
		return;
	}
	const known = requests.get(id);
	if (line.event === 'request-end') {
		if (known !== undefined) {
			known.isLate = typeof line.firstBytesMs !== 'number' || line.firstBytesMs > known.aimMs;
		}
		return;
	}
	if (typeof account !== 'string' || typeof cost !== 'number' || cost === 0) {
		return;
	}
	const request = known ?? newRequest(account, Date.parse(line.time), cost);
	requests.set(id, request);
	if (line.event === 'admission' && line.outcome === 'placed') {
		request.isServed = true;
		request.aimMs = Number(line.aimLeftMs) + Number(line.elapsedMs);
	} else if (line.event === 'admission' || line.event === 'refused') {
		request.isRefused = true;
	}
}

function newRequest(account: string, at: number, cost: number): LoggedRequest {
	return { account, at, cost, isServed: false, isRefused: false, aimMs: Infinity, isLate: false };
}

function formatQuantiles(windows: readonly FairnessWindow[]): string {
	return QUANTILES.map((part) => {
		const ratio = windows[Math.floor(part * windows.length)]?.ratio ?? 0;
		return `${part === 0 ? 'least' : `${part * 100} %`} ${ratio.toFixed(2)}`;
	}).join(', ');
}

function formatWindow({
	account,
	fromSecond,
	requestedCost: asked,
	comparableCost: comparable,
	servedCost: got,
	ratio,
}: FairnessWindow): string {
	const figures = [asked, comparable, got].map((figure) => Math.round(figure));
	return `from ${fromSecond} s ${account}: ${ratio.toFixed(2)}, asked ${figures[0]}, comparable ${figures[1]}, got ${figures[2]}`;
}
