import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, expect, test } from '@jest/globals';
import { runCommandLine } from '../node/commandLine.js';

const SECONDS = 6;

function writeLog(lines: readonly Readonly<Record<string, unknown>>[]): string {
	const path = join(mkdtempSync(join(tmpdir(), 'masticloom-fairness-')), 'router.log');
	writeFileSync(path, lines.map((line) => `edge-1 ${JSON.stringify(line)}`).join('\n'));
	return path;
}

async function run(
	...files: readonly string[]
): Promise<{ readonly code: number; readonly printed: readonly string[] }> {
	const printed: string[] = [];
	const code = await runCommandLine(['node', 'masticloom', 'fairness', ...files], {
		print: (line) => printed.push(line),
		printError: (line) => printed.push(line),
	});
	return { code, printed };
}

/** Log lines of two accounts in one second: `printer` is placed one of three requests, and `archive` its only one. */
function linesOfSecond(second: number): readonly Readonly<Record<string, unknown>>[] {
	const time = new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString();
	const decision = { time, event: 'admission', aimLeftMs: 500, elapsedMs: 0 };
	return [
		{ ...decision, id: `a${second}`, account: 'archive', cost: 1_000, outcome: 'placed' },
		{ ...decision, id: `b${second}`, account: 'printer', cost: 200, outcome: 'placed' },
		{ ...decision, id: `c${second}`, account: 'printer', cost: 200, outcome: 'over-share' },
		{ time, event: 'refused', id: `d${second}`, account: 'printer', cost: 400 },
	];
}

describe('masticloom fairness', () => {
	test('compares an account that waited in each second with the best served one', async () => {
		const lines = Array.from({ length: SECONDS }, (_, second) => linesOfSecond(second)).flat();
		const { code, printed } = await run(writeLog(lines));
		expect(code).toBe(0);
		expect(printed[0]).toBe('24 requests; windows of 6 s with an account that waited: 1');
		expect(printed[2]).toBe('from 0 s printer: 0.25, asked 4800, comparable 4800, got 1200');
	});

	test('counts a request that one router refused and another placed as served', async () => {
		const time = new Date(0).toISOString();
		const refused = { time, event: 'refused', id: 'a', account: 'printer', cost: 400 };
		const placed = { ...refused, event: 'admission', outcome: 'placed', aimLeftMs: 500, elapsedMs: 0 };
		const { printed } = await run(writeLog([refused]), writeLog([placed]));
		expect(printed[0]).toBe('1 requests; windows of 6 s with an account that waited: 0');
	});

	// Guards against an account that seems to have received no service because its router dropped the log lines.
	test('reports when routers have dropped lines', async () => {
		const time = new Date(0).toISOString();
		const { code, printed } = await run(
			writeLog([...linesOfSecond(0), { time, event: 'log-lines-dropped', lines: 1_771 }]),
		);
		expect(code).toBe(0);
		expect(printed[0]).toContain('1771');
	});

	test('reports that no line has the cost of a request', async () => {
		const { code, printed } = await run(writeLog([{ time: new Date(0).toISOString(), event: 'started' }]));
		expect(code).toBe(1);
		expect(printed[0]).toContain('cost');
	});
});
