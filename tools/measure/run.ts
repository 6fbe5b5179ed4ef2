import { DRAFTS_PATH, MODEL_POOL, createTestAccounts, createTestConfiguration } from '../fleet/configuration.js';
import { Fleet, type RouterProcess } from '../fleet/fleet.js';
import { callJson } from '../fleet/httpJson.js';
import { sleep } from '../fleet/processes.js';
import { readCpuSeconds } from '../fleet/processStatistics.js';
import { epochNow, LoadGenerator, type LoadRecord } from '../load/load.js';
import type { LedgerSpans } from './analysis.js';
import { DELAY_MS, ENGINE_SLOTS, PLAIN_SLOTS, ROUTER_COUNT, SLACK, TOKEN_MS } from './fleetShape.js';
import { evaluateRun } from './judge.js';
import type { ScenarioOutcome } from './results.js';
import type { FaultContext, Scenario } from './scenario.js';

// Longer than it takes to serve a full queue of one account, so a request without an outcome was lost.
const DRAIN_MS = 30_000;

/** Traffic and CPU time of the routers during the load. */
export interface RouterUsage {
	readonly seconds: number;
	/** Bytes that routers sent to each other. */
	readonly peerBytes: number;
	readonly storeBytes: number;
	readonly storeCalls: number;
	/** CPU time of all routers, including the traffic of callers; undefined when a router was restarted. */
	readonly cpuSeconds: number | undefined;
}

/** Recorded data of a run. */
export interface RunRecord {
	readonly load: LoadRecord;
	readonly ledgers: readonly LedgerSpans[];
	readonly engineSlots: ReadonlyMap<string, number>;
	readonly usage: RouterUsage;
	readonly phasesMs: readonly number[];
	/** Highest scheduler term of any router after the load; 1 when the scheduler never changed. */
	readonly term: number;
	/** Indices of the routers whose callers may receive broken responses. */
	readonly exemptRouters: ReadonlySet<number>;
	readonly notes: readonly string[];
	readonly failures: readonly string[];
}

/**
 * Starts the standard fleet and waits until it is ready.
 *
 * @param shares share of each account
 * @param slack slack of both pools, in mean request costs
 * @returns the fleet, which the caller must end
 */
export async function startStandardFleet(shares: readonly number[], slack: number = SLACK): Promise<Fleet> {
	const fleet = await Fleet.start({
		routers: ROUTER_COUNT,
		engineSlots: ENGINE_SLOTS,
		plainSlots: PLAIN_SLOTS,
		tokenMs: TOKEN_MS,
		delayMs: DELAY_MS,
	});
	try {
		await fleet.apply(createTestConfiguration(createTestAccounts(shares), fleet.backends, slack));
		await fleet.waitUntilReady();
		return fleet;
	} catch (error) {
		await fleet.end();
		throw error;
	}
}

/**
 * Runs a scenario on a new fleet and compares the results with the bounds.
 *
 * @param scenario the scenario to run
 * @param seed seed of costs and arrivals
 * @returns metrics and violated bounds
 */
export async function runScenario(scenario: Scenario, seed: number): Promise<ScenarioOutcome> {
	const fleet = await startStandardFleet(scenario.shares, scenario.slack);
	try {
		return evaluateRun(scenario, seed, await recordRun(fleet, scenario, seed));
	} finally {
		await fleet.end();
	}
}

/**
 * Runs the load of a scenario on a fleet that is ready, and injects the faults of the scenario.
 *
 * @param fleet the fleet
 * @param scenario the scenario to run
 * @param seed seed of costs and arrivals
 * @returns the recorded data
 */
export async function recordRun(fleet: Fleet, scenario: Scenario, seed: number): Promise<RunRecord> {
	const phasesMs: number[] = [];
	const exemptRouters = new Set<number>();
	const notes: string[] = [];
	const failures: string[] = [];
	const context: FaultContext = {
		fleet,
		scheduler: () => findScheduler(fleet),
		endPhase: () => phasesMs.push(epochNow()),
		exemptRouter: (router) => exemptRouters.add(fleet.routers.indexOf(router)),
		addNote: (line) => notes.push(line),
		addFailure: (reason) => failures.push(reason),
	};
	const load = LoadGenerator.create({
		seed,
		sources: scenario.sources,
		costs: scenario.costs,
		routers: fleet.routers.map((router) => router.callersUrl),
		tokens: createTestAccounts(scenario.shares).map((account) => account.token),
		path: DRAFTS_PATH,
		durationMs: scenario.durationMs,
	});
	const engines = fleet.backends.filter((backend) => backend.kind === 'model-engine');
	await Promise.all(engines.map((engine) => callJson('DELETE', `${engine.url}/control/ledger`)));
	const endUsageMeasurement = await startUsageMeasurement(fleet);
	const running = load.run(DRAIN_MS);
	const faults = Promise.all(
		scenario.faults.map(async (fault) => {
			await sleep(fault.atMs);
			try {
				await fault.run(context);
			} catch (error) {
				context.addFailure(`a fault of the scenario failed: ${String(error)}`);
			}
		}),
	);
	await Promise.all([sleep(scenario.durationMs), faults]);
	const used = await endUsageMeasurement();
	const loadRecord = await running;
	const ledgers = await Promise.all(engines.map((engine) => readLedger(engine.id, engine.url)));
	const pools = await Promise.all(fleet.routers.map(readPoolState));
	return {
		term: Math.max(...pools.map((pool) => pool?.entry.term ?? 0)),
		load: loadRecord,
		ledgers: ledgers.flat(),
		engineSlots: new Map(engines.map((engine) => [engine.id, engine.slots])),
		usage: used,
		...{ phasesMs, exemptRouters, notes, failures },
	};
}

/**
 * Reads the ledger of a backend stand-in.
 *
 * @param backend identifier of the backend server
 * @param url its base URL
 * @returns one item for each request that it started
 */
export async function readLedger(backend: string, url: string): Promise<readonly LedgerSpans[]> {
	const { entries } = (await callJson('GET', `${url}/control/ledger`)) as {
		readonly entries: readonly Omit<LedgerSpans, 'backend'>[];
	};
	return entries.map((entry) => ({ ...entry, backend }));
}

interface PoolState {
	readonly pool: string;
	readonly scheduler?: string;
	readonly entry: { readonly term: number };
}

async function readPoolState(router: RouterProcess): Promise<PoolState | undefined> {
	const { scheduling } = (await callJson('GET', `${router.adminUrl}/state`)) as {
		readonly scheduling: readonly PoolState[];
	};
	return scheduling.find(({ pool }) => pool === MODEL_POOL);
}

/** Finds the scheduler of the pool of model engines, as the first router reports it. */
async function findScheduler(fleet: Fleet): Promise<RouterProcess> {
	const [first] = fleet.routers;
	const name = first && (await readPoolState(first))?.scheduler;
	const found = fleet.routers.find((router) => router.name === name);
	if (found === undefined) {
		throw new Error(`no router of the fleet is the scheduler; reported scheduler: ${name ?? 'not known'}`);
	}
	return found;
}

async function startUsageMeasurement(fleet: Fleet): Promise<() => Promise<RouterUsage>> {
	interface Counters {
		readonly calls: number;
		readonly bytesReceived: number;
		readonly bytesSent: number;
	}
	const read = async (): Promise<{ readonly at: number; readonly peers: number; readonly store: Counters }> => ({
		at: epochNow(),
		peers: await fleet.peerBytes(),
		store: (await callJson('GET', `${fleet.platformUrl}/control/counters`)) as Counters,
	});
	const programs = fleet.routers.map((router) => router.program);
	const cpu = (): number => programs.reduce((sum, program) => sum + readCpuSeconds(program.process.pid ?? 0), 0);
	const before = await read();
	const cpuBefore = cpu();
	return async () => {
		const after = await read();
		const restarted = fleet.routers.some((router, index) => router.program !== programs[index]);
		return {
			seconds: (after.at - before.at) / 1000,
			peerBytes: after.peers - before.peers,
			storeBytes:
				after.store.bytesReceived + after.store.bytesSent - before.store.bytesReceived - before.store.bytesSent,
			storeCalls: after.store.calls - before.store.calls,
			cpuSeconds: restarted ? undefined : cpu() - cpuBefore,
		};
	};
}
