import type { RegisteredServer } from '../common/directory.js';

/** Service of the engines that {@link engineWith} registers. */
export const SERVICE = 'drafts';

/**
 * @param id identifier of the engine
 * @param overrides fields that differ
 * @returns a registered model engine
 */
export function engineWith(id: string, overrides: Partial<RegisteredServer> = {}): RegisteredServer {
	return {
		id,
		service: SERVICE,
		address: '10.0.0.1:80',
		failureDomain: 'a',
		slots: 64,
		leaving: false,
		startedAt: 1,
		...overrides,
	};
}
