import type { IDisposable } from '../../src/base/common/lifecycle.js';
import { PlatformStore } from './platformStore.js';
import { type PlatformServerOptions, PlatformServer } from './promptEngine.js';

const HEARTBEAT_MS = 1_200;
const MODEL_SERVICE = 'scribes';
const PLAIN_SERVICE = 'desk';
const DOMAINS = ['mid-a', 'mid-b'];

export const HOST = 'almanac.example';
export const ACCOUNTS = ['archive', 'harbour', 'printer'];

/** @returns the API key of an account */
export function apiKeyOf(account: string): string {
	return `key-of-${account}`;
}

/** Routes by kind of request. */
export const ROUTES = {
	draft: {
		prefix: '/draft/',
		type: 'streaming',
		service: MODEL_SERVICE,
		max_attempts: 1,
		resumable: false,
		slo_ms: 800,
	},
	note: { prefix: '/note/', type: 'streaming', service: MODEL_SERVICE, max_attempts: 2, resumable: true, slo_ms: 500 },
	order: { prefix: '/order/', type: 'unsafe', service: PLAIN_SERVICE, max_attempts: 1, resumable: false, slo_ms: 200 },
	lookup: { prefix: '/lookup/', type: 'safe', service: PLAIN_SERVICE, max_attempts: 2, resumable: false, slo_ms: 200 },
} as const;

/** Name of a kind of request. */
export type RequestKind = keyof typeof ROUTES;

/** Unix milliseconds at which the servers started. */
const FIRST_STARTED_AT_MS = 1_700_000_000_000;

/** Numbers of servers. */
export interface PlatformSize {
	readonly engines: number;
	readonly plainServers: number;
}

/** Stand-in for the users' platform: the store, the operator, model engines and plain servers. */
export class UsersPlatform implements IDisposable {
	private readonly registrations = new Map<
		string,
		{ readonly engine: PlatformServer; address: string; state: string; startedAt: number }
	>();
	private readonly heartbeat = setInterval(() => this.register(), HEARTBEAT_MS);
	private version = 0;
	private extraRoutes: readonly object[] = [];
	private maximumBodyBytes = 1_048_576;
	private pauseTargetMs = 500;
	private sequence = 0;
	private updates = 0;

	private constructor(
		public readonly store: PlatformStore,
		public readonly storeAddress: string,
		private readonly random: () => number,
	) {}

	/**
	 * Starts the platform and applies a first configuration.
	 *
	 * @param size numbers of servers
	 * @param random returns numbers from 0 to 1, which select the requests that fail
	 * @returns the running platform
	 */
	public static async start(size: PlatformSize, random: () => number): Promise<UsersPlatform> {
		const store = PlatformStore.create();
		const platform = new UsersPlatform(store, new URL(await store.listen(0)).host, random);
		for (let index = 1; index <= size.engines + size.plainServers; index++) {
			const options: PlatformServerOptions =
				index <= size.engines
					? { id: `engine-${index}`, slots: 32, tokensPerMs: 60, stepMs: 20, tokensPerEvent: 5 }
					: { id: `plain-${index}`, slots: 6, tokensPerMs: undefined, stepMs: 15, tokensPerEvent: 1 };
			const engine = PlatformServer.create(options, random);
			const address = new URL(await engine.listen()).host;
			const entry = { engine, address, state: 'ready', startedAt: FIRST_STARTED_AT_MS };
			platform.registrations.set(options.id, entry);
			engine.onDidRestart(() => {
				entry.startedAt++;
				platform.register();
			});
		}
		platform.register();
		platform.configure();
		return platform;
	}

	/** Servers of both kinds, without those that were replaced. */
	public get engines(): readonly PlatformServer[] {
		return [...this.registrations.values()].filter(({ state }) => state !== 'replaced').map(({ engine }) => engine);
	}

	/**
	 * Applies the next version of the configuration.
	 *
	 * @param revokedAccounts accounts whose keys are removed
	 * @returns the version
	 */
	public configure(revokedAccounts: readonly string[] = []): number {
		this.version += 1 + (this.version % 3);
		this.store.put('op/config', {
			version: this.version,
			routes: [
				...Object.entries(ROUTES).map(([name, route]) => ({
					...route,
					name,
					host: HOST,
					timeout_ms: 5_000,
					priority: 1,
					public: false,
					tpot_slo_ms: this.pauseTargetMs,
				})),
				...this.extraRoutes,
			],
			services: [
				{
					name: MODEL_SERVICE,
					health_path: '/healthz',
					max_conns: 200,
					backend: { slots: 32, kv_capacity: 500_000, stride: 5 },
				},
				{ name: PLAIN_SERVICE, health_path: '/healthz', max_conns: 96 },
			],
			limits: {
				max_header_bytes: 16_384,
				max_body_bytes: this.maximumBodyBytes,
				header_timeout_ms: 3_000,
				idle_timeout_ms: 15_000,
				tokens_per_s: 200_000,
			},
			tenants: ACCOUNTS.map((name) => ({ name, api_keys: revokedAccounts.includes(name) ? [] : [apiKeyOf(name)] })),
		});
		return this.version;
	}

	/** @param prefixes of additional routes to the plain service, from the next version of the configuration on */
	public setExtraRoutes(prefixes: readonly string[]): void {
		this.extraRoutes = prefixes.map((prefix) => ({
			...ROUTES.lookup,
			prefix,
			name: prefix,
			host: HOST,
			timeout_ms: 5_000,
		}));
	}

	/** @param bytes largest body that routers accept, from the next version of the configuration on */
	public setMaximumBodyBytes(bytes: number): void {
		this.maximumBodyBytes = bytes;
	}

	/** @param milliseconds target for the pauses between events, from the next version of the configuration on */
	public setPauseTarget(milliseconds: number): void {
		this.pauseTargetMs = milliseconds;
	}

	/**
	 * @param id of a server
	 * @param state in its registration; undefined removes the registration
	 */
	public setServerState(id: string, state: 'ready' | 'draining' | undefined): void {
		const entry = this.registrations.get(id);
		if (entry !== undefined && entry.state !== 'replaced') {
			entry.state = state ?? 'gone';
			this.register();
		}
	}

	/**
	 * Sets the software version that servers register with and serve.
	 *
	 * @param softwareVersion version
	 * @param ids of the servers
	 */
	public setVersion(softwareVersion: string, ids: readonly string[]): void {
		this.engines
			.filter(({ options }) => ids.includes(options.id))
			.forEach((engine) => (engine.softwareVersion = softwareVersion));
		this.register();
	}

	/**
	 * Replaces a server by a new incarnation, which registers at the same address.
	 *
	 * @param id of the server
	 */
	public replaceServer(id: string): void {
		const entry = this.registrations.get(id);
		if (entry !== undefined) {
			entry.engine.replace();
			entry.startedAt++;
			this.register();
		}
	}

	/**
	 * Starts a server with another software version and a new identifier, and lets the one that it replaces leave.
	 *
	 * @param id of the server that is replaced
	 * @param softwareVersion version of the new server
	 * @param drainMs milliseconds for which the old server serves on after it has reported that it is leaving
	 */
	public async updateServer(id: string, softwareVersion: string, drainMs: number): Promise<void> {
		const entry = this.registrations.get(id);
		if (entry?.state !== 'ready') {
			return;
		}
		const newId = `${id}-update-${++this.updates}`;
		const engine = PlatformServer.create({ ...entry.engine.options, id: newId }, this.random);
		engine.softwareVersion = softwareVersion;
		const address = new URL(await engine.listen()).host;
		this.registrations.set(newId, { engine, address, state: 'ready', startedAt: FIRST_STARTED_AT_MS });
		entry.state = 'draining';
		this.register();
		await new Promise((resolve) => setTimeout(resolve, drainMs));
		entry.state = 'replaced';
		this.register();
		await entry.engine.close();
	}

	/** @returns all executions at all servers, including those that were replaced */
	public executions(): readonly PlatformServer['runs'][number][] {
		return [...this.registrations.values()].flatMap(({ engine }) => engine.runs);
	}

	public dispose(): void {
		clearInterval(this.heartbeat);
		void this.store.close();
		[...this.registrations.values()].forEach(({ engine }) => void engine.close());
	}

	private register(): void {
		this.sequence++;
		let index = 0;
		for (const [id, { engine, address, state, startedAt }] of this.registrations) {
			const registration = {
				service: engine.options.tokensPerMs === undefined ? PLAIN_SERVICE : MODEL_SERVICE,
				address,
				zone: DOMAINS[index++ % DOMAINS.length],
				version: engine.softwareVersion,
				slots: engine.options.slots,
				state,
				seq: this.sequence,
				born: startedAt,
			};
			this.store.put(`servers/${id}`, state === 'gone' || state === 'replaced' ? undefined : registration);
		}
	}
}
