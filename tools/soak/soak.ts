import { randomBytes } from 'node:crypto';
import * as http from 'node:http';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { Relay } from '../../standins/relay/relay.js';
import { findNoticeViolations, type SentRequest } from '../../standins/usersPlatform/noticeJudge.js';
import { ACCOUNTS, type RequestKind, ROUTES, UsersPlatform } from '../../standins/usersPlatform/usersPlatform.js';
import { ProcessGroup, sleep, pollUntil } from '../fleet/processes.js';
import { callRouter, type CallResult } from '../platformFleet/caller.js';
import { PlatformFleet, type PlatformRouterProcess } from '../platformFleet/platformFleet.js';

/** Routers of a small fleet, in which each one hears of all placements. */
export const DEFAULT_ROUTERS = 4;
const CALL_INTERVAL_MS = 12;
const LEAST_FAULT_PAUSE_MS = 200;
const FAULT_PAUSE_SPREAD_MS = 900;
const LONGEST_FAULT_MS = 1_500;
const DOCUMENTS = 6;
const SOCKETS_PER_ROUTER = 6;

/** All routers serve again within this time after the last fault. */
const RECOVERY_LIMIT_MS = 12_000;

/** Time in which routers stop using a server that says that it leaves. */
const DRAIN_MS = 2_000;

/** Part of the requests that a server turns away, and the longest time for which it wants no others then. */
const TURNED_AWAY = 0.3;
const LONGEST_REST_SECONDS = 3;

/** What a run found. */
export interface SoakResult {
	readonly seed: number;
	readonly calls: number;
	readonly answered: number;
	/** Faults in their order, for a report. */
	readonly faults: readonly string[];
	/** Broken promises; empty when all were kept. */
	readonly violations: readonly string[];
}

/**
 * Runs routers as processes against the stand-in of the platform while faults are injected from outside, and checks what
 * callers and backend servers see.
 *
 * @param seed decides faults and calls
 * @param durationMs time in which faults are injected
 * @param network number for the routers' loopback addresses
 * @param routers number of routers; more than 16 divide their duties
 * @returns what was found
 */
export async function runSoak(
	seed: number,
	durationMs: number,
	network: number,
	routers = DEFAULT_ROUTERS,
): Promise<SoakResult> {
	const generator = xoroshiro128plus(seed);
	const random = (): number => uniformFloat64(generator);
	const group = ProcessGroup.create();
	const platform = await UsersPlatform.start({ engines: 3, plainServers: 3 }, random);
	const relay = Relay.create(0);
	try {
		const stores = new Map<string, string>();
		for (let index = 1; index <= routers; index++) {
			const name = `router-${index}`;
			stores.set(name, await relay.add({ from: name, to: 'store', target: platform.storeAddress }));
		}
		const fleet = PlatformFleet.create(group, (name) => stores.get(name) ?? platform.storeAddress, network);
		for (let index = 1; index <= routers; index++) {
			fleet.start(index);
		}
		await fleet.waitUntilReady();
		const run = new SoakRun(platform, fleet, relay, random);
		await run.injectFor(durationMs);
		return { seed, ...(await run.finish()) };
	} finally {
		await group.end();
		platform.dispose();
		relay.close();
	}
}

class SoakRun {
	private readonly results: Promise<CallResult>[] = [];
	private readonly sent = new Map<string, SentRequest>();
	private readonly interruptions: { readonly router: string; readonly from: number; until: number }[] = [];
	private readonly faults: string[] = [];
	private readonly pending: Promise<void>[] = [];
	private readonly down = new Set<string>();
	private readonly cut = new Set<string>();
	private readonly agents = new Map<string, http.Agent>();

	public constructor(
		private readonly platform: UsersPlatform,
		private readonly fleet: PlatformFleet,
		private readonly relay: Relay,
		private readonly random: () => number,
	) {}

	public async injectFor(durationMs: number): Promise<void> {
		const end = performance.now() + durationMs;
		const calls = this.callUntil(end);
		while (performance.now() < end) {
			await sleep(LEAST_FAULT_PAUSE_MS + this.random() * FAULT_PAUSE_SPREAD_MS);
			this.pending.push(this.injectOne());
		}
		await calls;
	}

	public async finish(): Promise<Omit<SoakResult, 'seed'>> {
		await Promise.all(this.pending);
		this.platform.store.setFaults({ mode: 'up', delay_ms: 0, lose_answers: 0 });
		this.platform.engines.forEach((engine) => {
			engine.setFaults({});
			engine.setNotices({});
		});
		this.platform.configure();
		const violations: string[] = [];
		try {
			await pollUntil(RECOVERY_LIMIT_MS, 'all routers serve', () => this.allServe());
		} catch (error) {
			violations.push(String(error));
		}
		const results = await Promise.all(this.results);
		violations.push(...this.judge(results), ...(await this.judgeNotices()));
		this.agents.forEach((agent) => agent.destroy());
		const answered = results.filter(({ status, whole }) => status === 200 && whole).length;
		return { calls: results.length, answered, faults: this.faults, violations };
	}

	private async callUntil(end: number): Promise<void> {
		const kinds = Object.keys(ROUTES) as readonly RequestKind[];
		while (performance.now() < end) {
			const router = this.pick(this.fleet.startedRouters);
			const id = randomBytes(8).toString('hex');
			this.sent.set(id, { router: router.name, at: performance.now() });
			this.results.push(
				callRouter({
					id,
					host: router.host,
					port: router.port,
					kind: this.pick(kinds),
					account: this.pick(ACCOUNTS),
					document: Math.floor(this.random() * DOCUMENTS),
					promptTokens: Math.floor(this.random() ** 3 * 20_000),
					agent: this.random() < 0.5 ? this.agentOf(router) : undefined,
				}),
			);
			await sleep(CALL_INTERVAL_MS);
		}
	}

	private async injectOne(): Promise<void> {
		const forMs = this.random() * LONGEST_FAULT_MS;
		const router = this.pick(this.fleet.startedRouters);
		const engine = this.pick(this.platform.engines);
		const choices: Readonly<Record<string, () => Promise<void>>> = {
			kill: () => this.interrupt(router, () => this.restart(router, 'SIGKILL')),
			terminate: () => this.interrupt(router, () => this.restart(router, 'SIGTERM')),
			freeze: () =>
				this.interrupt(router, async () => {
					router.program.process.kill('SIGSTOP');
					await sleep(forMs);
					router.program.process.kill('SIGCONT');
				}),
			'cut from the store': async () => {
				this.cut.add(router.name);
				this.applyCuts();
				await sleep(forMs);
				this.cut.delete(router.name);
				this.applyCuts();
			},
			'store silent': async () => {
				this.platform.store.setFaults({ mode: 'hanging' });
				await sleep(forMs);
				this.platform.store.setFaults({ mode: 'up' });
			},
			'store refuses': async () => {
				this.platform.store.setFaults({ mode: 'refused' });
				await sleep(forMs);
				this.platform.store.setFaults({ mode: 'up' });
			},
			'store loses answers': async () => {
				this.platform.store.setFaults({ lose_answers: 0.4, delay_ms: 100 });
				await sleep(forMs);
				this.platform.store.setFaults({ lose_answers: 0, delay_ms: 0 });
			},
			'history dropped': () => {
				this.platform.store.compact();
				return Promise.resolve();
			},
			'server crash': () => {
				engine.crash(forMs);
				return Promise.resolve();
			},
			'answers lost': async () => {
				engine.setFaults({ resetRate: 0.3, failureRate: 0.1 });
				await sleep(forMs);
				engine.setFaults({});
			},
			'server leaves': async () => {
				this.platform.setServerState(engine.options.id, this.random() < 0.5 ? 'draining' : undefined);
				await sleep(forMs);
				this.platform.setServerState(engine.options.id, 'ready');
			},
			'server says that it leaves': async () => {
				engine.setNotices({ leaving: true });
				await sleep(DRAIN_MS + forMs);
				this.platform.replaceServer(engine.options.id);
			},
			'server turns away': async () => {
				engine.setNotices({ refusalRate: TURNED_AWAY, retryAfterSeconds: 0.5 + this.random() * LONGEST_REST_SECONDS });
				await sleep(forMs);
				engine.setNotices({});
			},
			'configuration changes': () => {
				this.platform.configure();
				return Promise.resolve();
			},
		};
		const name = this.pick(Object.keys(choices));
		this.faults.push(`${name} (${router.name}, ${engine.options.id}, ${Math.round(forMs)} ms)`);
		await choices[name]?.();
	}

	/** Notes for how long a router may forget or miss what servers have told it. */
	private async interrupt(router: PlatformRouterProcess, fault: () => Promise<void>): Promise<void> {
		const interruption = { router: router.name, from: performance.now(), until: Infinity };
		this.interruptions.push(interruption);
		await fault();
		interruption.until = performance.now();
	}

	private applyCuts(): void {
		const reaching = this.fleet.startedRouters.map(({ name }) => name).filter((name) => !this.cut.has(name));
		this.relay.partition([['store', ...reaching], ...[...this.cut].map((name) => [name])]);
	}

	private async restart(router: PlatformRouterProcess, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
		if (this.down.has(router.name)) {
			return;
		}
		this.down.add(router.name);
		router.program.process.kill(signal);
		await router.program.exit;
		this.fleet.start(Number(router.name.slice('router-'.length)));
		this.down.delete(router.name);
	}

	private async allServe(): Promise<true | string> {
		for (const { host, port, name } of this.fleet.startedRouters) {
			const result = await callRouter({ host, port, kind: 'lookup', account: this.pick(ACCOUNTS) });
			if (result.status !== 200) {
				return `${name} answers ${result.status}`;
			}
		}
		return true;
	}

	/** Compares what callers were told with what servers ran. */
	private judge(results: readonly CallResult[]): readonly string[] {
		const runs = new Map<string, number>();
		for (const { requestId, firstEvent } of this.platform.executions()) {
			// A resumed stream continues the same run.
			runs.set(requestId, (runs.get(requestId) ?? 0) + (firstEvent === 1 ? 1 : 0));
		}
		return results.flatMap(({ id, kind, status, fault }) => {
			const count = runs.get(id) ?? 0;
			const mayRepeat = ROUTES[kind].type === 'safe' || ROUTES[kind].resumable;
			return [
				...(fault === undefined ? [] : [`${kind} ${id}: ${fault}`]),
				...(!mayRepeat && count > 1 ? [`${kind} ${id} ran ${count} times`] : []),
				...(!mayRepeat && [408, 421, 429, 503].includes(status) && count > 0
					? [`${kind} ${id} got ${status} and ran`]
					: []),
				...([401, 404].includes(status) ? [`${kind} ${id} got ${status} on a route that it may use`] : []),
			];
		});
	}

	private async judgeNotices(): Promise<readonly string[]> {
		// Servers cannot tell which router has sent what was handed over.
		const handedOver = await Promise.all(
			this.fleet.startedRouters.map((router) => this.fleet.sumMetric(router, 'masticloom_gateway_handovers_total')),
		);
		if (handedOver.some((count) => count > 0)) {
			this.faults.push('notices of servers not judged, since requests were handed over');
			return [];
		}
		return this.platform.engines.flatMap(({ arrivals }) =>
			findNoticeViolations({
				arrivals,
				drainMs: DRAIN_MS,
				sentRequest: (requestId) => this.sent.get(requestId),
				wasInterrupted: (router, from, to) =>
					this.interruptions.some((one) => one.router === router && one.from <= to && one.until >= from),
			}),
		);
	}

	private agentOf({ name }: PlatformRouterProcess): http.Agent {
		let agent = this.agents.get(name);
		if (agent === undefined) {
			agent = new http.Agent({ keepAlive: true, maxSockets: SOCKETS_PER_ROUTER });
			this.agents.set(name, agent);
		}
		return agent;
	}

	private pick<T>(items: readonly T[]): T {
		const item = items[Math.floor(this.random() * items.length)];
		if (item === undefined) {
			throw new Error('there is nothing to pick from');
		}
		return item;
	}
}
