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

/** Peers take over the scheduler role as soon as they hear of the leave, which takes a heartbeat and a rebuild. */
const HANDOVER_MS = 500;

const log = getLogger('daemon');

/** Addresses in use, with the ports that the system chose. */
export interface ListeningAddresses {
	readonly callers: SocketAddress;
	readonly peers: SocketAddress;
	readonly admin: SocketAddress;
}

/**
 * Runs a router from its start until it has left.
 *
 * @param startUp checked settings and certificates
 * @param signals when to leave
 * @param onDidListen called when all addresses are in use
 * @returns how the shutdown ended; fails with one line per address that cannot be used
 */
export function runDaemon(
	startUp: StartupInputs,
	signals: ShutdownSignals,
	onDidListen: (listening: ListeningAddresses) => void = () => undefined,
): Effect.Effect<ShutdownResult, readonly string[]> {
	return Effect.scoped(
		Effect.gen(function* () {
			const owner = yield* Effect.acquireRelease(
				Effect.sync(() => DisposableStore.create()),
				(store) => Effect.sync(() => store.dispose()),
			);
			const parts = createComponents(startUp, owner);
			const state = { leaving: false };
			onDidListen(yield* listenEverywhere(startUp, parts, () => state.leaving));
			parts.membership.start();
			yield* Effect.forkScoped(parts.follower.run());
			if (startUp.certificates !== undefined) {
				yield* Effect.forkScoped(startUp.certificates.reloadPeriodically());
			}
			yield* signals.first;
			const { shutdown } = startUp.settings;
			return yield* shutDown(
				toSteps(parts, () => (state.leaving = true)),
				shutdown,
				signals.second,
			);
		}),
	);
}

/** Tries all addresses even when one fails, so that every fault is listed. */
function listenEverywhere(
	{ settings, certificates }: StartupInputs,
	parts: RouterComponents,
	isLeaving: () => boolean,
): Effect.Effect<ListeningAddresses, readonly string[], Scope.Scope> {
	const { callers, peers, admin } = settings;
	const createServer: HttpServerFactory | undefined = certificates && createTlsServerFactory(certificates);
	const sources = createAdminSources(settings, parts, certificates, isLeaving);
	return Effect.gen(function* () {
		// The admin address comes first, so that readiness can be asked for during the rest of the start.
		const results = {
			admin: yield* Effect.result(openAdmin(admin.address, sources, createServer)),
			peers: yield* Effect.result(open('peer', peers.address, () => parts.network.listen())),
			callers: yield* Effect.result(
				open('caller', callers.address, ({ host, port }) => parts.callers.listen(host, port)),
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
		Effect.tap((used) => Effect.sync(() => log.info(`The admin address is ${formatAddress(used)}.`))),
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
			const used = { ...address, port: await listen(address) };
			log.info(`The ${name} address is ${formatAddress(used)}.`);
			return used;
		},
		catch: (error) => {
			const reason = error instanceof Error ? error.message : String(error);
			return `cannot listen on the ${name} address ${formatAddress(address)}: ${reason}`;
		},
	});
}

function toSteps({ callers, membership, slots }: RouterComponents, setLeaving: () => void): ShutdownSteps {
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
			Effect.sleep(HANDOVER_MS),
		),
	};
}
