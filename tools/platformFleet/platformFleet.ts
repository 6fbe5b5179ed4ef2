import { readFileSync } from 'node:fs';
import * as http from 'node:http';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { buildSync } from 'esbuild';
import { type Program, ProcessGroup, pollUntil } from '../fleet/processes.js';

const READY_TIMEOUT_MS = 15_000;
const CALLERS_PORT = 18_783;
const READINESS_PORT = 18_780;
const PEERS_PORT = 18_785;
const FIRST_PEER_PORT = 17_400;
const LAST_PEER_PORT = 17_415;

/** Root of the repository, whether this file runs from source or from dist/. */
const REPOSITORY_ROOT = fileURLToPath(
	new URL(import.meta.url.includes('/dist/') ? '../../../' : '../../', import.meta.url),
);

/** @returns the memory flags with which the deployment starts Node.js, as a value of `NODE_OPTIONS` */
export function deployedNodeOptions(): string {
	const command = readFileSync(join(REPOSITORY_ROOT, 'deploy/system.toml'), 'utf8');
	return (command.match(/--max-[a-z-]+=\d+/g) ?? []).join(' ');
}

/** A process that runs a router of the platform. */
export interface PlatformRouterProcess {
	readonly name: string;
	readonly host: string;
	readonly port: number;
	readonly program: Program;
}

/** Router processes of the platform. Each has its own loopback address; all use the same ports. */
export class PlatformFleet {
	private readonly routers = new Map<string, PlatformRouterProcess>();

	private constructor(
		private readonly group: ProcessGroup,
		private readonly script: string,
		private readonly storeAddressOf: (name: string) => string,
		/** Third number of the loopback addresses, so that several fleets can run on one machine. */
		private readonly network: number,
	) {}

	/**
	 * Bundles the router program like the deployment does. No router is started.
	 *
	 * @param group process group that the routers are started in
	 * @param storeAddressOf returns the address of the store for a router's name
	 * @param network number from 1 to 250 that no other fleet on this machine uses
	 * @returns a fleet without routers
	 */
	public static create(group: ProcessGroup, storeAddressOf: (name: string) => string, network: number): PlatformFleet {
		const script = group.writeFile('masticloom.cjs', '');
		buildSync({
			entryPoints: [join(REPOSITORY_ROOT, 'platform/main.ts')],
			outfile: script,
			bundle: true,
			platform: 'node',
			target: 'node20',
			format: 'cjs',
		});
		return new PlatformFleet(group, script, storeAddressOf, network);
	}

	/** Kills the last started process of each router, and waits until all have ended. */
	public async killAll(): Promise<void> {
		const processes = this.startedRouters.map(({ program }) => program);
		processes.forEach(({ process }) => process.kill('SIGKILL'));
		await Promise.all(processes.map(({ exit }) => exit));
	}

	/** The last started process of each router. */
	public get startedRouters(): readonly PlatformRouterProcess[] {
		return [...this.routers.values()];
	}

	/**
	 * Starts a router, or restarts it after its process has exited.
	 *
	 * @param index number of the router, from 1
	 * @param settings fields of the settings file that differ from the defaults
	 * @param environment environment variables added to those of this process
	 * @returns the process, which may not be ready yet
	 */
	public start(
		index: number,
		settings: Readonly<Record<string, string>> = {},
		environment: Readonly<Record<string, string>> = {},
	): PlatformRouterProcess {
		const name = `router-${index}`;
		const host = this.hostOf(index);
		const values: Readonly<Record<string, string>> = {
			node_name: name,
			ip: host,
			zone: index % 2 === 0 ? 'mid-a' : 'mid-b',
			'listen.frontend': `${host}:${CALLERS_PORT}`,
			'listen.readiness': `${host}:${READINESS_PORT}`,
			'listen.control_plane': `${host}:${PEERS_PORT}`,
			port_range: `${FIRST_PEER_PORT},${LAST_PEER_PORT}`,
			seeds: `${this.hostOf(1)}:${PEERS_PORT},${this.hostOf(2)}:${PEERS_PORT}`,
			'platform.address': this.storeAddressOf(name),
			'bounds.retry_slack': '50',
			...settings,
		};
		const text = Object.entries(values)
			.map(([field, value]) => `${field}=${value}\n`)
			.join('');
		const path = this.group.writeFile(`${name}.conf`, text);
		const program = this.group.start(name, this.script, [], { ...environment, MASTICLOOM_SETTINGS: path });
		const router = { name, host, program, port: CALLERS_PORT };
		this.routers.set(name, router);
		return router;
	}

	/**
	 * @param router a started router
	 * @returns whether the router reports that it is ready
	 */
	public async isReady({ host }: PlatformRouterProcess): Promise<boolean> {
		return (await getText(host, '/readyz')).status === 200;
	}

	/** Waits until all routers are ready and each is connected to all others. */
	public async waitUntilReady(): Promise<void> {
		await Promise.all(
			this.startedRouters.map((router) =>
				pollUntil(READY_TIMEOUT_MS, `${router.name} is ready`, async () => {
					if (!(await this.isReady(router))) {
						return 'not ready';
					}
					const peers = await this.readMetric(router, 'masticloom_router_peers');
					return peers === this.startedRouters.length - 1 ? true : `${peers} peers`;
				}),
			),
		);
	}

	/**
	 * @param router a running router
	 * @param name name of a metric without labels
	 * @returns value of the metric; NaN when it is missing
	 */
	public async readMetric({ host }: PlatformRouterProcess, name: string): Promise<number> {
		const { text } = await getText(host, '/metrics');
		const value = new RegExp(`^${name} (.+)$`, 'm').exec(text)?.[1];
		return Number(value);
	}

	/**
	 * @param router a running router
	 * @param name name of a metric with labels
	 * @param label text that the labels of a value must contain; all values by default
	 * @returns sum of the values since the router started
	 */
	public async sumMetric({ host }: PlatformRouterProcess, name: string, label = ''): Promise<number> {
		const { text } = await getText(host, '/metrics');
		const labels = label === '' ? '(?:\\{.*\\})?' : `\\{.*${label}.*\\}`;
		const values = text.matchAll(new RegExp(`^${name}${labels} (.+)$`, 'gm'));
		return [...values].reduce((sum, [, value]) => sum + Number(value), 0);
	}

	/**
	 * @param router a running router
	 * @param reason reason of the refusals, as in the metrics
	 * @returns number of requests refused for this reason since the router started
	 */
	public countRefusals(router: PlatformRouterProcess, reason: string): Promise<number> {
		return this.sumMetric(router, 'masticloom_gateway_requests_total', `reason="${reason}"`);
	}

	private hostOf(index: number): string {
		return `127.0.${this.network}.${index}`;
	}
}

function getText(host: string, path: string): Promise<{ readonly status: number; readonly text: string }> {
	return new Promise((resolve, reject) => {
		const request = http.get({ host, path, port: READINESS_PORT, agent: false }, (response) => {
			let text = '';
			response.on('data', (chunk: Buffer) => (text += chunk.toString()));
			response.on('error', reject);
			response.on('end', () => resolve({ text, status: response.statusCode ?? 0 }));
		});
		request.on('error', reject);
	});
}
