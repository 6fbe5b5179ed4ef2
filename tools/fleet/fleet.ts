import { Effect } from 'effect';
import type { ConfigurationContent } from '../../src/configuration/common/model.js';
import { ConfigurationPublisher } from '../../src/configuration/node/configurationPublisher.js';
import { EtcdStore } from '../../src/store/node/etcdStore.js';
import { callJson } from './httpJson.js';
import { rejectIfExited, ProcessGroup, type Program, pollUntil } from './processes.js';
import { formatRouterSettings } from './routerSettings.js';

const ROUTER_PROGRAM = 'src/daemon/node/main.js';
const READY_TIMEOUT_MS = 20_000;
// Well above the 4 s within which a configuration must take effect. This is only a timeout; the 4 s are not checked here.
const APPLY_TIMEOUT_MS = 15_000;
const FAILURE_DOMAIN_COUNT = 4;

/** Which processes a fleet consists of. */
export interface FleetOptions {
	readonly routers: number;
	/** Slots of each model engine; one engine for each element. */
	readonly engineSlots: readonly number[];
	/** Time in which an engine generates one token, in milliseconds. */
	readonly tokenMs: number;
	/** Slots of each plain service; one service for each element. */
	readonly plainSlots: readonly number[];
	/** One-way delay between routers in milliseconds, added by a relay; routers connect directly when absent. */
	readonly delayMs?: number;
}

/** A stand-in for a backend server. */
export interface BackendStandIn {
	readonly id: string;
	readonly kind: 'model-engine' | 'plain';
	readonly url: string;
	readonly slots: number;
}

/** A router process and its addresses, which do not change when it is restarted. */
export interface RouterProcess {
	readonly name: string;
	readonly callersUrl: string;
	readonly adminUrl: string;
	readonly peerAddress: string;
	readonly settingsPath: string;
	program: Program;
}

/** Routers and stand-ins that run as child processes on loopback addresses. */
export class Fleet {
	public readonly routers: RouterProcess[] = [];
	public readonly backends: BackendStandIn[] = [];
	/** Base URL of the control API of the platform stand-in. */
	public platformUrl = '';
	public storeUrl = '';
	public instanceListUrl = '';
	private relayUrl: string | undefined;
	private readonly processes = ProcessGroup.create();

	private constructor(private readonly options: FleetOptions) {}

	/**
	 * Starts all stand-ins and routers. The routers become ready once a configuration is applied.
	 *
	 * @param options what to start
	 * @returns the running fleet; the caller must call {@link end}
	 * @throws Error when a process exits early; all processes started so far are ended first
	 */
	public static async start(options: FleetOptions): Promise<Fleet> {
		const fleet = new Fleet(options);
		try {
			await fleet.startPlatform();
			await fleet.startBackends();
			await fleet.startRouters();
			return fleet;
		} catch (error) {
			await fleet.end();
			throw error;
		}
	}

	/**
	 * Publishes a configuration to the store.
	 *
	 * @param content the complete configuration
	 * @returns the accepted version
	 * @throws Error when the configuration is rejected
	 */
	public async publish(content: ConfigurationContent): Promise<number> {
		const publisher = ConfigurationPublisher.create(EtcdStore.create(this.storeUrl));
		const { version } = await Effect.runPromise(
			Effect.flatMap(publisher.load(), (base) => publisher.publish(base, content)),
		);
		return version;
	}

	/**
	 * Publishes a configuration and waits until every router has applied it.
	 *
	 * @param content the complete configuration
	 * @throws Error when the configuration is rejected or a router has not applied it within 15 s
	 */
	public async apply(content: ConfigurationContent): Promise<void> {
		const version = await this.publish(content);
		for (const router of this.routers) {
			const applied = pollUntil(APPLY_TIMEOUT_MS, `configuration ${version} applied by ${router.name}`, async () => {
				const state = (await callJson('GET', `${router.adminUrl}/state`)) as {
					readonly configuration: { readonly version?: number };
				};
				return (state.configuration.version ?? 0) >= version || `version ${state.configuration.version ?? 0}`;
			});
			await rejectIfExited(router.program, applied);
		}
	}

	/**
	 * Waits until routers report that they are ready.
	 *
	 * @param routers routers to wait for; all by default
	 * @throws Error when a router exits or is not ready within 20 s
	 */
	public async waitUntilReady(routers: readonly RouterProcess[] = this.routers): Promise<void> {
		await Promise.all(
			routers.map((router) =>
				rejectIfExited(
					router.program,
					pollUntil(READY_TIMEOUT_MS, `${router.name} ready`, async () => {
						const response = await fetch(`${router.adminUrl}/readyz`);
						const reason = await response.text();
						return response.status === 200 || reason;
					}),
				),
			),
		);
	}

	/**
	 * Starts a router again with the same settings, after its process has exited.
	 *
	 * @param router the router to restart
	 */
	public restart(router: RouterProcess): void {
		router.program = this.processes.start(router.name, ROUTER_PROGRAM, ['--settings', router.settingsPath]);
	}

	/**
	 * Runs a program of this repository and waits until it exits.
	 *
	 * @param name name used in messages
	 * @param script path of the compiled program, relative to dist/
	 * @param programArguments command-line arguments
	 * @returns the last lines of its output, at most 20
	 * @throws Error when the exit code is not 0
	 */
	public async runProgram(
		name: string,
		script: string,
		programArguments: readonly string[],
	): Promise<readonly string[]> {
		const program = this.processes.start(name, script, programArguments);
		const status = await program.exit;
		if (status !== 0) {
			throw new Error(`${name} ended with ${status}:\n${program.lastLines.join('\n')}`);
		}
		return program.lastLines;
	}

	/**
	 * Writes a temporary file, which {@link end} removes.
	 *
	 * @param name file name
	 * @param text content
	 * @returns path of the file
	 */
	public writeFile(name: string, text: string): string {
		return this.processes.writeFile(name, text);
	}

	/**
	 * Blocks the connections between groups of routers.
	 *
	 * @param groups names of the routers of each group, which still reach each other; an empty list removes the partition
	 */
	public async partition(groups: readonly (readonly string[])[]): Promise<void> {
		await callJson('POST', `${this.relayUrl ?? ''}/control/partition`, { groups });
	}

	/** @returns bytes that routers have sent to each other since the fleet started; 0 without a relay */
	public async peerBytes(): Promise<number> {
		if (this.relayUrl === undefined) {
			return 0;
		}
		const counts = (await callJson('GET', `${this.relayUrl}/control/bytes`)) as Record<string, { sent: number }>;
		return Object.values(counts).reduce((sum, count) => sum + count.sent, 0);
	}

	/** Kills all processes and removes all temporary files. */
	public async end(): Promise<void> {
		await this.processes.end();
	}

	private async startPlatform(): Promise<void> {
		const { ready } = await this.processes.startStandIn('platform', 'standins/platform/main.js', []);
		this.platformUrl = `http://${String(ready.address)}`;
		this.storeUrl = String(ready.store);
		this.instanceListUrl = String(ready.instances);
	}

	private async startBackends(): Promise<void> {
		const { engineSlots, plainSlots, tokenMs } = this.options;
		const engineArguments = ['--token-ms', String(tokenMs)];
		const engines = await Promise.all(
			groupBySlots(engineSlots).map(([slots, count]) => this.startStandIns('engine', slots, count, engineArguments)),
		);
		const services = await Promise.all(
			groupBySlots(plainSlots).map(([slots, count]) => this.startStandIns('plainService', slots, count, [])),
		);
		const register = (kind: BackendStandIn['kind'], started: readonly (readonly [string, number])[]): void => {
			started.forEach(([url, slots], index) => {
				const id = `${kind === 'plain' ? 'application' : 'engine'}-${index + 1}`;
				this.backends.push({ id, kind, url, slots });
			});
		};
		register('model-engine', engines.flat());
		register('plain', services.flat());
		await callJson(
			'POST',
			`${this.platformUrl}/control/instances`,
			this.backends.map((backend, index) => ({
				instance: backend.id,
				role: 'backend',
				address: backend.url.replace('http://', ''),
				failure_domain: failureDomainOf(index),
			})),
		);
	}

	private async startStandIns(
		program: 'engine' | 'plainService',
		slots: number,
		count: number,
		additionalArguments: readonly string[],
	): Promise<readonly (readonly [string, number])[]> {
		const { ready } = await this.processes.startStandIn(program, `standins/${program}/main.js`, [
			...['--slots', String(slots), '--count', String(count)],
			...additionalArguments,
		]);
		return (ready.addresses as readonly string[]).map((url) => [url, slots] as const);
	}

	private async startRouters(): Promise<void> {
		const names = Array.from({ length: this.options.routers }, (_, index) => `router-${index + 1}`);
		const preparedRouters = await Promise.all(names.map((name, index) => this.prepareRouter(name, index)));
		await callJson(
			'POST',
			`${this.platformUrl}/control/instances`,
			preparedRouters.map((router, index) => ({
				instance: router.name,
				role: 'router',
				address: router.peerAddress,
				failure_domain: failureDomainOf(index),
				labels: { admin: router.adminUrl.replace('http://', '') },
			})),
		);
		if (this.options.delayMs !== undefined) {
			await this.startRelay(preparedRouters, this.options.delayMs);
		}
		for (const router of preparedRouters) {
			const program = this.processes.start(router.name, ROUTER_PROGRAM, ['--settings', router.settingsPath]);
			this.routers.push({ ...router, program });
		}
	}

	private async prepareRouter(name: string, index: number): Promise<Omit<RouterProcess, 'program'>> {
		const ports = { callers: await this.processes.findFreePort(), peers: await this.processes.findFreePort() };
		const admin = await this.processes.findFreePort();
		const settings = formatRouterSettings({
			...{ name, failureDomain: failureDomainOf(index), callersPort: ports.callers, peersPort: ports.peers },
			...{ adminPort: admin, storeUrl: this.storeUrl, instanceListUrl: `${this.instanceListUrl}?viewer=${name}` },
		});
		return {
			name,
			callersUrl: `http://127.0.0.1:${ports.callers}`,
			adminUrl: `http://127.0.0.1:${admin}`,
			peerAddress: `127.0.0.1:${ports.peers}`,
			settingsPath: this.processes.writeFile(`${name}.ini`, settings),
		};
	}

	private async startRelay(routers: readonly Omit<RouterProcess, 'program'>[], delayMs: number): Promise<void> {
		const { ready } = await this.processes.startStandIn('relay', 'standins/relay/main.js', [
			'--delay-ms',
			String(delayMs),
		]);
		const url = String(ready.address);
		this.relayUrl = url;
		for (const from of routers) {
			const addresses: Record<string, string> = {};
			for (const to of routers.filter((other) => other !== from)) {
				const pair = { from: from.name, to: to.name, target: to.peerAddress };
				const { address } = (await callJson('POST', `${url}/control/pairs`, pair)) as { readonly address: string };
				addresses[to.name] = address;
			}
			await callJson('POST', `${this.platformUrl}/control/views`, { viewer: from.name, addresses });
		}
	}
}

function groupBySlots(slots: readonly number[]): readonly (readonly [number, number])[] {
	return [...new Set(slots)].map((one) => [one, slots.filter((other) => other === one).length] as const);
}

function failureDomainOf(index: number): string {
	return `east-${(index % FAILURE_DOMAIN_COUNT) + 1}`;
}
