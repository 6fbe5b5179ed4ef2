import * as http from 'node:http';
import { type IClock, systemClock } from '../../base/common/clock.js';
import { Emitter } from '../../base/common/event.js';
import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import { getLogger } from '../../base/node/log.js';
import type { IConfigurationService } from '../../configuration/common/configurationService.js';
import type { BackendServer } from '../../configuration/common/model.js';
import type { IMembershipService } from '../../membership/common/membershipService.js';
import { type LoadReport, parseLoadReport } from '../common/loadReport.js';
import { ServerHealth, type ServerState } from '../common/serverHealth.js';

const POLL_INTERVAL_MS = 500;
const POLL_TIMEOUT_MS = 1_000;

/** Failures at one server within this time cause a single additional poll. */
const FAILURE_POLL_DELAY_MS = 20;

const MAXIMUM_REPORT_BYTES = 1024 * 1024;

const log = getLogger('backends');

/** State of a backend server as shown to operators. */
export type BackendState = ServerState | 'leaving';

/** Polls the backend servers of the pools that this router schedules, and determines their health and slot limits. */
export class BackendMonitor extends Disposable {
	private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
	private readonly servers = new Map<string, ServerHealth>();
	private readonly pendingPolls = new Map<string, NodeJS.Timeout>();
	private readonly changeEmitter = this.register(Emitter.create<string>());

	/** Fires with the identifier of a backend server whose state or slot limit changed. */
	public readonly onDidChange = this.changeEmitter.event;

	private constructor(
		private readonly configuration: IConfigurationService,
		private readonly membership: Pick<IMembershipService, 'ownerOf' | 'isLeaving'>,
		private readonly local: string,
		private readonly clock: IClock,
	) {
		super();
		const timer = setInterval(() => this.pollOwned(), POLL_INTERVAL_MS);
		this.register(toDisposable(() => clearInterval(timer)));
		this.register(toDisposable(() => this.agent.destroy()));
		this.register(toDisposable(() => this.pendingPolls.forEach((pending) => clearTimeout(pending))));
	}

	/**
	 * @param configuration provides the backend servers
	 * @param membership provides the owners of pools and the leaving backend servers
	 * @param local name of this router
	 * @param clock measures the intervals between changes of slot limits
	 * @returns a monitor that polls until disposed
	 */
	public static create(
		configuration: IConfigurationService,
		membership: Pick<IMembershipService, 'ownerOf' | 'isLeaving'>,
		local: string,
		clock: IClock = systemClock,
	): BackendMonitor {
		return new BackendMonitor(configuration, membership, local, clock);
	}

	/**
	 * @param backendServer identifier in the configuration
	 * @param configured its slots in the configuration
	 * @returns maximum number of requests in progress on it; 0 when it is leaving, draining or down
	 */
	public slotLimit(backendServer: string, configured: number): number {
		if (this.membership.isLeaving(backendServer)) {
			return 0;
		}
		return this.servers.get(backendServer)?.slotLimit(configured) ?? configured;
	}

	/**
	 * @param backendServer identifier in the configuration
	 * @returns its state; `unknown` on routers that do not schedule its pool
	 */
	public stateOf(backendServer: string): BackendState {
		if (this.membership.isLeaving(backendServer)) {
			return 'leaving';
		}
		return this.servers.get(backendServer)?.state ?? 'unknown';
	}

	/**
	 * @param backendServer identifier in the configuration
	 * @returns its last reported load, on the router that schedules its pool
	 */
	public loadOf(backendServer: string): LoadReport | undefined {
		return this.servers.get(backendServer)?.load;
	}

	/**
	 * Polls a server soon, because it refused a router's request or its connection failed.
	 *
	 * @param backendServer identifier in the configuration
	 */
	public recordRequestFailure(backendServer: string): void {
		const server = this.configuration.current?.backendServers.find((item) => item.id === backendServer);
		if (server === undefined || this.pendingPolls.has(backendServer) || !this.owns(server)) {
			return;
		}
		this.healthOf(backendServer).recordRequestFailure();
		const poll = (): void => {
			this.pendingPolls.delete(backendServer);
			this.poll(server);
		};
		this.pendingPolls.set(backendServer, setTimeout(poll, FAILURE_POLL_DELAY_MS));
	}

	private owns(server: BackendServer): boolean {
		return this.membership.ownerOf(server.pool) === this.local;
	}

	private healthOf(id: string): ServerHealth {
		let health = this.servers.get(id);
		if (health === undefined) {
			health = ServerHealth.create(this.clock);
			this.servers.set(id, health);
		}
		return health;
	}

	private pollOwned(): void {
		const polled = new Set<string>();
		for (const server of this.configuration.current?.backendServers ?? []) {
			if (this.owns(server)) {
				polled.add(server.id);
				this.poll(server);
			}
		}
		// Servers of pools that this router no longer schedules are removed: their state would be outdated by the time it
		// schedules them again.
		for (const id of this.servers.keys()) {
			if (!polled.has(id)) {
				this.servers.delete(id);
			}
		}
	}

	private poll(server: BackendServer): void {
		const health = this.healthOf(server.id);
		const apply = (record: () => void): void => {
			const before = `${health.state} ${health.slotLimit(server.slots)}`;
			record();
			const after = `${health.state} ${health.slotLimit(server.slots)}`;
			if (before !== after && this.servers.get(server.id) === health) {
				log.info(`Backend server ${server.id} is ${health.state} with ${health.slotLimit(server.slots)} slots.`);
				this.changeEmitter.fire(server.id);
			}
		};
		fetchMetrics(server.url, this.agent).then(
			(text) => apply(() => health.recordReport(text === undefined ? undefined : parseLoadReport(text), server.slots)),
			(error: unknown) => apply(() => health.recordFailedPoll(isRefused(error))),
		);
	}
}

function isRefused(error: unknown): boolean {
	return error instanceof Error && (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
}

// Resolves with undefined when the server responds without metrics.
function fetchMetrics(url: string, agent: http.Agent): Promise<string | undefined> {
	return new Promise((resolve, reject) => {
		const request = http.get(new URL('/metrics', url), { agent }, (response) => {
			const chunks: Buffer[] = [];
			let size = 0;
			response.on('data', (chunk: Buffer) => {
				size += chunk.length;
				if (size > MAXIMUM_REPORT_BYTES) {
					response.destroy(new Error('the load report is too large'));
				}
				chunks.push(chunk);
			});
			response.on('error', reject);
			response.on('end', () => {
				clearTimeout(timer);
				resolve(response.statusCode === 200 ? Buffer.concat(chunks).toString('utf8') : undefined);
			});
		});
		const timer = setTimeout(() => request.destroy(new Error('no load report in time')), POLL_TIMEOUT_MS);
		request.on('error', (error) => {
			clearTimeout(timer);
			reject(error);
		});
	});
}
