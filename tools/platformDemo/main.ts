import { ACCOUNTS, type RequestKind, ROUTES, UsersPlatform } from '../../standins/usersPlatform/usersPlatform.js';
import { ProcessGroup, sleep } from '../fleet/processes.js';
import { callRouter, type CallResult } from '../platformFleet/caller.js';
import { PlatformFleet } from '../platformFleet/platformFleet.js';

const ROUTERS = 3;
const LOOPBACK_NETWORK = 202;
const REQUESTS = 240;
const INTERVAL_MS = 15;
const DOCUMENTS = 8;

/**
 * Starts the platform stand-in and three routers, sends requests while one router is terminated, and prints the results.
 *
 * @returns exit code: 0 when all requests succeeded, otherwise 1
 */
async function main(): Promise<number> {
	const group = ProcessGroup.create();
	const platform = await UsersPlatform.start({ engines: 4, plainServers: 2 }, () => 1);
	try {
		const fleet = PlatformFleet.create(group, () => platform.storeAddress, LOOPBACK_NETWORK);
		for (let index = 1; index <= ROUTERS; index++) {
			fleet.start(index);
		}
		await fleet.waitUntilReady();
		const kinds = Object.keys(ROUTES) as readonly RequestKind[];
		const calls: Promise<CallResult>[] = [];
		for (let index = 0; index < REQUESTS; index++) {
			const router = fleet.startedRouters[index % (index < REQUESTS / 2 ? ROUTERS : ROUTERS - 1)];
			const kind = kinds[index % kinds.length];
			const account = ACCOUNTS[index % ACCOUNTS.length];
			if (router !== undefined && kind !== undefined && account !== undefined) {
				const { host, port } = router;
				calls.push(callRouter({ kind, account, host, port, document: index % DOCUMENTS }));
			}
			if (index === REQUESTS / 2) {
				fleet.startedRouters[ROUTERS - 1]?.program.process.kill('SIGTERM');
			}
			await sleep(INTERVAL_MS);
		}
		const results = await Promise.all(calls);
		const runs = platform.executions().map(({ requestId }) => requestId);
		const bad = results.filter(({ status, whole, fault }) => status !== 200 || !whole || fault !== undefined);
		console.table(kinds.map((kind) => summarize(kind, results)));
		console.log(
			`${results.length - bad.length} of ${results.length} answered whole; one router was terminated midway.`,
		);
		console.log(`${runs.length - new Set(runs).size} requests ran more than once.`);
		return bad.length === 0 ? 0 : 1;
	} finally {
		await group.end();
		platform.dispose();
	}
}

function summarize(kind: RequestKind, results: readonly CallResult[]): Readonly<Record<string, string | number>> {
	const own = results.filter((result) => result.kind === kind);
	const times = own.map(({ firstBytesMs }) => firstBytesMs ?? Infinity).sort((one, other) => one - other);
	const median = times[Math.floor(times.length / 2)] ?? 0;
	return {
		kind,
		requests: own.length,
		ok: own.filter(({ status }) => status === 200).length,
		medianMs: Math.round(median),
	};
}

process.exitCode = await main();
