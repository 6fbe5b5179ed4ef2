import type { RoutingConfiguration } from './model.js';

/**
 * Streams that need a token in less than this time run on engines that prefill most prompts in less time than the first
 * event takes to arrive.
 */
const FAST_TOKEN_MS = 40;

/**
 * Finds the services whose engines must be fast, so that their placement has to rest on measured speeds.
 *
 * @param configuration routes and services
 * @returns names of the services of which a route requires a token in less than {@link FAST_TOKEN_MS}
 */
export function fastStreamServices({
	routes,
	services,
}: Pick<RoutingConfiguration, 'routes' | 'services'>): ReadonlySet<string> {
	const tokensPerEvent = new Map(services.map(({ name, engine }) => [name, engine?.tokensPerEvent]));
	const isFast = (service: string, pauseAimMs: number): boolean => {
		const tokens = tokensPerEvent.get(service);
		return tokens !== undefined && pauseAimMs / tokens < FAST_TOKEN_MS;
	};
	const fast = routes.flatMap(({ streams, pauseAimMs, targets }) =>
		streams && pauseAimMs !== undefined ? targets.filter(({ service }) => isFast(service, pauseAimMs)) : [],
	);
	return new Set(fast.map(({ service }) => service));
}
