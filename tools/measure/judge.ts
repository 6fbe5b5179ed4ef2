import { build as buildHistogram } from 'hdr-histogram-js';
import type { RequestRecord } from '../load/load.js';
import { meanCost } from '../load/workload.js';
import { analyse, type Analysis } from './analysis.js';
import { computeNaive, computeOracle, type BaselineResult } from './baselines.js';
import { DELAY_MS, PROCESSING_MS, QUANTUM_FRACTION, ROUTER_COUNT, SLOT_COUNT, TOKEN_MS } from './fleetShape.js';
import { computeGapBound } from './gap.js';
import { percentile, round, type ScenarioOutcome } from './results.js';
import type { RunRecord } from './run.js';
import type { Scenario } from './scenario.js';

// Routers open connections and estimate mean costs in the first second, so slots are measured after it.
const WARM_UP_MS = 1_000;
// Cost estimates are inaccurate at first; the gap after this time excludes their effect.
const SETTLE_MS = 3_000;
const RATE_PER_MS = SLOT_COUNT / TOKEN_MS;
const GAP_TARGET_FACTOR = 1.25;
const UTILISATION_TARGET = 0.99;
const IDLE_TARGET_MS = 5;
// A refusal needs no slot, so only the event loop lag of the router delays it.
const MAXIMUM_REFUSAL_MS = 100;

/**
 * Computes the metrics of a run and compares them with the bounds.
 *
 * @param scenario the scenario that was run
 * @param seed seed of the run
 * @param run recorded data of the run
 * @returns metrics, lines to print and violated bounds
 */
export function evaluateRun(scenario: Scenario, seed: number, run: RunRecord): ScenarioOutcome {
	const times = { fromMs: run.load.startMs + WARM_UP_MS, untilMs: run.load.endMs };
	const analysisOptions = { shares: scenario.shares, slots: run.engineSlots, ...times };
	const analysis = analyse(run.load, run.ledgers, { ...analysisOptions, phasesMs: run.phasesMs });
	const settledMs = run.load.startMs + SETTLE_MS;
	const settledGap = analyse(run.load, run.ledgers, { ...analysisOptions, phasesMs: [settledMs] }).gaps[1] ?? 0;
	const baselineOptions = { ...scenario, seed, slots: SLOT_COUNT, routers: ROUTER_COUNT, ratePerMs: 1 / TOKEN_MS };
	const oracle = computeOracle(baselineOptions);
	const naive = computeNaive(baselineOptions);
	const bound = computeScenarioBound(scenario);
	const calls = countCalls(scenario, run);
	const gap = scenario.gapCheck === 'last-phase' ? (analysis.gaps.at(-1) ?? 0) : Math.max(...analysis.gaps);
	const broken = [...run.failures, ...calls.broken, ...findStarvation(scenario, analysis, bound)];
	if (scenario.gapCheck !== 'printed' && gap > bound) {
		broken.push(`gap ${round(gap)} exceeds the bound ${round(bound)}`);
	}
	const { usage } = run;
	const controlBytes = (2 * usage.peerBytes + usage.storeBytes) / ROUTER_COUNT / usage.seconds;
	return {
		lines: [
			...run.notes,
			...describeFairness(scenario, analysis, { oracle, naive, bound }),
			`gap without the first ${SETTLE_MS / 1000} s: ${round(settledGap)}`,
			...describeSlots(analysis),
			...describeRouters(run),
			...describeUsage(run),
			...calls.lines,
		],
		broken,
		results: {
			...{ scenario: scenario.name, seed, gap: round(gap), gap_bound: round(bound) },
			...{ gap_naive: round(naive.gap), gap_oracle: round(oracle.gap) },
			utilisation: round(analysis.utilisation, 4),
			utilisation_naive: round(naive.utilisation, 4),
			idle_while_waiting_ms: round(analysis.idleMs.at(-1) ?? 0),
			control_bytes_per_node_s: Math.round(controlBytes),
			store_calls_s: round(usage.storeCalls / usage.seconds, 2),
			requests: run.load.requests.length,
			...{ false_not_run: calls.falseNotRun, wrong_or_cut_answers: calls.wrong, lost: calls.lost },
		},
	};
}

/**
 * Evaluates the bound of design section 4.6 for a scenario.
 *
 * @param scenario the scenario
 * @returns the bound in cost units per share
 */
export function computeScenarioBound(scenario: Scenario): number {
	const { slack, backloggedShares } = scenario;
	const mean = meanCost(scenario.costs);
	const totalShare = scenario.shares.reduce((sum, share) => sum + share, 0);
	return computeGapBound({
		...{
			shares: scenario.shares,
			backloggedShares,
			slots: SLOT_COUNT,
			entries: ROUTER_COUNT,
			ratePerMs: RATE_PER_MS,
			slack,
		},
		...{ meanCost: mean, largestCost: scenario.costs.largest, delayMs: DELAY_MS + PROCESSING_MS },
		quantum: (QUANTUM_FRACTION * Math.max(slack, 0.5) * mean * scenario.shares.length) / totalShare,
	});
}

/**
 * Lists the accounts that were starved. While an account is backlogged without service, the others receive R per
 * millisecond, so one of them exceeds the gap bound after at most bound·Σw/R (R: service rate, w: shares).
 */
function findStarvation(scenario: Scenario, analysis: Analysis, bound: number): readonly string[] {
	const totalShare = scenario.shares.reduce((sum, share) => sum + share, 0);
	const limitMs = (bound * totalShare) / RATE_PER_MS;
	return analysis.maximumServiceGapMs.flatMap((longestMs, account) =>
		longestMs > limitMs
			? [`account ${account + 1} was backlogged for ${Math.round(longestMs)} ms without service`]
			: [],
	);
}

interface Baselines {
	readonly oracle: BaselineResult;
	readonly naive: BaselineResult;
	readonly bound: number;
}

function describeFairness(scenario: Scenario, analysis: Analysis, baselines: Baselines): readonly string[] {
	const { oracle, naive, bound } = baselines;
	const mean = meanCost(scenario.costs);
	const formatGap = (gap: number): string => `${round(gap)} (${round(gap / mean)} mean costs)`;
	const pair = analysis.worstPair?.map((account) => account + 1).join(' and ') ?? 'none';
	const targetGap = oracle.gap * GAP_TARGET_FACTOR;
	const servicePerShare = analysis.service.map((service, account) =>
		Math.round(service / (scenario.shares[account] ?? 1)),
	);
	return [
		`gap by phase: ${analysis.gaps.map(formatGap).join(', ')}; last worst pair: accounts ${pair}`,
		`gap of oracle ${formatGap(oracle.gap)}, of naive ${formatGap(naive.gap)}; bound ${formatGap(bound)}`,
		`target ${round(targetGap)}: ${Math.max(...analysis.gaps) <= targetGap ? 'met' : 'missed'}`,
		`service per share: ${servicePerShare.join(' ')}`,
		`longest time without service while backlogged: ${Math.round(Math.max(...analysis.maximumServiceGapMs))} ms`,
	];
}

function describeSlots(analysis: Analysis): readonly string[] {
	const { idleMs, utilisation } = analysis;
	const parts = [50, 99, 99.9, 100].map((percent) => `p${percent} ${round(percentile(idleMs, percent), 2)} ms`);
	const exceeding = idleMs.filter((time) => time > IDLE_TARGET_MS).length;
	return [
		`utilisation while work waits: ${round(100 * utilisation, 2)} %, target 99 %: ${
			utilisation >= UTILISATION_TARGET ? 'met' : 'missed'
		}`,
		`slot free while work waits: ${parts.join(', ')}; ${exceeding} of ${idleMs.length} beyond ${IDLE_TARGET_MS} ms`,
	];
}

function describeRouters(run: RunRecord): readonly string[] {
	const routers = Array.from({ length: ROUTER_COUNT }, (_, router) =>
		run.load.requests.filter((request) => request.router === router && request.outcome?.result === 'whole'),
	);
	const waits = routers.map((requests) => {
		const waitMs = requests.map(({ firstTokenMs, sentMs }) => (firstTokenMs ?? sentMs) - sentMs);
		return (
			percentile(
				waitMs.sort((one, other) => one - other),
				95,
			) / 1000
		).toFixed(1);
	});
	return [
		`whole answers by router: ${routers.map((requests) => requests.length).join(' ')}`,
		`p95 of time to first token by router, in s: ${waits.join(' ')}`,
		`scheduler term after the load: ${run.term}`,
	];
}

function describeUsage(run: RunRecord): readonly string[] {
	const { usage, load } = run;
	const perNode = usage.peerBytes / usage.seconds / ROUTER_COUNT;
	const completed = load.requests.filter((request) => request.outcome?.result === 'whole').length;
	const cpu =
		usage.cpuSeconds === undefined
			? []
			: [
					`router CPU, callers' traffic included: ${round((100 * usage.cpuSeconds) / usage.seconds / ROUTER_COUNT)} % ` +
						`of a core each, ${round((1000 * usage.cpuSeconds) / completed, 2)} ms per completed request`,
				];
	return [
		`peer traffic: ${Math.round(perNode)} bytes sent per node and second, ` +
			`${Math.round(usage.peerBytes / completed)} bytes per completed request`,
		`store: ${usage.storeCalls} calls, ${usage.storeBytes} bytes of bodies in ${round(usage.seconds)} s`,
		...cpu,
	];
}

interface CallCounts {
	readonly falseNotRun: number;
	readonly wrong: number;
	readonly lost: number;
	readonly lines: readonly string[];
	readonly broken: readonly string[];
}

function countCalls(scenario: Scenario, run: RunRecord): CallCounts {
	const started = new Set(run.ledgers.map((entry) => entry.requestId));
	const { requests } = run.load;
	const isExempt = (request: RequestRecord): boolean =>
		scenario.allowsBrokenResponses || run.exemptRouters.has(request.router);
	const brokenResponses = requests.filter(({ outcome }) => outcome?.result === 'broken' && outcome.status !== 0);
	const wrong = requests.filter(({ outcome }) => outcome?.result === 'wrong');
	const unexpectedBroken = brokenResponses.filter((request) => !isExempt(request));
	const falseNotRun = requests.filter(({ id, outcome }) => outcome?.verdict === 'not-run' && started.has(id)).length;
	const lost = requests.filter(({ outcome }) => outcome === undefined).length;
	const refusedWithinShare = requests.filter(
		({ account, outcome }) => outcome?.status === 429 && !scenario.overloadingAccounts.includes(account),
	).length;
	const refusals = requests.filter(({ outcome }) => outcome?.status === 429);
	const refusalMs = refusals.map(({ sentMs, endMs }) => (endMs ?? Infinity) - sentMs).sort((one, other) => one - other);
	const bounds: readonly (readonly [boolean, string])[] = [
		[falseNotRun > 0, `${falseNotRun} requests were reported as not run, but were started`],
		[wrong.length > 0, `${wrong.length} wrong answers, the first: ${wrong[0]?.outcome?.detail ?? ''}`],
		[unexpectedBroken.length > 0, `${unexpectedBroken.length} answers were cut although their router had no fault`],
		[lost > 0, `${lost} requests had no outcome: no answer and no broken connection`],
		[
			scenario.overloadingAccounts.length > 0 && refusedWithinShare > 0,
			`${refusedWithinShare} requests of accounts within their share were refused`,
		],
		[
			scenario.overloadingAccounts.length > 0 && percentile(refusalMs, 99) > MAXIMUM_REFUSAL_MS,
			`p99 of refusals is ${round(percentile(refusalMs, 99))} ms`,
		],
	];
	return {
		...{ falseNotRun, lost, wrong: wrong.length + unexpectedBroken.length },
		lines: [
			`outcomes: ${describeOutcomes(requests)}`,
			...describeLatencies(scenario, requests),
			...(refusals.length === 0
				? []
				: [`refusals: p50 ${round(percentile(refusalMs, 50))} ms, p99 ${round(percentile(refusalMs, 99))} ms`]),
		],
		broken: bounds.flatMap(([isBroken, reason]) => (isBroken ? [reason] : [])),
	};
}

function describeOutcomes(requests: readonly RequestRecord[]): string {
	const counts = new Map<string, number>();
	for (const { outcome } of requests) {
		const key = outcome === undefined ? 'lost' : `${outcome.result} ${outcome.status} ${outcome.verdict ?? ''}`.trim();
		counts.set(key, (counts.get(key) ?? 0) + 1);
	}
	return [...counts].map(([key, count]) => `${count} ${key}`).join(', ');
}

function describeLatencies(scenario: Scenario, requests: readonly RequestRecord[]): readonly string[] {
	const groups: readonly (readonly [string, (account: number) => boolean])[] =
		scenario.overloadingAccounts.length === 0
			? [['all accounts', () => true]]
			: [
					['overloading accounts', (account) => scenario.overloadingAccounts.includes(account)],
					['other accounts', (account) => !scenario.overloadingAccounts.includes(account)],
				];
	return groups.map(([label, isMember]) => {
		const histogram = buildHistogram();
		for (const { account, firstTokenMs, sentMs } of requests) {
			if (firstTokenMs !== undefined && isMember(account)) {
				histogram.recordValue(Math.round(firstTokenMs - sentMs));
			}
		}
		const parts = [50, 95, 99].map((percent) => `p${percent} ${histogram.getValueAtPercentile(percent)} ms`);
		return `time to first token, ${label}: ${parts.join(', ')}`;
	});
}
