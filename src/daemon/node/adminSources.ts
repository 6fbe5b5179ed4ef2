import type { AccountFacts } from '../../admin/common/explanation.js';
import type { ReadinessCheck } from '../../admin/common/readiness.js';
import { evaluateReadiness } from '../../admin/common/readiness.js';
import type { AdminSources } from '../../admin/node/adminServer.js';
import { RouterMetrics } from '../../admin/node/routerMetrics.js';
import type { CertificateStore } from '../../peers/node/certificateStore.js';
import type { Settings } from '../../settings/common/settings.js';
import { describeAccount } from './accountFacts.js';
import { createMetricReaders } from './metricReaders.js';
import type { RouterComponents } from './routerParts.js';

/**
 * Creates the data sources of a router's admin server.
 *
 * @param settings settings of the router
 * @param components its components
 * @param certificates its certificates, if it has any
 * @param isLeaving whether the router is shutting down
 * @returns the sources for the admin server
 */
export function createAdminSources(
	settings: Settings,
	components: RouterComponents,
	certificates: CertificateStore | undefined,
	isLeaving: () => boolean,
): AdminSources {
	const { network, membership, follower, slots, callers, store, suspects } = components;
	const readiness = createReadiness(components, isLeaving);
	const isReady = (): boolean => evaluateReadiness(readiness).ready;
	const metrics = RouterMetrics.create(createMetricReaders(components, certificates, isReady));
	callers.onDidFinish((request) => metrics.countRequest(request));
	return {
		readiness,
		dumps: {
			router: () => ({ ...settings.instance, incarnation: network.incarnation, leaving: isLeaving() }),
			configuration: () => ({ version: follower.current?.version, watchesStore: follower.isWatcher }),
			peers: () => network.peers(),
			membership: () => ({ live: membership.liveRouters(), silent: membership.countUnreachableRouters() }),
			scheduling: () => slots.dump(),
			callers: () => ({ requestsInProgress: callers.requestsInProgress }),
			suspects: () => suspects.list(),
			store: () => ({ calls: store.calls }),
		},
		accountFacts: (account): AccountFacts | undefined => describeAccount(components, account),
		metrics,
	};
}

/**
 * A router is not ready before it has the highest version that its peers have, nor while it is leaving. Once it has
 * caught up, a newer version does not make it unready, because each change would then make all routers unready at once.
 */
function createReadiness(
	{ follower, membership, network }: RouterComponents,
	isLeaving: () => boolean,
): readonly ReadinessCheck[] {
	let caughtUp = false;
	const findMissingVersion = (): string | undefined => {
		if (follower.current === undefined) {
			return 'no configuration is in force';
		}
		const newest = Math.max(0, ...network.peers().map((peer) => peer.configurationVersion));
		caughtUp ||= follower.version >= newest;
		return caughtUp ? undefined : `a peer has version ${newest}, this router has ${follower.version}`;
	};
	return [
		{ name: 'running', missing: () => (isLeaving() ? 'the router is shutting down' : undefined) },
		{ name: 'configuration', missing: findMissingVersion },
		{
			name: 'peers',
			missing: () =>
				membership.isInitialized() ? undefined : 'the instance list was not read, or listed routers were not tried yet',
		},
	];
}
