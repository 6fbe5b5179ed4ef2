import { FAIRNESS_WINDOW_SECONDS, FairnessLedger, type FairnessWindow } from '../../shares/common/fairnessLedger.js';
import { EXIT_FAILED, EXIT_OK, type CommandOutput } from './exitCodes.js';
import { type LogLine, readLogLines } from './logLines.js';

/** Maximum number of windows that are printed individually. */
const MAXIMUM_PRINTED_WINDOWS = 10;

/** Quantiles of the windows for which ratios are printed. */
const QUANTILES = [0, 0.05, 0.25, 0.5];

interface LoggedRequest {
	account: string;
	at: number;
	cost: number;
	isServed: boolean;
	isRefused: boolean;
	/** Latency target of the first event, in milliseconds after the arrival of the request. */
	aimMs: number;
	isLate: boolean;
}

/**
 * Compares the service of accounts that had refused or late requests in each second of a window with the best served
 * account.
 *
 * @param files log files of all routers
 * @param output receives the results
 * @returns the exit code; 1 when no line has the cost of a request
 * @throws Error when a file cannot be read
 */
export async function fairness(files: readonly string[], output: CommandOutput): Promise<number> {
	const requests = new Map<string, LoggedRequest>();
	let dropped = 0;
	for await (const line of readLogLines(files)) {
		recordLine(requests, line);
		dropped += line.event === 'log-lines-dropped' ? Number(line.lines) : 0;
	}
	if (dropped > 0) {
		output.printError(
			`masticloom: routers dropped ${dropped} log lines, so accounts may have received more service than shown`,
		);
	}
	if (requests.size === 0) {
		output.printError('masticloom: no line in these files has the account and cost of a request');
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
		windows.slice(0, MAXIMUM_PRINTED_WINDOWS).forEach((window) => output.print(formatWindow(window)));
	}
	return EXIT_OK;
}

/** A request that was handed over has lines of several routers; it counts as served if one of them placed it. */
function recordLine(requests: Map<string, LoggedRequest>, line: LogLine): void {
	const { id, account, cost } = line;
	if (id === undefined || id === '') {
		return;
	}
	const existing = requests.get(id);
	if (line.event === 'request-end') {
		if (existing !== undefined) {
			existing.isLate = typeof line.firstBytesMs !== 'number' || line.firstBytesMs > existing.aimMs;
		}
		return;
	}
	if (typeof account !== 'string' || typeof cost !== 'number' || cost === 0) {
		return;
	}
	const request = existing ?? newRequest(account, Date.parse(line.time), cost);
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
	return QUANTILES.map((quantile) => {
		const ratio = windows[Math.floor(quantile * windows.length)]?.ratio ?? 0;
		return `${quantile === 0 ? 'least' : `${quantile * 100} %`} ${ratio.toFixed(2)}`;
	}).join(', ');
}

function formatWindow({
	account,
	fromSecond,
	requestedCost: requested,
	comparableCost: comparable,
	servedCost: served,
	ratio,
}: FairnessWindow): string {
	const costs = [requested, comparable, served].map((cost) => Math.round(cost));
	return `from ${fromSecond} s ${account}: ${ratio.toFixed(2)}, asked ${costs[0]}, comparable ${costs[1]}, got ${costs[2]}`;
}
