import type { RequestExecution } from './promptEngine.js';

/**
 * Finds streams whose events come from servers of several software versions, in one answer or over several attempts of a
 * caller.
 *
 * @param executions executions at all servers
 * @returns messages; empty if there are no such streams
 */
export function findJoinedVersions(executions: readonly RequestExecution[]): readonly string[] {
	const versions = new Map<string, Set<string>>();
	for (const { firstAttempt, softwareVersion } of executions) {
		versions.set(firstAttempt, (versions.get(firstAttempt) ?? new Set()).add(softwareVersion));
	}
	return [...versions]
		.filter(([, used]) => used.size > 1)
		.map(([stream, used]) => `the stream ${stream} holds events of ${[...used].join(' and ')}`);
}
