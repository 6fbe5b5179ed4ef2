import { Effect, type Scope } from 'effect';
import { type HttpServerFactory, serveAdmin } from '../../admin/node/adminServer.js';
import { createTlsServerFactory } from '../../admin/node/tlsServer.js';
import { DisposableStore } from '../../base/common/lifecycle.js';
import { logOf } from '../../base/node/log.js';
import { formatAddress, type SocketAddress } from '../../settings/common/settings.js';
import { shutDown, type ShutdownResult, type ShutdownSteps } from '../common/shutdown.js';
import { createAdminSources } from './adminSources.js';
import { createParts, type RouterParts } from './routerParts.js';
import type { EndSignals } from './signals.js';
import type { StartUp } from './startUp.js';

/** Peers take over the scheduler role as soon as they hear of the leave, which takes a heartbeat and a rebuild. */
const HANDOVER_MS = 500;

const log = logOf('daemon');

/**
 * Runs a router from its start until it has left.
 *
 * @param startUp checked settings and certificates
 * @param signals when to leave
 * @returns how the shutdown ended; fails with one line per address that cannot be used
 */
export function runDaemon(startUp: StartUp, signals: EndSignals): Effect.Effect<ShutdownResult, readonly string[]> {
	return Effect.scoped(
		Effect.gen(function* () {
			const owner = yield* Effect.acquireRelease(
				Effect.sync(() => DisposableStore.create()),
				(store) => Effect.sync(() => store.dispose()),
			);
			const parts = createParts(startUp, owner);
			const state = { leaving: false };
			yield* listenEverywhere(startUp, parts, () => state.leaving);
			parts.membership.start();
			yield* Effect.forkScoped(parts.follower.run());
			if (startUp.certificates !== undefined) {
				yield* Effect.forkScoped(startUp.certificates.follow());
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

function listenEverywhere(
	{ settings, certificates }: StartUp,
	parts: RouterParts,
	isLeaving: () => boolean,
): Effect.Effect<void, readonly string[], Scope.Scope> {
	const { callers, peers, admin } = settings;
	const createServer: HttpServerFactory | undefined = certificates && createTlsServerFactory(certificates);
	const sources = createAdminSources(settings, parts, certificates, isLeaving);
	// The admin address comes first, so that readiness can be asked for during the rest of the start.
	const attempts = [
		serveAdmin(admin.address, sources, createServer).pipe(
			Effect.tap((address) => Effect.sync(() => log.info(`The admin address is ${formatAddress(address)}.`))),
			Effect.mapError(({ message }) => message),
		),
		listen('peer', peers.address, () => parts.network.listen()),
		listen('caller', callers.address, () => parts.callers.listen(callers.address.host, callers.address.port)),
	];
	return Effect.gen(function* () {
		const faults: string[] = [];
		for (const attempt of attempts) {
			const result = yield* Effect.result(attempt);
			if (result._tag === 'Failure') {
				faults.push(result.failure);
			}
		}
		if (faults.length > 0) {
			return yield* Effect.fail(faults);
		}
	});
}

function listen(
	name: string,
	address: SocketAddress,
	open: () => Promise<number>,
): Effect.Effect<SocketAddress, string> {
	return Effect.tryPromise({
		try: async () => {
			const port = await open();
			log.info(`The ${name} address is ${formatAddress({ ...address, port })}.`);
			return { ...address, port };
		},
		catch: (error) =>
			`cannot listen on the ${name} address ${formatAddress(address)}: ${error instanceof Error ? error.message : String(error)}`,
	});
}

function toSteps({ callers, membership }: RouterParts, setLeaving: () => void): ShutdownSteps {
	return {
		announce: () => {
			setLeaving();
			callers.startClosing();
		},
		stopAccepting: () => callers.stopAccepting(),
		idle: callers.idle,
		endRequests: () => callers.endRequests(),
		leave: Effect.andThen(
			Effect.sync(() => membership.leave()),
			Effect.sleep(HANDOVER_MS),
		),
	};
}
