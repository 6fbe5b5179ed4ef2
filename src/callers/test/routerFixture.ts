import { createHash } from 'node:crypto';
import { Effect } from 'effect';
import { CrashSuspects } from '../../backends/common/crashSuspects.js';
import { HttpBackendClient } from '../../backends/node/httpBackendClient.js';
import { SuspectExchange } from '../../backends/node/suspectExchange.js';
import { Emitter } from '../../base/common/event.js';
import { systemClock } from '../../base/common/clock.js';
import type { Configuration, Service } from '../../configuration/common/model.js';
import { DispatchService } from '../../dispatch/node/dispatchService.js';
import type { IIdempotencyService } from '../../idempotency/common/idempotencyService.js';
import { IdempotencyService } from '../../idempotency/node/idempotencyService.js';
import { FaultyStore } from '../../idempotency/test/faultyStore.js';
import { PeerFrame } from '../../peers/common/generated/masticloom/peers/v1/peers.js';
import type { IPeerNetwork, PeerMessage } from '../../peers/common/peerNetwork.js';
import type { ISlotService, Slot } from '../../scheduling/common/slotService.js';
import { CallerServer } from '../node/callerServer.js';

/** Bearer token of the only account in {@link createConfiguration}. */
export const TOKEN = 'secret';

/**
 * @param urls base URLs of the backend servers, all in one pool
 * @param service overrides of a plain service with idempotent paths
 * @param slots slots of each backend server
 * @returns a configuration with one account
 */
export function createConfiguration(urls: readonly string[], service: Partial<Service> = {}, slots = 4): Configuration {
	const operations = [
		{ method: 'POST', path: '/catalogue/*', idempotent: true },
		{ method: 'POST', path: '/v1/completions', idempotent: true },
	];
	return {
		version: 1,
		accounts: [
			{
				id: 'press',
				share: 1,
				tokenDigests: [createHash('sha256').update(TOKEN).digest('hex')],
				services: ['s'],
			},
		],
		services: [
			{ id: 's', pool: 'p', kind: 'plain', operations, resumable: false, maximumBodyBytes: 4_096, ...service },
		],
		pools: [{ id: 'p', slack: 1 }],
		backendServers: urls.map((url, index) => ({
			id: `b${index}`,
			pool: 'p',
			url,
			slots,
			checksFencing: false,
		})),
	};
}

/** Grants slots in order of arrival, each from the server with the most free slots. */
export class FifoSlotService implements ISlotService {
	public readonly freeSlots = new Map<string, number>();
	private readonly waiters: ((slot: Slot) => void)[] = [];

	private constructor(configuration: Configuration) {
		for (const server of configuration.backendServers) {
			this.freeSlots.set(server.id, server.slots);
		}
	}

	/** @returns a service with all slots of the configuration free */
	public static create(configuration: Configuration): FifoSlotService {
		return new FifoSlotService(configuration);
	}

	public acquire(): Effect.Effect<Slot> {
		return Effect.callback<Slot>((resume) => {
			const waiter = (slot: Slot): void => resume(Effect.succeed(slot));
			this.waiters.push(waiter);
			this.grantSlots();
			return Effect.sync(() => {
				const index = this.waiters.indexOf(waiter);
				if (index >= 0) {
					this.waiters.splice(index, 1);
				}
			});
		});
	}

	public queuedRequests(): number {
		return this.waiters.length;
	}

	private grantSlots(): void {
		while (this.waiters.length > 0) {
			const [best] = [...this.freeSlots].sort(([, left], [, right]) => right - left);
			if (best === undefined || best[1] <= 0) {
				return;
			}
			const [server, count] = best;
			this.freeSlots.set(server, count - 1);
			let released = false;
			this.waiters.shift()?.({
				backendServer: server,
				charge: () => undefined,
				release: () => {
					if (!released) {
						released = true;
						this.freeSlots.set(server, (this.freeSlots.get(server) ?? 0) + 1);
						this.grantSlots();
					}
				},
			});
		}
	}
}

/** Delivers messages between routers of one process without loss. */
export class InMemoryNetwork {
	private readonly members = new Map<string, Emitter<PeerMessage>>();

	private constructor() {}

	/** @returns a network without members */
	public static create(): InMemoryNetwork {
		return new InMemoryNetwork();
	}

	/**
	 * @param instance name of a router
	 * @returns the network as seen by this router
	 */
	public join(instance: string): IPeerNetwork {
		const received = Emitter.create<PeerMessage>();
		this.members.set(instance, received);
		return {
			onDidChangePeer: Emitter.create<never>().event,
			onDidReceive: received.event,
			send: (peer, parts) => {
				this.members.get(peer)?.fire({ instance, incarnation: '', frame: PeerFrame.fromPartial(parts) });
				return true;
			},
			peers: () =>
				[...this.members.keys()]
					.filter((name) => name !== instance)
					.map((name) => ({
						instance: name,
						address: '',
						state: 'connected',
						incarnation: '',
						failureDomain: '',
						configurationVersion: 0,
						leaving: false,
						session: 1,
						refused: false,
					})),
			setEndpoints: () => undefined,
			announce: () => undefined,
		};
	}
}

/** Options of a router under test. */
export interface RouterOptions {
	/** Instance name of the router. */
	readonly name?: string;
	readonly configuration: Configuration;
	readonly store?: FaultyStore;
	readonly idempotency?: IIdempotencyService;
	readonly network?: IPeerNetwork;
}

/** A router with caller server, dispatch and backend client, and a simple queue in place of the scheduler. */
export class TestRouter {
	private constructor(
		public readonly url: string,
		public readonly server: CallerServer,
		private readonly slots: FifoSlotService,
		public readonly suspects: CrashSuspects,
		private readonly client: HttpBackendClient,
	) {}

	/**
	 * @param options configuration and components to use
	 * @returns a listening router
	 */
	public static async start(options: RouterOptions): Promise<TestRouter> {
		const changes = Emitter.create<Configuration>();
		const configuration = { current: options.configuration, onDidChange: changes.event };
		const client = HttpBackendClient.create();
		const suspects = CrashSuspects.create(options.name ?? 'router', systemClock);
		if (options.network !== undefined) {
			SuspectExchange.create(suspects, options.network);
		}
		const slots = FifoSlotService.create(options.configuration);
		const times = { firstPauseMs: 1, settleLimitMs: 5_000 };
		const dispatch = DispatchService.create({
			configuration,
			slots,
			client,
			suspects,
			idempotency: options.idempotency ?? IdempotencyService.create(options.store ?? FaultyStore.create(), { times }),
		});
		const server = CallerServer.create(configuration, dispatch);
		const port = await server.listen('127.0.0.1', 0);
		return new TestRouter(`http://127.0.0.1:${port}`, server, slots, suspects, client);
	}

	/**
	 * @param path path below the service
	 * @param body sent as JSON
	 * @param headers sent in addition to the token
	 * @returns the response, available when its head was received
	 */
	public post(path: string, body: unknown, headers: Record<string, string> = {}): Promise<Response> {
		return fetch(`${this.url}/services/s${path}`, {
			method: 'POST',
			body: JSON.stringify(body),
			headers: { authorization: `Bearer ${TOKEN}`, ...headers },
		});
	}

	/**
	 * @param server identifier of a backend server
	 * @returns number of its free slots
	 */
	public freeSlots(server: string): number {
		return this.slots.freeSlots.get(server) ?? 0;
	}

	/** Closes the server and its connections to backend servers. */
	public stop(): void {
		this.server.dispose();
		this.client.dispose();
	}
}
