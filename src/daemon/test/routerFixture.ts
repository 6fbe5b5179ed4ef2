import { createHash } from 'node:crypto';
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import { Deferred, Effect } from 'effect';
import { PlatformStandIn } from '../../../standins/platform/platformStandIn.js';
import type { ConfigurationContent } from '../../configuration/common/model.js';
import { ConfigurationPublisher } from '../../configuration/node/configurationPublisher.js';
import { EtcdStore } from '../../store/node/etcdStore.js';
import { formatAddress, type Settings } from '../../settings/common/settings.js';
import type { ShutdownResult } from '../common/shutdown.js';
import { type ListeningAddresses, runDaemon } from '../node/daemon.js';
import type { StartupInputs } from '../node/startUp.js';

const TOKEN = 'token of account a';
const POLL_INTERVAL_MS = 10;
// Routers buffer shorter responses until they are complete.
const LONG_PART_BYTES = 256 * 1024;

/** A backend server whose responses pause between their first and last bytes. */
export interface PausingBackend {
	readonly url: string;
	/** Completes when a request has arrived. */
	readonly reached: Promise<void>;
	readonly release: () => void;
	readonly close: () => void;
}

/** @returns a listening backend server */
export async function startPausingBackend(): Promise<PausingBackend> {
	const pausedResponses: http.ServerResponse[] = [];
	let arrived: () => void;
	const reached = new Promise<void>((resolve) => (arrived = resolve));
	const server = http.createServer((request, response) => {
		request.resume();
		if (request.url === '/metrics') {
			response.end('');
			return;
		}
		response.write(request.url === '/long' ? 'x'.repeat(LONG_PART_BYTES) : 'first ');
		pausedResponses.push(response);
		arrived();
	});
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', () => resolve()));
	return {
		url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
		reached,
		release: () => pausedResponses.splice(0).forEach((response) => response.end('last')),
		close: () => {
			server.close();
			server.closeAllConnections();
		},
	};
}

/** A router that runs in this process. */
export interface RunningRouter {
	readonly listening: ListeningAddresses;
	/** Queries the admin address without TLS. */
	readonly queryAdmin: (path: string) => Promise<{ readonly status: number; readonly text: string }>;
	/** Sends a request of account `a`. The first part of the response to `long` is forwarded before the rest. */
	readonly sendRequest: (path?: 'long') => Promise<Response>;
	/** Delivers SIGTERM. */
	readonly sendSignal: () => void;
	readonly result: Promise<ShutdownResult>;
}

/** @returns a platform with a configuration of one plain service at the URL */
export async function startPlatform(backendUrl: string): Promise<PlatformStandIn> {
	const platform = await PlatformStandIn.start();
	const publisher = ConfigurationPublisher.create(EtcdStore.create(platform.storeUrl));
	const base = await Effect.runPromise(publisher.load());
	await Effect.runPromise(publisher.publish(base, sampleContent(backendUrl)));
	return platform;
}

function sampleContent(url: string): ConfigurationContent {
	const digest = createHash('sha256').update(TOKEN).digest('hex');
	const operations = [{ method: 'GET', path: '/*', idempotent: true }];
	return {
		accounts: [{ id: 'a', share: 1, tokenDigests: [digest], services: ['orders'] }],
		services: [{ id: 'orders', pool: 'p', kind: 'plain', operations, resumable: false, maximumBodyBytes: 1_000 }],
		pools: [{ id: 'p', slack: 1 }],
		backendServers: [{ id: 'server-1', pool: 'p', url, slots: 4, checksFencing: false }],
	};
}

/** @returns settings with free ports on loopback and no balancer delay */
export function sampleSettings(platform: { readonly storeUrl: string; readonly instanceListUrl: string }): Settings {
	const address = { host: '127.0.0.1', port: 0 };
	return {
		instance: { name: 'router-1', failureDomain: 'east-1' },
		callers: { address },
		peers: { address },
		admin: { address },
		platform,
		log: { level: 'error' },
		shutdown: { balancerDelayMs: 0, deadlineMs: 600_000 },
		tls: undefined,
	};
}

/** Starts a router and resolves when it listens. */
export async function startRouter(inputs: StartupInputs): Promise<RunningRouter> {
	const first = Deferred.makeUnsafe<void>();
	const second = Deferred.makeUnsafe<void>();
	const signals = { first: Deferred.await(first), second: Deferred.await(second) };
	let result: Promise<ShutdownResult> | undefined;
	const listening = await new Promise<ListeningAddresses>((resolve, reject) => {
		result = Effect.runPromise(runDaemon(inputs, signals, resolve));
		result.catch(reject);
	});
	const base = `http://${formatAddress(listening.admin)}`;
	return {
		listening,
		queryAdmin: async (path) => {
			const response = await fetch(`${base}${path}`);
			return { status: response.status, text: await response.text() };
		},
		sendRequest: (path) =>
			fetch(`http://${formatAddress(listening.callers)}/services/orders/${path ?? ''}`, {
				headers: { authorization: `Bearer ${TOKEN}` },
			}),
		sendSignal: () => {
			if (!Effect.runSync(Deferred.succeed(first, undefined))) {
				Effect.runSync(Deferred.succeed(second, undefined));
			}
		},
		result: result ?? Promise.reject(new Error('not started')),
	};
}

/** Waits until a condition holds. The timeout of the test bounds the wait. */
export async function waitUntil(check: () => Promise<boolean>): Promise<void> {
	while (!(await check())) {
		await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
	}
}
