import { describe, expect, test } from '@jest/globals';
import type { RegisteredServer } from '../common/directory.js';
import { toRevision } from '../../store/common/storeRevision.js';
import { type DirectoryChange, ServerDirectory } from '../common/serverDirectory.js';

function serverWith(overrides: Partial<RegisteredServer> = {}): RegisteredServer {
	return {
		id: 'engine-1',
		service: 'drafts',
		address: '10.0.0.1:80',
		failureDomain: 'a',
		softwareVersion: 'v1',
		slots: 8,
		leaving: false,
		startedAt: 1,
		coldLeftMs: 0,
		reportNumber: undefined,
		revision: 1,
		...overrides,
	};
}

function directoryWith(contact: { since: number | undefined }): {
	readonly directory: ServerDirectory;
	readonly changes: string[];
} {
	const directory = ServerDirectory.create(() => contact.since);
	const changes: string[] = [];
	directory.onDidChange((items: readonly DirectoryChange[]) =>
		items.forEach(({ server, change }) => changes.push(`${server.id} ${change}`)),
	);
	return { directory, changes };
}

describe('ServerDirectory', () => {
	test('retains a server whose entry expired while the whole fleet could not read the store', () => {
		const contact = { since: 0 as number | undefined };
		const { directory, changes } = directoryWith(contact);
		directory.update([serverWith()], 5_000);
		contact.since = 10_000;
		directory.update([], 10_000);
		expect(directory.usable).toHaveLength(1);
		directory.update([serverWith()], 11_500);
		directory.refresh(13_000);
		expect(directory.usable).toHaveLength(1);
		expect(changes).toEqual(['engine-1 added', 'engine-1 missing', 'engine-1 returned']);
	});

	test('removes a server whose entry does not reappear after the store has returned', () => {
		const contact = { since: 0 as number | undefined };
		const { directory } = directoryWith(contact);
		directory.update([serverWith()], 5_000);
		contact.since = 10_000;
		directory.update([], 10_000);
		expect(directory.hasMissing).toBe(true);
		directory.refresh(12_300);
		expect(directory.usable).toHaveLength(0);
	});

	// Guards against a partitioned router that mistakes a removal for an expiry: it sent requests to a server 2.1 s after
	// the server had left.
	test('removes a missing server immediately when a peer has read the store without interruption', () => {
		const contact = { since: undefined as number | undefined };
		const { directory } = directoryWith(contact);
		directory.update([serverWith()], 5_000);
		contact.since = 1_000;
		directory.update([], 10_000);
		expect(directory.usable).toHaveLength(0);
	});

	test('sends no requests to a server that is leaving, even while the store is unreachable', () => {
		const { directory } = directoryWith({ since: undefined });
		directory.update([serverWith()], 1_000);
		directory.update([serverWith({ leaving: true })], 2_000);
		expect(directory.usable).toHaveLength(0);
	});

	test('detects a restart under the same identifier', () => {
		const { directory, changes } = directoryWith({ since: 0 });
		directory.update([serverWith()], 5_000);
		directory.update([serverWith({ startedAt: 2 })], 6_000);
		expect(changes.at(-1)).toBe('engine-1 restarted');
	});

	// Guards against ignoring the operator's evacuation: engines of the evacuated domain continued to receive requests.
	test('excludes the servers of an evacuated failure domain until the evacuation is reverted', () => {
		const { directory, changes } = directoryWith({ since: 0 });
		directory.update([serverWith(), serverWith({ id: 'engine-2', failureDomain: 'b' })], 5_000);
		directory.setEvacuatedDomains(new Set(['a']));
		expect(directory.usable.map(({ id }) => id)).toEqual(['engine-2']);
		directory.update([serverWith(), serverWith({ id: 'engine-3' })], 6_000);
		expect(directory.usable).toEqual([]);
		directory.setEvacuatedDomains(new Set());
		expect(directory.usable.map(({ id }) => id)).toEqual(['engine-1', 'engine-3']);
		expect(changes).toContain('engine-1 evacuated');
		expect(changes).toContain('engine-1 taken-back');
	});

	test('reports each time that a server registers as cold, exactly once', () => {
		const { directory, changes } = directoryWith({ since: 0 });
		directory.update([serverWith()], 5_000);
		directory.update([serverWith({ coldLeftMs: 2_000, revision: 2 })], 6_000);
		directory.refresh(6_100);
		directory.update([serverWith({ coldLeftMs: 800, revision: 3 })], 7_200);
		directory.update([serverWith({ revision: 4 })], 8_400);
		expect(changes).toEqual(['engine-1 added', 'engine-1 cold', 'engine-1 cold']);
	});

	describe('with a store that is restored from an older copy', () => {
		const revisionIn = (era: number, counter: number): number => toRevision({ era, counter }) ?? 0;
		const ready = serverWith({ reportNumber: 8, revision: revisionIn(1, 20) });

		// Guards against requests to a server whose departure was acknowledged before the restore.
		test('does not use a server again that was leaving', () => {
			const { directory, changes } = directoryWith({ since: 0 });
			directory.update([ready], 5_000);
			directory.update([{ ...ready, leaving: true, reportNumber: 12, revision: revisionIn(1, 25) }], 6_000);
			directory.update([{ ...ready, revision: revisionIn(2, 20) }], 7_000);
			expect(directory.usable).toEqual([]);
			directory.update([{ ...ready, leaving: true, reportNumber: 13, revision: revisionIn(2, 21) }], 8_000);
			directory.update([], 9_000);
			expect(changes).toEqual(['engine-1 added', 'engine-1 leaving', 'engine-1 removed']);
		});

		test('does not use a server again that was removed, unless it writes its entry anew', () => {
			const { directory } = directoryWith({ since: 0 });
			directory.update([ready], 5_000);
			directory.update([], 6_000);
			directory.update([{ ...ready, revision: revisionIn(2, 20) }], 7_000);
			expect(directory.usable).toEqual([]);
			directory.update([{ ...ready, reportNumber: 9, revision: revisionIn(2, 21) }], 8_000);
			expect(directory.usable).toHaveLength(1);
		});

		test('does not take an earlier incarnation of a server for a new one', () => {
			const { directory, changes } = directoryWith({ since: 0 });
			directory.update([serverWith({ startedAt: 7, reportNumber: 2, revision: revisionIn(1, 25) })], 5_000);
			directory.update([{ ...ready, revision: revisionIn(2, 20) }], 6_000);
			expect(directory.usable).toMatchObject([{ startedAt: 7 }]);
			directory.update([serverWith({ startedAt: 9, reportNumber: 1, revision: revisionIn(2, 22) })], 7_000);
			expect(changes).toEqual(['engine-1 added', 'engine-1 restarted']);
		});

		// Guards against a server that has warmed up being taken for cold again by the entry of its start.
		test('does not count a server as cold again', () => {
			const { directory, changes } = directoryWith({ since: 0 });
			const cold = { ...ready, coldLeftMs: 3_000 };
			directory.update([cold], 5_000);
			directory.update([{ ...cold, revision: revisionIn(2, 20) }], 15_000);
			expect(changes).toEqual(['engine-1 added']);
		});

		test('accepts a later entry with a lower number within one era', () => {
			const { directory, changes } = directoryWith({ since: 0 });
			directory.update([ready], 5_000);
			directory.update([{ ...ready, leaving: true, reportNumber: 3, revision: revisionIn(1, 21) }], 6_000);
			expect(changes).toEqual(['engine-1 added', 'engine-1 leaving']);
		});
	});
});
