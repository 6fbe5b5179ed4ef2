import { Effect } from 'effect';
import type { ConfigurationContent } from '../../src/configuration/common/model.js';
import { ConfigurationPublisher } from '../../src/configuration/node/configurationPublisher.js';
import { EtcdStore } from '../../src/store/node/etcdStore.js';
import { callJson } from './httpJson.js';
import { rejectIfExited, ProcessGroup, type Program, pollUntil } from './processes.js';
import { formatRouterSettings } from './routerSettings.js';

const ROUTER_PROGRAM = 'src/daemon/node/main.js';
const READY_LIMIT_MS = 20_000;
// Well above the 4 s within which a configuration must be in force, which a scenario would check and this does not.
const APPLY_LIMIT_MS = 15_000;
const FAILURE_DOMAINS = 4;

/** Number and kind of processes of a fleet. */
export interface FleetOptions {
	readonly routers: number;
	/** Slots of each model engine. */
	readonly engineSlots: readonly number[];
	/** Pace of the engines: milliseconds per generated token. */
	readonly tokenMs: number;
	/** Slots of each plain service. */
	readonly plainSlots: readonly number[];
	/** One-way delay between routers in milliseconds; without it they connect directly. */
	readonly delayMs?: number;
}

/** A backend server stand-in. */
export interface BackendStandIn {
	readonly id: string;
	readonly kind: 'model-engine' | 'plain';
	readonly url: string;
	readonly slots: number;
}

/** One router process and its addresses, which stay the same over restarts. */
export interface RouterProcess {
	readonly name: string;
	readonly callersUrl: string;
	readonly adminUrl: string;
	readonly peerAddress: string;
	readonly settingsPath: string;
	program: Program;
}

/** Routers and stand-ins of one run, all of them child processes on loopback. */
export class Fleet {
	public readonly routers: RouterProcess[] = [];
	public readonly backends: BackendStandIn[] = [];
	/** Base URL of the platform stand-in's control commands. */
	public platformUrl = '';
	public storeUrl = '';
	public instanceListUrl = '';
	private relayUrl: string | undefined;
	private readonly group = ProcessGroup.create();

	private constructor(private readonly plan: FleetOptions) {}

	/**
	 * Starts all stand-ins and routers. The routers are not ready before a configuration is applied.
	 *
	 * @param plan what to start
	 * @returns the running fleet, which the caller must end
	 * @throws Error when a process ends early; everything started so far is ended then
	 */
	public static async start(plan: FleetOptions): Promise<Fleet> {
		const fleet = new Fleet(plan);
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
	 * Publishes a configuration.
	 *
	 * @param content the whole configuration
	 * @returns the accepted version
	 * @throws Error when it is not accepted
	 */
	public async publish(content: ConfigurationContent): Promise<number> {
		const publisher = ConfigurationPublisher.create(EtcdStore.create(this.storeUrl));
		const { version } = await Effect.runPromise(
			Effect.flatMap(publisher.load(), (base) => publisher.publish(base, content)),
		);
		return version;
	}

	/**
	 * Publishes a configuration and waits until every router has it.
	 *
	 * @param content the whole configuration
	 * @throws Error when it is not accepted or not in force in time
	 */
	public async apply(content: ConfigurationContent): Promise<void> {
		const version = await this.publish(content);
		for (const router of this.routers) {
			const inForce = pollUntil(APPLY_LIMIT_MS, `configuration ${version} in force on ${router.name}`, async () => {
				const state = (await callJson('GET', `${router.adminUrl}/state`)) as {
					readonly configuration: { readonly version?: number };
				};
				return (state.configuration.version ?? 0) >= version || `version ${state.configuration.version ?? 0}`;
			});
			await rejectIfExited(router.program, inForce);
		}
	}

	/** Waits until every router reports that it is ready. */
	public async waitUntilReady(routers: readonly RouterProcess[] = this.routers): Promise<void> {
		await Promise.all(
			routers.map((router) =>
				rejectIfExited(
					router.program,
					pollUntil(READY_LIMIT_MS, `${router.name} ready`, async () => {
						const response = await fetch(`${router.adminUrl}/readyz`);
						const reason = await response.text();
						return response.status === 200 || reason;
					}),
				),
			),
		);
	}

	/**
	 * Starts a router again with its settings, after its process has ended.
	 *
	 * @param router the router to restart
	 */
	public restart(router: RouterProcess): void {
		router.program = this.group.start(router.name, ROUTER_PROGRAM, ['--settings', router.settingsPath]);
	}

	/**
	 * Runs a program of this repository to its end.
	 *
	 * @param name name in messages
	 * @param script path of the compiled program below dist/
	 * @param programArguments its command line
	 * @returns all lines that it printed last
	 * @throws Error when it does not exit with 0
	 */
	public async runProgram(
		name: string,
		script: string,
		programArguments: readonly string[],
	): Promise<readonly string[]> {
		const program = this.group.start(name, script, programArguments);
		const status = await program.exit;
		if (status !== 0) {
			throw new Error(`${name} ended with ${status}:\n${program.lastLines.join('\n')}`);
		}
		return program.lastLines;
	}

	/**
	 * Writes a file that is removed with the fleet.
	 *
	 * @param name file name
	 * @param text content
	 * @returns path of the file
	 */
	public writeFile(name: string, text: string): string {
		return this.group.writeFile(name, text);
	}

	/**
	 * Cuts the connections between groups of routers.
	 *
	 * @param groups names of routers that still reach each other; none heals all
	 */
	public async partition(groups: readonly (readonly string[])[]): Promise<void> {
		await callJson('POST', `${this.relayUrl ?? ''}/control/partition`, { groups });
	}

	/** @returns bytes that routers sent to each other since the start; 0 without a relay */
	public async peerBytes(): Promise<number> {
		if (this.relayUrl === undefined) {
			return 0;
		}
		const counts = (await callJson('GET', `${this.relayUrl}/control/bytes`)) as Record<string, { sent: number }>;
		return Object.values(counts).reduce((sum, count) => sum + count.sent, 0);
	}

	/** Ends all processes and removes all files. */
	public async end(): Promise<void> {
		await this.group.end();
	}

	private async startPlatform(): Promise<void> {
		const { ready } = await this.group.startStandIn('platform', 'standins/platform/main.js', []);
		this.platformUrl = `http://${String(ready.address)}`;
		this.storeUrl = String(ready.store);
		this.instanceListUrl = String(ready.instances);
	}

	private async startBackends(): Promise<void> {
		const { engineSlots, plainSlots, tokenMs } = this.plan;
		const pace = ['--token-ms', String(tokenMs)];
		const engines = await Promise.all(
			bySlots(engineSlots).map(([slots, count]) => this.startStandIns('engine', slots, count, pace)),
		);
		const services = await Promise.all(
			bySlots(plainSlots).map(([slots, count]) => this.startStandIns('plainService', slots, count, [])),
		);
		const register = (kind: BackendStandIn['kind'], found: readonly (readonly [string, number])[]): void => {
			found.forEach(([url, slots], index) => {
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
				failure_domain: failureDomain(index),
			})),
		);
	}

	private async startStandIns(
		program: 'engine' | 'plainService',
		slots: number,
		count: number,
		options: readonly string[],
	): Promise<readonly (readonly [string, number])[]> {
		const { ready } = await this.group.startStandIn(program, `standins/${program}/main.js`, [
			...['--slots', String(slots), '--count', String(count)],
			...options,
		]);
		return (ready.addresses as readonly string[]).map((url) => [url, slots] as const);
	}

	private async startRouters(): Promise<void> {
		const names = Array.from({ length: this.plan.routers }, (_, index) => `router-${index + 1}`);
		const prepared = await Promise.all(names.map((name, index) => this.prepareRouter(name, index)));
		await callJson(
			'POST',
			`${this.platformUrl}/control/instances`,
			prepared.map((router, index) => ({
				instance: router.name,
				role: 'router',
				address: router.peerAddress,
				failure_domain: failureDomain(index),
				labels: { admin: router.adminUrl.replace('http://', '') },
			})),
		);
		if (this.plan.delayMs !== undefined) {
			await this.startRelay(prepared, this.plan.delayMs);
		}
		for (const router of prepared) {
			const program = this.group.start(router.name, ROUTER_PROGRAM, ['--settings', router.settingsPath]);
			this.routers.push({ ...router, program });
		}
	}

	private async prepareRouter(name: string, index: number): Promise<Omit<RouterProcess, 'program'>> {
		const ports = { callers: await this.group.findFreePort(), peers: await this.group.findFreePort() };
		const admin = await this.group.findFreePort();
		const settings = formatRouterSettings({
			...{ name, failureDomain: failureDomain(index), callersPort: ports.callers, peersPort: ports.peers },
			...{ adminPort: admin, storeUrl: this.storeUrl, instanceListUrl: `${this.instanceListUrl}?viewer=${name}` },
		});
		return {
			name,
			callersUrl: `http://127.0.0.1:${ports.callers}`,
			adminUrl: `http://127.0.0.1:${admin}`,
			peerAddress: `127.0.0.1:${ports.peers}`,
			settingsPath: this.group.writeFile(`${name}.ini`, settings),
		};
	}

	private async startRelay(routers: readonly Omit<RouterProcess, 'program'>[], delayMs: number): Promise<void> {
		const { ready } = await this.group.startStandIn('relay', 'standins/relay/main.js', ['--delay-ms', String(delayMs)]);
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

function bySlots(slots: readonly number[]): readonly (readonly [number, number])[] {
	return [...new Set(slots)].map((one) => [one, slots.filter((other) => other === one).length] as const);
}

function failureDomain(index: number): string {
	return `east-${(index % FAILURE_DOMAINS) + 1}`;
}
