import { randomBytes } from 'node:crypto';
import * as http from 'node:http';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { Relay } from '../../standins/relay/relay.js';
import {
	findLimitViolations,
	findNoticeViolations,
	type SentRequest,
} from '../../standins/usersPlatform/noticeJudge.js';
import { findCrashViolations } from '../../standins/usersPlatform/crashJudge.js';
import { LARGE_EVENTS } from '../../standins/usersPlatform/promptEngine.js';
import { findJoinedVersions } from '../../standins/usersPlatform/versionJudge.js';
import { ACCOUNTS, type RequestKind, ROUTES, UsersPlatform } from '../../standins/usersPlatform/usersPlatform.js';
import { ProcessGroup, sleep, pollUntil, withTimeout } from '../fleet/processes.js';
import { HOSTILE_TRAFFIC, HostileCrowd, MAXIMUM_BODY_BYTES, UNFINISHED_PATH } from '../platformFleet/hostileCrowd.js';
import { callRouter, type CallOptions, type CallResult } from '../platformFleet/caller.js';
import { PlatformFleet, type PlatformRouterProcess } from '../platformFleet/platformFleet.js';
import { RouterWatch } from './routerWatch.js';

/** Number of routers of a small fleet, in which every router receives all placements. */
export const DEFAULT_ROUTERS = 4;
const CALL_INTERVAL_MS = 12;
const MINIMUM_FAULT_PAUSE_MS = 200;
const FAULT_PAUSE_JITTER_MS = 900;
const MAXIMUM_FAULT_MS = 1_500;
/** Time within which the operator writes again what a restored store has lost. */
const MAXIMUM_REWRITE_DELAY_MS = 2_000;
const DOCUMENTS = 6;
const SOCKETS_PER_ROUTER = 6;

/** Time within which all routers must serve requests again after the last fault. */
const RECOVERY_LIMIT_MS = 12_000;

/** Time within which routers must stop using a server that reports that it is leaving. */
const DRAIN_MS = 2_000;

/** Fraction of the requests that a server rejects, and the maximum backoff that it then requests from routers. */
const REJECTED_FRACTION = 0.3;
const MAXIMUM_BACKOFF_SECONDS = 3;

/** Limits that servers name, in requests per second, and the time for which they do. */
const MAXIMUM_LIMIT = 8;
const LIMITED_MS = 9_000;

/** Time after a server first names a limit from which on it has to be kept. */
const CONTACT_MS = 3_000;

/** A request that ends its servers, and the time for which its caller repeats it. */
const HARMFUL = { path: '/draft/harmful', afterMs: 60, downMs: 400 };
const HARMFUL_REQUEST = { kind: 'draft', account: ACCOUNTS[0] ?? '', path: HARMFUL.path, body: 'harmful' } as const;
const REPEATED_MS = 6_000;
const REPEAT_INTERVAL_MS = 250;

/**
 * Time target for the pauses between events. Events have 5 tokens, so streams must be fast, and the parts of the router that
 * depend on measured speeds are in force.
 */
const PAUSE_TARGET_MS = 150;

/** Mean work time that servers report, in percent of the usual. */
const USUAL_WORK_TIME = 100;
const MINIMUM_WORK_TIME = 50;
const WORK_TIME_JITTER = 250;
const SPEED_INTERVAL_MS = 500;

/** Callers that read slowly or send what they do not finish or read, at one router at a time. */
const PRESSURE_MS = 1_500;
const PRESSURE_PAUSE_MS = 300;
const CROWD_CONNECTIONS = 16;
const SLOW_CALLERS = 6;
const SLOW_OUTPUT_TOKENS = 200;
const MAXIMUM_READ_PAUSE_MS = 40;

/** Fraction of the periods of pressure in which the router is ended half-way. */
const ENDED_FRACTION = 0.5;

/** Time within which a router that is not frozen reports its metrics; longer than a router is frozen. */
const METRICS_TIMEOUT_MS = 2_000;

/** Pause after which a caller takes a broken stream up again. */
const TAKE_UP_DELAY_MS = 300;

/** What is run, and for how long. */
export interface SoakOptions {
	/** Seed of faults and calls. */
	readonly seed: number;
	/** Time during which faults are injected, in milliseconds. */
	readonly durationMs: number;
	/** Third number of the loopback addresses of the routers. */
	readonly network: number;
	/** Whether callers read slowly, or send what they do not finish or read. Routers then pass on most requests. */
	readonly hasPressure: boolean;
	/** Number of routers, 4 by default; more than 16 divide their assignments. */
	readonly routers?: number;
}

/** Result of a run. */
export interface SoakResult {
	readonly seed: number;
	readonly calls: number;
	readonly answered: number;
	/** Injected faults in the order of their start. */
	readonly faults: readonly string[];
	/** Violated guarantees; empty when there are none. */
	readonly violations: readonly string[];
	/** Routers that passed requests on, so that their regard for notices and crashes of servers was not checked. */
	readonly passingOn: readonly string[];
	/** Highest resident memory of a router in megabytes. */
	readonly peakMegabytes: number;
}

/**
 * Runs router processes against the platform stand-in while random faults are injected, and checks the responses that
 * callers receive and the requests that backend servers run.
 *
 * @param options what is run, and for how long
 * @returns counts, injected faults and violated guarantees
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
	const { seed, durationMs, network, hasPressure, routers = DEFAULT_ROUTERS } = options;
	const generator = xoroshiro128plus(seed);
	const random = (): number => uniformFloat64(generator);
	const group = ProcessGroup.create();
	const platform = await UsersPlatform.start({ engines: 3, plainServers: 3 }, random);
	platform.setPauseTarget(PAUSE_TARGET_MS);
	platform.setMaximumBodyBytes(MAXIMUM_BODY_BYTES);
	platform.configure();
	platform.engines.forEach((engine) => engine.setWorkTime(USUAL_WORK_TIME));
	const relay = Relay.create(0);
	const watch = RouterWatch.create();
	try {
		const stores = new Map<string, string>();
		for (let index = 1; index <= routers; index++) {
			const name = `router-${index}`;
			stores.set(name, await relay.add({ from: name, to: 'store', target: platform.storeAddress }));
		}
		const fleet = PlatformFleet.create(group, (name) => stores.get(name) ?? platform.storeAddress, network);
		for (let index = 1; index <= routers; index++) {
			watch.start(fleet, index);
		}
		await fleet.waitUntilReady();
		const run = new SoakRun(platform, fleet, watch, relay, random);
		await run.injectFor(durationMs, hasPressure);
		return { seed, ...(await run.finish()) };
	} finally {
		watch.dispose();
		await group.end();
		platform.dispose();
		relay.close();
	}
}

type SoakRequest = Pick<
	CallOptions,
	'kind' | 'account' | 'document' | 'promptTokens' | 'resumption' | 'path' | 'body'
> &
	Pick<CallOptions, 'outputTokens' | 'readPauseMs'>;

interface SoakCall {
	readonly request: SoakRequest;
	readonly result: Promise<CallResult>;
}

class SoakRun {
	private readonly results: Promise<CallResult>[] = [];
	private readonly takeUps: Promise<void>[] = [];
	private readonly sent = new Map<string, SentRequest>();
	private readonly interruptions: { readonly router: string; readonly from: number; until: number }[] = [];
	private readonly faults: string[] = [];
	private readonly injections: Promise<void>[] = [];
	private readonly down = new Set<string>();
	private readonly cut = new Set<string>();
	private readonly agents = new Map<string, http.Agent>();
	private softwareVersions = 1;
	private readonly passingOn = new Set<string>();

	public constructor(
		private readonly platform: UsersPlatform,
		private readonly fleet: PlatformFleet,
		private readonly watch: RouterWatch,
		private readonly relay: Relay,
		private readonly random: () => number,
	) {}

	public async injectFor(durationMs: number, hasPressure: boolean): Promise<void> {
		const end = performance.now() + durationMs;
		const calls = [this.callUntil(end), this.changeSpeedsUntil(end), ...(hasPressure ? [this.pressUntil(end)] : [])];
		while (performance.now() < end) {
			await sleep(MINIMUM_FAULT_PAUSE_MS + this.random() * FAULT_PAUSE_JITTER_MS);
			this.injections.push(this.injectRandomFault());
		}
		await Promise.all(calls);
	}

	public async finish(): Promise<Omit<SoakResult, 'seed'>> {
		await Promise.all(this.injections);
		this.platform.store.setFaults({ mode: 'up', delay_ms: 0, lose_answers: 0 });
		this.platform.engines.forEach((engine) => {
			engine.setFaults({});
			engine.setNotices({});
			engine.setWorkTime(USUAL_WORK_TIME);
		});
		const version = this.platform.configure();
		const violations: string[] = [];
		try {
			await pollUntil(RECOVERY_LIMIT_MS, 'all routers serve requests', () => this.checkAllServe());
			await pollUntil(RECOVERY_LIMIT_MS, `version ${version} is in force`, () => this.checkVersion(version));
		} catch (error) {
			violations.push(String(error));
		}
		await Promise.all(this.takeUps);
		const results = await Promise.all(this.results);
		violations.push(...this.findViolations(results), ...(await this.findServerViolations()));
		violations.push(...findJoinedVersions(this.platform.executions()));
		violations.push(...this.watch.findViolations());
		this.agents.forEach((agent) => agent.destroy());
		const answered = results.filter(({ status, whole }) => status === 200 && whole).length;
		return {
			calls: results.length,
			answered,
			faults: this.faults,
			violations,
			passingOn: [...this.passingOn],
			peakMegabytes: this.watch.peakMegabytes,
		};
	}

	private async callUntil(end: number): Promise<void> {
		const kinds = Object.keys(ROUTES) as readonly RequestKind[];
		while (performance.now() < end) {
			const call = this.call({
				kind: this.pickRandom(kinds),
				account: this.pickRandom(ACCOUNTS),
				document: Math.floor(this.random() * DOCUMENTS),
				promptTokens: Math.floor(this.random() ** 3 * 20_000),
			});
			this.results.push(call.result);
			this.takeUps.push(this.takeUpWhenBroken(call));
			await sleep(CALL_INTERVAL_MS);
		}
	}

	private async changeSpeedsUntil(end: number): Promise<void> {
		while (performance.now() < end) {
			this.pickRandom(this.platform.engines).setWorkTime(MINIMUM_WORK_TIME + this.random() * WORK_TIME_JITTER);
			await sleep(SPEED_INTERVAL_MS);
		}
	}

	/** Puts one router after the other under pressure by callers. */
	private async pressUntil(end: number): Promise<void> {
		while (performance.now() < end) {
			const router = this.pickRandom(this.fleet.startedRouters);
			const signal = this.pickRandom(['SIGKILL', 'SIGTERM'] as const);
			const isEnded = this.random() < ENDED_FRACTION;
			const kind = this.random() < 0.5 ? 'slow reading' : this.pickRandom(Object.keys(HOSTILE_TRAFFIC));
			this.faults.push(`callers: ${kind} (${router.name}${isEnded ? `, ${signal}` : ''})`);
			const pressure = this.press(router, kind);
			if (isEnded) {
				await sleep(PRESSURE_MS / 2);
				this.injections.push(this.injectInterruption(router, () => this.restart(router, signal)));
			}
			await pressure;
			await sleep(PRESSURE_PAUSE_MS);
		}
	}

	private async press(router: PlatformRouterProcess, kind: string): Promise<void> {
		const traffic = HOSTILE_TRAFFIC[kind];
		if (traffic !== undefined) {
			const crowd = HostileCrowd.create();
			await crowd.run(router, traffic, CROWD_CONNECTIONS, PRESSURE_MS);
			crowd.close();
			return;
		}
		for (let index = 0; index < SLOW_CALLERS; index++) {
			const stream: RequestKind = index % 2 === 0 ? 'draft' : 'note';
			const request = {
				...{ kind: stream, account: this.pickRandom(ACCOUNTS), outputTokens: SLOW_OUTPUT_TOKENS },
				...{ path: `${ROUTES[stream].prefix}${LARGE_EVENTS}`, readPauseMs: this.random() * MAXIMUM_READ_PAUSE_MS },
			} as const;
			const call = this.call(request, router);
			this.results.push(call.result);
			this.takeUps.push(this.takeUpWhenBroken(call));
		}
		await sleep(PRESSURE_MS);
	}

	/** Sends a request to a router, a random one by default. */
	private call(request: SoakRequest, router = this.pickRandom(this.fleet.startedRouters)): SoakCall {
		const id = randomBytes(8).toString('hex');
		this.sent.set(id, { router: router.name, at: performance.now() });
		const agent = this.random() < 0.5 ? this.agentOf(router) : undefined;
		return { request, result: callRouter({ id, host: router.host, port: router.port, agent, ...request }) };
	}

	/** Takes a stream up again, at any router, when it was broken off after an event. */
	private async takeUpWhenBroken({ request, result }: SoakCall): Promise<void> {
		const { id, whole, lastEvent } = await result;
		if (whole || lastEvent === 0 || !ROUTES[request.kind].resumable) {
			return;
		}
		await sleep(TAKE_UP_DELAY_MS);
		const call = this.call({ ...request, resumption: { firstAttempt: id, lastEvent } });
		this.results.push(call.result);
		await call.result;
	}

	private async injectRandomFault(): Promise<void> {
		const faultMs = this.random() * MAXIMUM_FAULT_MS;
		const router = this.pickRandom(this.fleet.startedRouters);
		const engine = this.pickRandom(this.platform.engines);
		const choices: Readonly<Record<string, () => Promise<void>>> = {
			kill: () => this.injectInterruption(router, () => this.restart(router, 'SIGKILL')),
			terminate: () => this.injectInterruption(router, () => this.restart(router, 'SIGTERM')),
			freeze: () =>
				this.injectInterruption(router, async () => {
					router.program.process.kill('SIGSTOP');
					await sleep(faultMs);
					router.program.process.kill('SIGCONT');
				}),
			'cut from the store': async () => {
				this.cut.add(router.name);
				this.updatePartition();
				await sleep(faultMs);
				this.cut.delete(router.name);
				this.updatePartition();
			},
			'store silent': async () => {
				this.platform.store.setFaults({ mode: 'hanging' });
				await sleep(faultMs);
				this.platform.store.setFaults({ mode: 'up' });
			},
			'store refuses': async () => {
				this.platform.store.setFaults({ mode: 'refused' });
				await sleep(faultMs);
				this.platform.store.setFaults({ mode: 'up' });
			},
			'store loses answers': async () => {
				this.platform.store.setFaults({ lose_answers: 0.4, delay_ms: 100 });
				await sleep(faultMs);
				this.platform.store.setFaults({ lose_answers: 0, delay_ms: 0 });
			},
			'store restored from an older copy': async () => {
				const copy = this.platform.store.copy();
				await sleep(faultMs);
				this.platform.store.restore(copy);
				await sleep(this.random() * MAXIMUM_REWRITE_DELAY_MS);
				this.platform.configure();
			},
			'history dropped': () => {
				this.platform.store.compact();
				return Promise.resolve();
			},
			'server crash': () => {
				engine.crash(faultMs);
				return Promise.resolve();
			},
			'answers lost': async () => {
				engine.setFaults({ resetRate: 0.3, failureRate: 0.1 });
				await sleep(faultMs);
				engine.setFaults({});
			},
			'server leaves': async () => {
				this.platform.setServerState(engine.options.id, this.random() < 0.5 ? 'draining' : undefined);
				await sleep(faultMs);
				this.platform.setServerState(engine.options.id, 'ready');
			},
			'server reports that it is leaving': async () => {
				engine.setNotices({ leaving: true });
				await sleep(DRAIN_MS + faultMs);
				this.platform.replaceServer(engine.options.id);
			},
			'server rejects requests': async () => {
				engine.setNotices({
					refusalRate: REJECTED_FRACTION,
					retryAfterSeconds: 0.5 + this.random() * MAXIMUM_BACKOFF_SECONDS,
				});
				await sleep(faultMs);
				engine.setNotices({});
			},
			'server names a limit': async () => {
				engine.setNotices({ requestsPerSecond: 0.5 + this.random() * MAXIMUM_LIMIT });
				await sleep(LIMITED_MS);
				engine.setNotices({});
			},
			'server is replaced by another software version': async () => {
				this.softwareVersions++;
				await this.platform.updateServer(engine.options.id, `v${this.softwareVersions}`, DRAIN_MS);
			},
			'a caller repeats a request that ends its servers': async () => {
				this.platform.engines.forEach((one) => one.setHarmful(HARMFUL));
				for (const end = performance.now() + REPEATED_MS; performance.now() < end;) {
					await this.call(HARMFUL_REQUEST).result;
					await sleep(REPEAT_INTERVAL_MS);
				}
			},
			'configuration changes': () => {
				this.platform.configure();
				return Promise.resolve();
			},
		};
		const name = this.pickRandom(Object.keys(choices));
		this.faults.push(`${name} (${router.name}, ${engine.options.id}, ${Math.round(faultMs)} ms)`);
		await choices[name]?.();
	}

	/** Injects a fault and records its period, in which the router may lose or miss notices from servers. */
	private async injectInterruption(router: PlatformRouterProcess, fault: () => Promise<void>): Promise<void> {
		const interruption = { router: router.name, from: performance.now(), until: Infinity };
		this.interruptions.push(interruption);
		await fault();
		interruption.until = performance.now();
	}

	private updatePartition(): void {
		const reaching = this.fleet.startedRouters.map(({ name }) => name).filter((name) => !this.cut.has(name));
		this.relay.partition([['store', ...reaching], ...[...this.cut].map((name) => [name])]);
	}

	private async restart(router: PlatformRouterProcess, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
		if (this.down.has(router.name)) {
			return;
		}
		this.down.add(router.name);
		// The counts of a router are lost with it.
		await this.notePassingOn(router);
		// The router may have been restarted since it was picked.
		const { program } = this.fleet.startedRouters.find(({ name }) => name === router.name) ?? router;
		await this.watch.end(program, signal);
		this.watch.start(this.fleet, Number(router.name.slice('router-'.length)));
		this.down.delete(router.name);
	}

	private async checkAllServe(): Promise<true | string> {
		for (const { host, port, name } of this.fleet.startedRouters) {
			const result = await callRouter({ host, port, kind: 'lookup', account: this.pickRandom(ACCOUNTS) });
			if (result.status !== 200) {
				return `${name} answers ${result.status}`;
			}
		}
		return true;
	}

	private async checkVersion(version: number): Promise<true | string> {
		for (const router of this.fleet.startedRouters) {
			const inForce = await this.fleet.sumMetric(router, 'masticloom_router_configuration_version');
			if (inForce !== version) {
				return `${router.name} has version ${inForce}`;
			}
		}
		return true;
	}

	/** Compares the responses that callers received with the requests that servers ran. */
	private findViolations(results: readonly CallResult[]): readonly string[] {
		const executionCounts = new Map<string, number>();
		for (const { requestId, firstEvent } of this.platform.executions()) {
			// A resumed stream is not a new run.
			executionCounts.set(requestId, (executionCounts.get(requestId) ?? 0) + (firstEvent === 1 ? 1 : 0));
		}
		const unsent = this.platform.executions().filter(({ requestId }) => requestId !== '' && !this.sent.has(requestId));
		const orders = new Set(
			unsent.filter(({ path }) => path.startsWith(ROUTES.order.prefix)).map((run) => run.requestId),
		);
		const repeated = [...orders].filter((id) => (executionCounts.get(id) ?? 0) > 1);
		const unfinished = this.platform.executions().filter(({ path }) => path === UNFINISHED_PATH);
		const ofCrowds = [
			...repeated.map((id) => `pipelined order ${id} ran ${executionCounts.get(id) ?? 0} times`),
			...unfinished.map(({ requestId }) => `order ${requestId} ran although its body has no end`),
		];
		const ofCalls = results.flatMap(({ id, kind, status, fault }) => {
			const count = executionCounts.get(id) ?? 0;
			const mayRepeat = ROUTES[kind].type === 'safe' || ROUTES[kind].resumable;
			return [
				...(fault === undefined ? [] : [`${kind} ${id}: ${fault}`]),
				...(!mayRepeat && count > 1 ? [`${kind} ${id} ran ${count} times`] : []),
				...(!mayRepeat && [408, 421, 429, 503].includes(status) && count > 0
					? [`${kind} ${id} got ${status} but ran`]
					: []),
				...([401, 404].includes(status) ? [`${kind} ${id} got ${status} on a route that its account may use`] : []),
			];
		});
		return [...ofCalls, ...ofCrowds];
	}

	private async findServerViolations(): Promise<readonly string[]> {
		await Promise.all(this.fleet.startedRouters.map((router) => this.notePassingOn(router)));
		// Servers cannot determine which router sent a request that was passed on.
		const sentRequest = (requestId: string): SentRequest | undefined => {
			const sent = this.sent.get(requestId);
			return sent === undefined || this.passingOn.has(sent.router) ? undefined : sent;
		};
		const wasInterrupted = (router: string, from: number, to: number): boolean =>
			this.interruptions.some((one) => one.router === router && one.from <= to && one.until >= from);
		const executions = this.platform.executions().filter(({ path }) => path === HARMFUL.path);
		const crashes = findCrashViolations({ executions, sentRequest, wasInterrupted, contactMs: CONTACT_MS });
		const notices = this.platform.engines.flatMap(({ arrivals, limitPeriods }) => [
			...findNoticeViolations({ arrivals, sentRequest, wasInterrupted, drainMs: DRAIN_MS }),
			...findLimitViolations({ arrivals, limitPeriods, sentRequest, wasInterrupted, contactMs: CONTACT_MS }),
		]);
		return [...crashes, ...notices];
	}

	/** Notes whether a router has handed requests over to others or passed connections on to them. */
	private async notePassingOn(router: PlatformRouterProcess): Promise<void> {
		const counts = ['masticloom_gateway_handovers_total', 'masticloom_router_relayed_connections'].map((name) =>
			this.fleet.sumMetric(router, name),
		);
		const passedOn = await withTimeout(METRICS_TIMEOUT_MS, 'no metrics', Promise.all(counts)).catch(() => [Infinity]);
		if (passedOn.some((count) => count > 0)) {
			this.passingOn.add(router.name);
		}
	}

	private agentOf({ name }: PlatformRouterProcess): http.Agent {
		let agent = this.agents.get(name);
		if (agent === undefined) {
			agent = new http.Agent({ keepAlive: true, maxSockets: SOCKETS_PER_ROUTER });
			this.agents.set(name, agent);
		}
		return agent;
	}

	private pickRandom<T>(items: readonly T[]): T {
		const item = items[Math.floor(this.random() * items.length)];
		if (item === undefined) {
			throw new Error('cannot pick from an empty list');
		}
		return item;
	}
}
