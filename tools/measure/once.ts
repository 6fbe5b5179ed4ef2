import * as http from 'node:http';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { ORDERS_PATH, createTestAccounts } from '../fleet/configuration.js';
import type { Fleet } from '../fleet/fleet.js';
import { callJson } from '../fleet/httpJson.js';
import { sleep, withTimeout } from '../fleet/processes.js';
import { callPlainService, type CallOutcome } from '../load/completionCall.js';
import { ACCOUNT_COUNT, ROUTER_COUNT } from './fleetShape.js';
import type { ScenarioOutcome } from './results.js';
import { startStandardFleet } from './run.js';

const CALL_COUNT = 10_000;
const CALLS_PER_SECOND = 300;
const MAXIMUM_ATTEMPTS = 8;
const CALLER_TIMEOUT_MS = 4_000;
const RETRY_PAUSE_MS = 250;
const SERVICE_MS = 4;
const PAUSE_BETWEEN_FAULTS_MS = 300;
const RESTART_TIMEOUT_MS = 10_000;
const SETTLE_MS = 3_000;

/** A call with an idempotency key, and the outcome of each attempt as its caller observed it. */
interface KeyedCall {
	readonly key: string;
	readonly outcomes: CallOutcome[];
}

/** How often all plain services together started and finished the call with one key. */
interface KeyLedger {
	started: number;
	finished: number;
}

type RandomFault = (fleet: Fleet, draw: (below: number) => number) => Promise<void>;

/** Faults that are injected one after another, in random order, while the calls run. Each undoes its effect. */
const FAULTS: Readonly<Record<string, RandomFault>> = {
	'router killed': async (fleet, draw) => {
		const router = pickRandom(fleet.routers, draw);
		router.program.process.kill('SIGKILL');
		await router.program.exit;
		fleet.restart(router);
		await withTimeout(RESTART_TIMEOUT_MS, `${router.name} was not ready again`, fleet.waitUntilReady([router]));
	},
	'router suspended': async (fleet, draw) => {
		const { process } = pickRandom(fleet.routers, draw).program;
		process.kill('SIGSTOP');
		await sleep(1_500);
		process.kill('SIGCONT');
	},
	partition: async (fleet) => {
		const names = fleet.routers.map((router) => router.name);
		await fleet.partition([names.slice(0, ROUTER_COUNT / 2), names.slice(ROUTER_COUNT / 2)]);
		await sleep(1_500);
		await fleet.partition([]);
	},
	'service crash': (fleet, draw) => sendControlCommand(fleet, draw, 'crash', { downMs: 300 }),
	'crash before processing': (fleet, draw) => sendControlCommand(fleet, draw, 'fault', { fault: 'crash-before' }),
	'crash during processing': (fleet, draw) => sendControlCommand(fleet, draw, 'fault', { fault: 'crash-during' }),
	'crash after processing': (fleet, draw) => sendControlCommand(fleet, draw, 'fault', { fault: 'crash-after' }),
	'no answer': (fleet, draw) => sendControlCommand(fleet, draw, 'fault', { fault: 'hang' }),
	'answer cut': (fleet, draw) => sendControlCommand(fleet, draw, 'fault', { fault: 'cut', count: 5 }),
	'store loses answers': (fleet) => injectStoreFault(fleet, { lose_answers: 0.2 }, { lose_answers: 0 }),
	'store slow': (fleet) => injectStoreFault(fleet, { delay_ms: 200 }, { delay_ms: 0 }),
	'store refuses': (fleet) => injectStoreFault(fleet, { mode: 'refused' }, { mode: 'up' }),
	'store hangs': (fleet) => injectStoreFault(fleet, { mode: 'hanging' }, { mode: 'up' }),
};

/**
 * Runs calls with idempotency keys against plain services while random faults are injected. Callers retry a call with
 * the same key at another router until they receive a response with status 200, for at most 8 attempts. The ledgers of
 * the services show how often each call was started.
 *
 * @param seed seed of the faults
 * @returns metrics and violated bounds
 */
export async function runAtMostOnce(seed: number): Promise<ScenarioOutcome> {
	const fleet = await startStandardFleet(new Array<number>(ACCOUNT_COUNT).fill(1));
	try {
		const calls: KeyedCall[] = [];
		const faults = new FaultInjector(fleet, seed);
		const injection = faults.run();
		await sendAll(fleet, calls);
		faults.stop();
		await injection;
		await sleep(SETTLE_MS);
		return evaluateAtMostOnce(seed, calls, await readLedgers(fleet), faults.counts);
	} finally {
		await fleet.end();
	}
}

class FaultInjector {
	public readonly counts = new Map<string, number>();
	private stopped = false;

	public constructor(
		private readonly fleet: Fleet,
		private readonly seed: number,
	) {}

	public async run(): Promise<void> {
		const generator = xoroshiro128plus(this.seed);
		const draw = (below: number): number => uniformInt(generator, 0, below - 1);
		const names = Object.keys(FAULTS);
		while (!this.stopped) {
			const name = names[draw(names.length)] ?? '';
			this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
			await FAULTS[name]?.(this.fleet, draw);
			await sleep(PAUSE_BETWEEN_FAULTS_MS);
		}
	}

	public stop(): void {
		this.stopped = true;
	}
}

async function sendAll(fleet: Fleet, calls: KeyedCall[]): Promise<void> {
	const agent = new http.Agent({ keepAlive: true });
	const running: Promise<void>[] = [];
	const start = performance.now();
	for (let index = 0; index < CALL_COUNT; index++) {
		const wait = start + (index * 1000) / CALLS_PER_SECOND - performance.now();
		if (wait > 1) {
			await sleep(wait);
		}
		const call: KeyedCall = { key: `order-${index}`, outcomes: [] };
		calls.push(call);
		running.push(sendWithRetries(fleet, agent, call, index));
	}
	await Promise.all(running);
	agent.destroy();
}

async function sendWithRetries(fleet: Fleet, agent: http.Agent, call: KeyedCall, index: number): Promise<void> {
	const accounts = createTestAccounts(new Array<number>(ACCOUNT_COUNT).fill(1));
	for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
		const outcome = await callPlainService({
			router: new URL(fleet.routers[(index + attempt) % ROUTER_COUNT]?.callersUrl ?? ''),
			agent,
			token: accounts[index % ACCOUNT_COUNT]?.token ?? '',
			path: ORDERS_PATH,
			body: JSON.stringify({ order: call.key, service_ms: SERVICE_MS }),
			headers: { 'idempotency-key': call.key },
			timeoutMs: CALLER_TIMEOUT_MS,
		});
		call.outcomes.push(outcome);
		if (outcome.result === 'whole' || outcome.result === 'wrong') {
			return;
		}
		await sleep(RETRY_PAUSE_MS * (attempt + 1));
	}
}

async function readLedgers(fleet: Fleet): Promise<ReadonlyMap<string, KeyLedger>> {
	const keys = new Map<string, KeyLedger>();
	for (const service of fleet.backends.filter((backend) => backend.kind === 'plain')) {
		const { entries } = (await callJson('GET', `${service.url}/control/ledger`)) as {
			readonly entries: readonly (KeyLedger & { readonly idempotencyKey?: string })[];
		};
		for (const { idempotencyKey, started, finished } of entries) {
			const total = keys.get(idempotencyKey ?? '') ?? { started: 0, finished: 0 };
			keys.set(idempotencyKey ?? '', {
				started: total.started + started,
				finished: total.finished + finished,
			});
		}
	}
	return keys;
}

/**
 * Compares the responses that callers received with the ledgers of the services.
 *
 * @param seed seed of the run
 * @param calls outcomes by key
 * @param ledger numbers of starts and ends by key
 * @param faults number of injected faults by name
 * @returns metrics and violated bounds
 */
export function evaluateAtMostOnce(
	seed: number,
	calls: readonly KeyedCall[],
	ledger: ReadonlyMap<string, KeyLedger>,
	faults: ReadonlyMap<string, number>,
): ScenarioOutcome {
	const ledgerOf = (call: KeyedCall): KeyLedger => ledger.get(call.key) ?? { started: 0, finished: 0 };
	const hasResult = (call: KeyedCall, result: CallOutcome['result']): boolean =>
		call.outcomes.some((outcome) => outcome.result === result);
	const duplicates = [...ledger.values()].reduce((sum, { started }) => sum + Math.max(0, started - 1), 0);
	const falseNotRun = calls.filter(
		(call) => ledgerOf(call).started > 0 && call.outcomes.every((outcome) => outcome.verdict === 'not-run'),
	).length;
	const wrong = calls.filter(
		(call) => hasResult(call, 'wrong') || (hasResult(call, 'whole') && ledgerOf(call).finished === 0),
	).length;
	const lost = calls.filter((call) => call.outcomes.length === 0).length;
	const whole = calls.filter((call) => hasResult(call, 'whole')).length;
	const notRun = calls.filter((call) => ledgerOf(call).started === 0 && !hasResult(call, 'whole')).length;
	const bounds: readonly (readonly [number, string])[] = [
		[duplicates, 'repeated starts of calls that had been started before'],
		[falseNotRun, 'calls were reported as not run, but were started'],
		[wrong, 'answers were wrong, or whole although no service finished the call'],
		[lost, 'calls ended without an outcome'],
	];
	return {
		lines: [
			`faults: ${[...faults].map(([name, count]) => `${name} ${count}`).join(', ')}`,
			`${calls.length} keyed calls, ${calls.reduce((sum, call) => sum + call.outcomes.length, 0)} requests`,
			`requests by outcome: ${describeOutcomes(calls.flatMap((call) => call.outcomes))}`,
			`${whole} answered whole, ${notRun} never started, ${calls.length - whole - notRun} started with an unknown outcome`,
		],
		broken: bounds.flatMap(([count, reason]) => (count > 0 ? [`${count} ${reason}`] : [])),
		results: {
			...{ scenario: 'once', seed, requests: calls.length, duplicates, lost },
			...{ false_not_run: falseNotRun, wrong_or_cut_answers: wrong },
		},
	};
}

function describeOutcomes(outcomes: readonly CallOutcome[]): string {
	const counts = new Map<string, number>();
	for (const { result, status, verdict, detail } of outcomes) {
		const key = `${result} ${status === 0 ? detail.slice(0, 30) : status} ${verdict ?? ''}`.trim();
		counts.set(key, (counts.get(key) ?? 0) + 1);
	}
	return [...counts].map(([key, count]) => `${count} ${key}`).join(', ');
}

async function sendControlCommand(
	fleet: Fleet,
	draw: (below: number) => number,
	name: 'crash' | 'fault',
	body: Readonly<Record<string, unknown>>,
): Promise<void> {
	const services = fleet.backends.filter((backend) => backend.kind === 'plain');
	try {
		await callJson('POST', `${pickRandom(services, draw).url}/control/${name}`, body);
	} catch {
		// The service is still down after an earlier crash. That is a fault too, so nothing else is injected.
	}
}

async function injectStoreFault(fleet: Fleet, fault: object, repair: object): Promise<void> {
	await callJson('POST', `${fleet.platformUrl}/control/store`, fault);
	await sleep(1_000);
	await callJson('POST', `${fleet.platformUrl}/control/store`, repair);
}

function pickRandom<T>(items: readonly T[], draw: (below: number) => number): T {
	return items[draw(items.length)] as T;
}
