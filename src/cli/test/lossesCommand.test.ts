import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, expect, test } from '@jest/globals';
import { runCommandLine } from '../node/commandLine.js';

type Line = Readonly<Record<string, unknown>>;

function writeLog(lines: readonly Line[]): string {
	const path = join(mkdtempSync(join(tmpdir(), 'masticloom-losses-')), 'router.log');
	writeFileSync(path, lines.map((line) => `edge-1 ${JSON.stringify(line)}`).join('\n'));
	return path;
}

async function run(
	...words: readonly string[]
): Promise<{ readonly code: number; readonly printed: readonly string[] }> {
	const printed: string[] = [];
	const code = await runCommandLine(['node', 'masticloom', 'losses', ...words], {
		print: (line) => printed.push(line),
		printError: (line) => printed.push(line),
	});
	return { code, printed };
}

/** Log line of an admission decision, with a latency target of 500 ms. */
function admission(id: string, atMs: number, fields: Line = {}): Line {
	return {
		time: new Date(atMs).toISOString(),
		event: 'admission',
		id,
		route: 'drafts',
		account: 'archive',
		service: 'scribes',
		cost: 100,
		outcome: 'placed',
		waitMs: 100,
		readMs: 50,
		limitMs: 300,
		aimLeftMs: 500,
		elapsedMs: 0,
		...fields,
	};
}

function end(id: string, fields: Line = {}): Line {
	const time = new Date(0).toISOString();
	return { time, event: 'request-end', id, status: 200, reason: '', firstBytesMs: 200, ...fields };
}

describe('masticloom losses', () => {
	// Guards against causes that are confused with each other, which would send an operator to the wrong part of the fleet.
	test.each<readonly [string, readonly Line[]]>([
		['in-time', [admission('a', 0), end('a')]],
		['late-although-predicted-in-time', [admission('a', 0), end('a', { firstBytesMs: 501 })]],
		['late-as-predicted', [admission('a', 0, { aimLeftMs: 140 }), end('a')]],
		['refused-busy', [admission('a', 0, { outcome: 'busy' }), admission('b', 101), end('b')]],
		['refused-with-room', [admission('a', 0, { outcome: 'busy' }), admission('b', 100), end('b')]],
		['refused-busy', [admission('a', 0, { outcome: 'busy' }), admission('b', 100, { waitMs: 301 }), end('b')]],
		['refused-over-share', [{ ...admission('a', 0), event: 'refused', reason: 'over-share' }]],
		['refused-by-router', [{ ...admission('a', 0), event: 'refused', reason: 'overloaded' }]],
		['broken-by-server', [admission('a', 0), end('a', { status: 502, reason: 'server-broken' })]],
		['ended-by-router', [admission('a', 0), end('a', { status: 504, reason: 'deadline' })]],
		['caller-left', [admission('a', 0), end('a', { status: 0, reason: 'caller-left' })]],
		['unfinished', [admission('a', 0)]],
		// A request that a neighbour placed after a refusal was not lost.
		['in-time', [admission('a', 0, { outcome: 'busy' }), admission('a', 5), end('a')]],
	])('names the cause: %s', async (fate, lines) => {
		const { code, printed } = await run('--by', 'second', writeLog(lines));
		expect(code).toBe(0);
		expect(printed[1]).toContain(`${fate} 1 (cost 100)`);
	});

	test('counts each request once in its group', async () => {
		const lines = ['a', 'b', 'c'].flatMap((id) => [admission(id, 0, { account: id === 'c' ? 'printer' : 'archive' })]);
		const { printed } = await run('--by', 'account', writeLog(lines));
		expect(printed).toEqual([
			'3 requests',
			'archive: 2; unfinished 2 (cost 200)',
			'printer: 1; unfinished 1 (cost 100)',
		]);
	});

	test('rejects an unknown group and files without requests', async () => {
		expect((await run('--by', 'colour', writeLog([admission('a', 0)]))).code).not.toBe(0);
		expect((await run(writeLog([]))).code).toBe(1);
	});
});
