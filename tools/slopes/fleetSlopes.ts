import { setTimeout as delay } from 'node:timers/promises';
import type { ConfigurationContent } from '../../src/configuration/common/model.js';
import { DRAFTS_PATH, createTestAccounts, createTestConfiguration, type TestAccount } from '../fleet/configuration.js';
import { Fleet, type FleetOptions } from '../fleet/fleet.js';
import { callJson } from '../fleet/httpJson.js';
import { LoadGenerator } from '../load/load.js';
import type { RequestSource } from '../load/workload.js';
import { measureRouterMemory } from './routerMemory.js';
import { measureProcessUsage } from './processUsage.js';
import { type Slope, type SlopePoint, fitSlope } from './slope.js';

const WINDOW_MS = 5_000;
const SETTLE_MS = 1_500;
const ACCOUNTS = 16;
const SLACK = 2;
const TOKEN_MS = 20;
const DELAY_MS = 0.5;

const PEER_COUNTS = [2, 8, 16, 32];
const ACCOUNT_COUNTS = [100, 1_000, 5_000, 19_000];
const BACKEND_COUNTS = [12, 100, 300, 600];
const QUEUE_LENGTHS = [0, 400, 800, 1_600];
const RUNNING_COUNTS = [0, 100, 200, 400];
const CHANGE_RATES = [0.5, 1, 2, 4];
const REQUEST_RATES = [40, 80, 160, 320];
const REQUEST_ROUTERS = 8;

const IDLE_FLEET: FleetOptions = { routers: 2, engineSlots: [4], tokenMs: TOKEN_MS, plainSlots: [1] };

interface RunningFleet {
	readonly fleet: Fleet;
	readonly accounts: readonly TestAccount[];
	readonly content: ConfigurationContent;
}

async function withFleet<T>(
	options: FleetOptions,
	accountCount: number,
	measure: (running: RunningFleet) => Promise<T>,
): Promise<T> {
	const fleet = await Fleet.start(options);
	try {
		const accounts = createTestAccounts(Array.from({ length: accountCount }, () => 1));
		const content = createTestConfiguration(accounts, fleet.backends, SLACK);
		await fleet.apply(content);
		await fleet.waitUntilReady();
		await delay(SETTLE_MS);
		return await measure({ fleet, accounts, content });
	} finally {
		await fleet.end();
	}
}

function pidsOf(fleet: Fleet): readonly number[] {
	return fleet.routers.flatMap((router) => router.program.process.pid ?? []);
}

function adminUrlsOf(fleet: Fleet): readonly string[] {
	return fleet.routers.map((router) => router.adminUrl);
}

/** @returns CPU time, bytes written and memory of an idle router as functions of the number of its peers */
export async function measurePeers(): Promise<readonly Slope[]> {
	const cpu: SlopePoint[] = [];
	const bytes: SlopePoint[] = [];
	const memory: SlopePoint[] = [];
	for (const routers of PEER_COUNTS) {
		await withFleet({ ...IDLE_FLEET, routers }, ACCOUNTS, async ({ fleet }) => {
			const usage = await measureProcessUsage(pidsOf(fleet), WINDOW_MS);
			const { residentMb } = await measureRouterMemory(adminUrlsOf(fleet));
			cpu.push({ x: routers - 1, y: usage.cpuMsPerSecond });
			bytes.push({ x: routers - 1, y: usage.writtenBytesPerSecond });
			memory.push({ x: routers - 1, y: residentMb });
		});
	}
	return [
		fitSlope('peers-cpu', { x: 'peers', y: 'CPU of an idle router, ms/s' }, cpu),
		fitSlope('peers-bytes', { x: 'peers', y: 'bytes written by an idle router per second' }, bytes),
		fitSlope('peers-memory', { x: 'peers', y: 'resident memory of an idle router, MB' }, memory),
	];
}

/** @returns heap of an idle router as a function of the number of client accounts in the configuration */
export async function measureAccounts(): Promise<readonly Slope[]> {
	const memory: SlopePoint[] = [];
	for (const count of ACCOUNT_COUNTS) {
		await withFleet(IDLE_FLEET, count, async ({ fleet }) => {
			memory.push({ x: count, y: (await measureRouterMemory(adminUrlsOf(fleet))).heapMb });
		});
	}
	return [fitSlope('accounts-memory', { x: 'client accounts', y: 'heap of an idle router, MB' }, memory)];
}

/**
 * @returns CPU time of two idle routers, one of which polls the backend servers, and memory of a router, as functions of
 * the number of backend servers
 */
export async function measureBackends(): Promise<readonly Slope[]> {
	const cpu: SlopePoint[] = [];
	const memory: SlopePoint[] = [];
	for (const count of BACKEND_COUNTS) {
		const engineSlots = Array.from({ length: count }, () => 4);
		await withFleet({ ...IDLE_FLEET, engineSlots }, ACCOUNTS, async ({ fleet }) => {
			cpu.push({ x: count, y: 2 * (await measureProcessUsage(pidsOf(fleet), WINDOW_MS)).cpuMsPerSecond });
			memory.push({ x: count, y: (await measureRouterMemory(adminUrlsOf(fleet))).residentMb });
		});
	}
	return [
		fitSlope('backends-cpu', { x: 'backend servers', y: 'CPU of both routers, ms/s' }, cpu),
		fitSlope('backends-memory', { x: 'backend servers', y: 'resident memory of a router, MB' }, memory),
	];
}

/** @returns heap of a router as a function of the number of queued requests, and of running requests */
export async function measureRequests(): Promise<readonly Slope[]> {
	const queued = await measureOpenRequests(QUEUE_LENGTHS, [1]);
	const running = await measureOpenRequests(RUNNING_COUNTS, [Math.max(...RUNNING_COUNTS)]);
	return [
		fitSlope('queued-memory', { x: 'queued requests', y: 'heap of a router, MB' }, queued),
		fitSlope('running-memory', { x: 'running requests', y: 'heap of a router, MB' }, running),
	];
}

async function measureOpenRequests(counts: readonly number[], engineSlots: readonly number[]): Promise<SlopePoint[]> {
	const points: SlopePoint[] = [];
	const plan: FleetOptions = { ...IDLE_FLEET, routers: 1, engineSlots, tokenMs: 1_000 };
	for (const count of counts) {
		await withFleet(plan, ACCOUNTS, async ({ fleet, accounts }) => {
			const sources = accounts.map((_, account): RequestSource => {
				return { account, router: 0, inProgress: Math.ceil(count / accounts.length) };
			});
			const load = createLoad(fleet, accounts, sources, SETTLE_MS + WINDOW_MS, { least: 60, largest: 61 });
			const done = load.run(0);
			await delay(SETTLE_MS);
			points.push({ x: count, y: (await measureRouterMemory(adminUrlsOf(fleet))).heapMb });
			await done;
		});
	}
	return points;
}

/** @returns CPU time of a router and number of store calls as functions of the rate of configuration changes */
export async function measureChanges(): Promise<readonly Slope[]> {
	const cpu: SlopePoint[] = [];
	const calls: SlopePoint[] = [];
	for (const rate of CHANGE_RATES) {
		await withFleet({ ...IDLE_FLEET, routers: 4 }, ACCOUNTS, async ({ fleet, accounts }) => {
			let changing = true;
			let share = 1;
			const changes = (async (): Promise<void> => {
				while (changing as boolean) {
					share = share === 1 ? 2 : 1;
					const shares = accounts.map((_, index) => (index === 0 ? share : 1));
					await fleet.publish(createTestConfiguration(createTestAccounts(shares), fleet.backends, SLACK));
					await delay(1_000 / rate);
				}
			})();
			const before = await readStoreCalls(fleet);
			cpu.push({ x: rate, y: (await measureProcessUsage(pidsOf(fleet), WINDOW_MS)).cpuMsPerSecond });
			calls.push({ x: rate, y: ((await readStoreCalls(fleet)) - before) / (WINDOW_MS / 1_000) });
			changing = false;
			await changes;
		});
	}
	return [
		fitSlope('changes-cpu', { x: 'changes per second', y: 'CPU of a router, ms/s' }, cpu),
		fitSlope('changes-store-calls', { x: 'changes per second', y: 'store calls per second, 4 routers' }, calls),
	];
}

async function readStoreCalls(fleet: Fleet): Promise<number> {
	const counters = (await callJson('GET', `${fleet.platformUrl}/control/counters`)) as Record<string, number>;
	return counters.calls ?? 0;
}

/** @returns CPU time and control bytes of a router as functions of the rate of requests that it accepts */
export async function measureRequestRate(): Promise<readonly Slope[]> {
	const cpu: SlopePoint[] = [];
	const bytes: SlopePoint[] = [];
	const engineSlots = [8, 8, 8, 8, 8, 8, 8, 8];
	const plan: FleetOptions = {
		routers: REQUEST_ROUTERS,
		engineSlots,
		tokenMs: TOKEN_MS,
		plainSlots: [1],
		delayMs: DELAY_MS,
	};
	for (const rate of REQUEST_RATES) {
		await withFleet(plan, ACCOUNTS, async ({ fleet, accounts }) => {
			const perSource = rate / (accounts.length * REQUEST_ROUTERS);
			const sources = accounts.flatMap((_, account) =>
				fleet.routers.map((_router, router): RequestSource => {
					return { account, router, inProgress: 0, ratePerSecond: perSource };
				}),
			);
			const load = createLoad(fleet, accounts, sources, SETTLE_MS + WINDOW_MS, { least: 5, largest: 15 });
			const done = load.run(SETTLE_MS);
			await delay(SETTLE_MS);
			const bytesBefore = await fleet.peerBytes();
			const usage = await measureProcessUsage(pidsOf(fleet), WINDOW_MS);
			const sent = (await fleet.peerBytes()) - bytesBefore;
			cpu.push({ x: rate / REQUEST_ROUTERS, y: usage.cpuMsPerSecond });
			bytes.push({ x: rate / REQUEST_ROUTERS, y: sent / REQUEST_ROUTERS / (WINDOW_MS / 1_000) });
			await done;
		});
	}
	return [
		fitSlope('requests-cpu', { x: 'requests per second of a router', y: 'CPU of a router, ms/s' }, cpu),
		fitSlope('requests-bytes', { x: 'requests per second of a router', y: 'control bytes sent per second' }, bytes),
	];
}

function createLoad(
	fleet: Fleet,
	accounts: readonly TestAccount[],
	sources: readonly RequestSource[],
	durationMs: number,
	costs: { readonly least: number; readonly largest: number },
): LoadGenerator {
	return LoadGenerator.create({
		seed: 1,
		sources,
		costs,
		routers: fleet.routers.map((router) => router.callersUrl),
		tokens: accounts.map((account) => account.token),
		path: DRAFTS_PATH,
		durationMs,
	});
}
