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
	const inOrder = [...executions].sort((one, other) => one.startedAt - other.startedAt);
	for (const { firstAttempt, firstEvent, softwareVersion } of inOrder) {
		// A stream that begins at its first event holds none of an execution before.
		const before = firstEvent > 1 ? (versions.get(firstAttempt) ?? []) : [];
		versions.set(firstAttempt, new Set([...before, softwareVersion]));
	}
	return [...versions]
		.filter(([, used]) => used.size > 1)
		.map(([stream, used]) => `the stream ${stream} holds events of ${[...used].join(' and ')}`);
}
