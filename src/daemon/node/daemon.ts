import { Effect, Result, type Scope } from 'effect';
import { type AdminSources, type HttpServerFactory, serveAdmin } from '../../admin/node/adminServer.js';
import { createTlsServerFactory } from '../../admin/node/tlsServer.js';
import { DisposableStore } from '../../base/common/lifecycle.js';
import { getLogger } from '../../base/node/log.js';
import { formatAddress, type SocketAddress } from '../../settings/common/settings.js';
import { shutDown, type ShutdownResult, type ShutdownSteps } from '../common/shutdown.js';
import { createAdminSources } from './adminSources.js';
import { createComponents, type RouterComponents } from './routerParts.js';
import type { ShutdownSignals } from './signals.js';
import type { StartupInputs } from './startUp.js';

/** Peers take over the scheduler role once they receive notice of the leave, which takes a heartbeat and a rebuild. */
const HANDOVER_DELAY_MS = 500;

const log = getLogger('daemon');

/** Addresses that the router listens on, with the ports chosen by the operating system. */
export interface ListeningAddresses {
	readonly callers: SocketAddress;
	readonly peers: SocketAddress;
	readonly admin: SocketAddress;
}

/**
 * Runs a router from its start until its shutdown is complete.
 *
 * @param inputs validated settings and certificates
 * @param signals signals that request the shutdown
 * @param onDidListen called when the router listens on all addresses
 * @returns how the shutdown ended; fails with one line per address that cannot be used
 */
export function runDaemon(
	inputs: StartupInputs,
	signals: ShutdownSignals,
	onDidListen: (listening: ListeningAddresses) => void = () => undefined,
): Effect.Effect<ShutdownResult, readonly string[]> {
	return Effect.scoped(
		Effect.gen(function* () {
			const owner = yield* Effect.acquireRelease(
				Effect.sync(() => DisposableStore.create()),
				(store) => Effect.sync(() => store.dispose()),
			);
			const components = createComponents(inputs, owner);
			const state = { leaving: false };
			onDidListen(yield* listenOnAllAddresses(inputs, components, () => state.leaving));
			components.membership.start();
			yield* Effect.forkScoped(components.follower.run());
			if (inputs.certificates !== undefined) {
				yield* Effect.forkScoped(inputs.certificates.reloadPeriodically());
			}
			yield* signals.first;
			const { shutdown } = inputs.settings;
			return yield* shutDown(
				createShutdownSteps(components, () => (state.leaving = true)),
				shutdown,
				signals.second,
			);
		}),
	);
}

/** Tries all addresses even when one fails, so that every fault is reported. */
function listenOnAllAddresses(
	{ settings, certificates }: StartupInputs,
	components: RouterComponents,
	isLeaving: () => boolean,
): Effect.Effect<ListeningAddresses, readonly string[], Scope.Scope> {
	const { callers, peers, admin } = settings;
	const createServer: HttpServerFactory | undefined = certificates && createTlsServerFactory(certificates);
	const sources = createAdminSources(settings, components, certificates, isLeaving);
	return Effect.gen(function* () {
		// Opens the admin address first, so that readiness can be queried during the rest of the start.
		const results = {
			admin: yield* Effect.result(openAdmin(admin.address, sources, createServer)),
			peers: yield* Effect.result(open('peer', peers.address, () => components.network.listen())),
			callers: yield* Effect.result(
				open('caller', callers.address, ({ host, port }) => components.callers.listen(host, port)),
			),
		};
		const faults = Object.values(results).flatMap((result) => (Result.isFailure(result) ? [result.failure] : []));
		return yield* Effect.fromResult(Result.mapError(Result.all(results), () => faults));
	});
}

function openAdmin(
	address: SocketAddress,
	sources: AdminSources,
	createServer: HttpServerFactory | undefined,
): Effect.Effect<SocketAddress, string, Scope.Scope> {
	return serveAdmin(address, sources, createServer).pipe(
		Effect.tap((bound) => Effect.sync(() => log.info(`The admin address is ${formatAddress(bound)}.`))),
		Effect.mapError(({ message }) => message),
	);
}

function open(
	name: string,
	address: SocketAddress,
	listen: (address: SocketAddress) => Promise<number>,
): Effect.Effect<SocketAddress, string> {
	return Effect.tryPromise({
		try: async () => {
			const bound = { ...address, port: await listen(address) };
			log.info(`The ${name} address is ${formatAddress(bound)}.`);
			return bound;
		},
		catch: (error) => {
			const reason = error instanceof Error ? error.message : String(error);
			return `cannot listen on the ${name} address ${formatAddress(address)}: ${reason}`;
		},
	});
}

function createShutdownSteps({ callers, membership, slots }: RouterComponents, setLeaving: () => void): ShutdownSteps {
	return {
		announce: () => {
			setLeaving();
			callers.startDraining();
		},
		stopAccepting: () => callers.stopAccepting(),
		idle: callers.idle,
		abortRequests: () => callers.abortRequests(),
		leave: Effect.andThen(
			Effect.sync(() => {
				slots.leave();
				membership.leave();
			}),
			Effect.sleep(HANDOVER_DELAY_MS),
		),
	};
}
