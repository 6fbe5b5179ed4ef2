import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import { readJson, sendJson } from './httpBody.js';
import { InstanceTable, type InstanceChange } from './instanceTable.js';
import type { StoreFaultSettings } from './storeFaults.js';
import { StoreServer } from './storeServer.js';

/** Behaviour of the instance list: `failing` responds with 503, `hanging` never responds. */
export type ListMode = 'up' | 'failing' | 'hanging';

type Command = (body: never) => unknown;

/**
 * Stand-in for the platform: the key-value service on one port, the instance list and the control commands on another.
 *
 * | command                          | body                                                                              |
 * | -------------------------------- | --------------------------------------------------------------------------------- |
 * | `POST /control/instances`        | `instance`, `role`, `address`, `failure_domain`, `state`, `labels` (or an array)   |
 * | `POST /control/list`             | `lag_ms`, `mode` (`up`, `failing`, `hanging`)                                     |
 * | `POST /control/views`            | `viewer`, `addresses` (`host:port` or null by instance)                           |
 * | `POST /control/store`            | see {@link StoreFaultSettings}                                                    |
 * | `POST /control/leases/expire`    | `id`                                                                              |
 * | `GET /control/counters`          |                                                                                   |
 * | `POST /control/counters/reset`   |                                                                                   |
 */
export class PlatformStandIn {
	public readonly store = new StoreServer();
	public readonly instances = new InstanceTable();
	private readonly server = http.createServer((request, response) => void this.handle(request, response));
	private readonly commands: ReadonlyMap<string, Command>;
	private listMode: ListMode = 'up';
	private listReads = 0;
	private storePort = 0;

	private constructor() {
		this.commands = new Map<string, Command>([
			['POST /control/instances', (body: InstanceChange | readonly InstanceChange[]) => this.changeInstances(body)],
			['POST /control/list', (body: { lag_ms?: number; mode?: ListMode }) => this.setList(body)],
			[
				'POST /control/views',
				(body: { viewer: string; addresses: Record<string, string | null> }) => {
					this.instances.setView(body.viewer, body.addresses);
				},
			],
			['POST /control/store', (body: StoreFaultSettings) => this.store.setFaults(body)],
			['POST /control/leases/expire', (body: { id: string }) => ({ expired: this.store.state.revoke(body.id) })],
			['GET /control/counters', () => this.counters],
			['POST /control/counters/reset', () => this.resetCounters()],
		]);
	}

	/**
	 * Starts the stand-in on loopback.
	 *
	 * @param ports of the instance list with the control commands, and of the store; 0 picks a free port
	 */
	public static async start(
		ports: { readonly port?: number; readonly storePort?: number } = {},
	): Promise<PlatformStandIn> {
		const standIn = new PlatformStandIn();
		standIn.storePort = await standIn.store.start(ports.storePort ?? 0);
		await new Promise<void>((resolve, reject) => {
			standIn.server.once('error', reject);
			standIn.server.listen(ports.port ?? 0, '127.0.0.1', resolve);
		});
		return standIn;
	}

	/** `host:port` of the instance list and the control commands. */
	public get address(): string {
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	public get storeUrl(): string {
		return `http://127.0.0.1:${this.storePort}`;
	}

	public get instanceListUrl(): string {
		return `http://${this.address}/instances`;
	}

	/** Calls to the store and reads of the list since the start or the last reset. */
	public get counters(): StoreServer['counters'] & { readonly listReads: number } {
		return { ...this.store.counters, listReads: this.listReads };
	}

	public async close(): Promise<void> {
		const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
		this.server.closeAllConnections();
		await Promise.all([closed, this.store.close()]);
	}

	private resetCounters(): void {
		this.listReads = 0;
		this.store.resetCounters();
	}

	private changeInstances(body: InstanceChange | readonly InstanceChange[]): void {
		for (const change of Array.isArray(body) ? (body as readonly InstanceChange[]) : [body as InstanceChange]) {
			this.instances.change(change);
		}
	}

	private setList(body: { readonly lag_ms?: number; readonly mode?: ListMode }): void {
		this.instances.lagMs = body.lag_ms ?? this.instances.lagMs;
		this.listMode = body.mode ?? this.listMode;
	}

	private async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://platform');
		if (url.pathname === '/instances') {
			this.sendList(url.searchParams.get('viewer') ?? undefined, response);
			return;
		}
		const command = this.commands.get(`${request.method ?? ''} ${url.pathname}`);
		const { body } = await readJson(request);
		if (command === undefined) {
			sendJson(response, 404, { error: `unknown command ${request.method ?? ''} ${url.pathname}` });
			return;
		}
		try {
			sendJson(response, 200, (await command(body as never)) ?? {});
		} catch (error) {
			sendJson(response, 400, { error: String(error) });
		}
	}

	private sendList(viewer: string | undefined, response: http.ServerResponse): void {
		this.listReads++;
		if (this.listMode === 'up') {
			sendJson(response, 200, this.instances.list(viewer));
		} else if (this.listMode === 'failing') {
			sendJson(response, 503, { error: 'the instance list is unavailable' });
		}
	}
}
