/**
 * Measures the overhead of a router: sends the same calls to the same stand-in, alternately directly and through one
 * router. Prints text and, as its last line, a JSON object.
 */
import * as http from 'node:http';
import sade from 'sade';
import {
	DRAFTS_PATH,
	ORDERS_PATH,
	type TestAccount,
	createTestAccounts,
	createTestConfiguration,
} from '../fleet/configuration.js';
import { type BackendStandIn, Fleet } from '../fleet/fleet.js';
import { readCpuSeconds } from '../fleet/processStatistics.js';

const WARM_UP_FRACTION = 0.2;
const SLOTS = 256;
const STREAM_TOKENS = 16;
const THROUGHPUT_CONCURRENCY = 64;
const ACCOUNTS = 16;

interface Target {
	readonly url: URL;
	readonly headers: http.OutgoingHttpHeaders;
	readonly body: Buffer;
}

interface Options {
	readonly pairs: string;
	readonly seconds: string;
	readonly kind: string;
}

const agent = new http.Agent({ keepAlive: true, maxSockets: Infinity });

async function main(options: Options): Promise<void> {
	const isStream = options.kind === 'stream';
	const slots = isStream ? { engineSlots: [SLOTS], plainSlots: [] } : { engineSlots: [], plainSlots: [SLOTS] };
	const fleet = await Fleet.start({ routers: 1, tokenMs: 0, ...slots });
	try {
		const accounts = createTestAccounts(Array.from({ length: ACCOUNTS }, () => 1));
		await fleet.apply(createTestConfiguration(accounts, fleet.backends, 2));
		await fleet.waitUntilReady();
		const [backend] = fleet.backends as [BackendStandIn];
		const routed = accounts.map((account) => createRoutedTarget(fleet, account, isStream));
		const direct = createDirectTarget(backend, isStream);
		await measurePairs(direct, routed, Number(options.pairs) * WARM_UP_FRACTION);
		const pairs = await measurePairs(direct, routed, Number(options.pairs));
		const directRate = await measureRate([direct], Number(options.seconds));
		const pid = fleet.routers[0]?.program.process.pid ?? 0;
		const cpuBefore = readCpuSeconds(pid);
		const routedRate = await measureRate(routed, Number(options.seconds));
		// Unlike the rate, the CPU time depends little on other load of the machine.
		const cpuPerRequest = (readCpuSeconds(pid) - cpuBefore) / (routedRate * Number(options.seconds));
		print(`${options.kind}: ${pairs.direct.length} pairs of calls, one in progress at a time`);
		print(`  direct  p50 ${formatQuantile(pairs.direct, 0.5)} ms, p99 ${formatQuantile(pairs.direct, 0.99)} ms`);
		print(`  routed  p50 ${formatQuantile(pairs.routed, 0.5)} ms, p99 ${formatQuantile(pairs.routed, 0.99)} ms`);
		print(`  ${THROUGHPUT_CONCURRENCY} in progress: direct ${directRate}/s, routed ${routedRate}/s`);
		print(`  CPU time of the router ${Math.round(cpuPerRequest * 1e6)} µs per request`);
		const result = {
			scenario: 'overhead',
			kind: options.kind,
			added_p50_ms: round(quantile(pairs.routed, 0.5) - quantile(pairs.direct, 0.5)),
			added_p99_ms: round(quantile(pairs.routed, 0.99) - quantile(pairs.direct, 0.99)),
			direct_requests_s: directRate,
			routed_requests_s: routedRate,
			router_cpu_us_per_request: Math.round(cpuPerRequest * 1e6),
		};
		print(JSON.stringify(result));
	} finally {
		await fleet.end();
		agent.destroy();
	}
}

async function measurePairs(
	direct: Target,
	routed: readonly Target[],
	count: number,
): Promise<{ readonly direct: readonly number[]; readonly routed: readonly number[] }> {
	const times = { direct: [] as number[], routed: [] as number[] };
	for (let pair = 0; pair < count; pair++) {
		const target = routed[pair % routed.length];
		// The order alternates, so that neither side always runs second.
		const order = pair % 2 === 0 ? (['direct', 'routed'] as const) : (['routed', 'direct'] as const);
		for (const side of order) {
			const startedAt = performance.now();
			await call(side === 'direct' ? direct : (target ?? direct));
			times[side].push(performance.now() - startedAt);
		}
	}
	times.direct.sort((left, right) => left - right);
	times.routed.sort((left, right) => left - right);
	return times;
}

async function measureRate(targets: readonly Target[], seconds: number): Promise<number> {
	const startedAt = performance.now();
	const endAt = startedAt + seconds * 1_000;
	let calls = 0;
	const sendRepeatedly = async (target: Target | undefined): Promise<void> => {
		while (target !== undefined && performance.now() < endAt) {
			await call(target);
			calls++;
		}
	};
	await Promise.all(
		Array.from({ length: THROUGHPUT_CONCURRENCY }, (_, index) => sendRepeatedly(targets[index % targets.length])),
	);
	return Math.round((calls * 1_000) / (performance.now() - startedAt));
}

function call(target: Target): Promise<void> {
	return new Promise((resolve, reject) => {
		const request = http.request(target.url, { method: 'POST', agent, headers: target.headers }, (response) => {
			response.resume();
			response.on('error', reject);
			response.on('end', () => {
				if (response.statusCode === 200) {
					resolve();
				} else {
					reject(new Error(`${target.url.href} answered ${response.statusCode ?? 0}`));
				}
			});
		});
		request.on('error', reject);
		request.end(target.body);
	});
}

function createDirectTarget(backend: BackendStandIn, isStream: boolean): Target {
	const body = createBody(isStream);
	const url = new URL(isStream ? '/v1/completions' : '/orders', backend.url);
	return { url, body, headers: { 'content-length': body.length, 'content-type': 'application/json' } };
}

function createRoutedTarget(fleet: Fleet, account: TestAccount, isStream: boolean): Target {
	const body = createBody(isStream);
	const url = new URL(`/services/${isStream ? DRAFTS_PATH : ORDERS_PATH}`, fleet.routers[0]?.callersUrl);
	const headers = {
		'content-length': body.length,
		'content-type': 'application/json',
		authorization: `Bearer ${account.token}`,
	};
	return { url, body, headers };
}

function createBody(isStream: boolean): Buffer {
	const body = isStream ? { prompt: 'Moon phases', max_tokens: STREAM_TOKENS, stream: true } : { service_ms: 0 };
	return Buffer.from(JSON.stringify(body));
}

function quantile(sorted: readonly number[], fraction: number): number {
	return sorted[Math.floor(fraction * (sorted.length - 1))] ?? NaN;
}

function round(value: number): number {
	return Number(value.toFixed(3));
}

function formatQuantile(sorted: readonly number[], fraction: number): string {
	return quantile(sorted, fraction).toFixed(3);
}

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

sade('overhead', true)
	.option('--pairs', 'number of pairs of calls to compare', '5000')
	.option('--seconds', 'duration of each throughput run in seconds', '4')
	.option('--kind', 'plain or stream', 'plain')
	.action(main)
	.parse(process.argv);
