import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, expect, test } from '@jest/globals';
import { runCommandLine } from '../node/commandLine.js';

function writeLog(name: string, lines: readonly string[]): string {
	const path = join(mkdtempSync(join(tmpdir(), 'masticloom-trace-')), name);
	writeFileSync(path, lines.join('\n'));
	return path;
}

function formatLine(fields: Readonly<Record<string, unknown>>): string {
	return JSON.stringify(fields);
}

async function run(...parameters: readonly string[]): Promise<{
	readonly code: number;
	readonly printed: readonly string[];
	readonly errors: readonly string[];
}> {
	const printed: string[] = [];
	const errors: string[] = [];
	const code = await runCommandLine(['node', 'masticloom', 'trace', ...parameters], {
		print: (line) => printed.push(line),
		printError: (line) => errors.push(line),
	});
	return { code, printed, errors };
}

const decision = {
	time: '2026-01-01T00:00:01.000Z',
	router: 'edge-1',
	event: 'admission',
	id: 'r1',
	server: 'engine-1',
	outcome: 'placed',
	waitMs: 12,
};
const end = { time: '2026-01-01T00:00:02.000Z', router: 'edge-1', event: 'request-end', id: 'r1', status: 200 };
const change = {
	time: '2026-01-01T00:00:00.500Z',
	router: 'edge-1',
	event: 'server-changed',
	server: 'engine-1',
	change: 'added',
};

describe('masticloom trace', () => {
	test('merges the lines of several files in order of time, with changes of the request’s servers', async () => {
		const one = writeLog('one.log', ['noise', `prefix ${formatLine(end)}`, formatLine({ ...end, id: 'r2' })]);
		const two = writeLog('two.log', [formatLine(decision), formatLine(change), '{"time":"cut']);
		const { code, printed } = await run('r1', one, two);
		expect(code).toBe(0);
		expect(printed).toEqual([
			'2026-01-01T00:00:00.500Z edge-1 server-changed server=engine-1 change=added',
			'2026-01-01T00:00:01.000Z edge-1 admission server=engine-1 outcome=placed waitMs=12',
			'2026-01-01T00:00:02.000Z edge-1 request-end status=200',
		]);
	});

	test('reports when no line names the request', async () => {
		const { code, errors } = await run('r9', writeLog('one.log', [formatLine(end)]));
		expect(code).toBe(1);
		expect(errors[0]).toContain('r9');
	});

	test('reports which file cannot be read', async () => {
		const { code, errors } = await run('r1', '/nowhere/one.log');
		expect(code).toBe(1);
		expect(errors[0]).toContain('/nowhere/one.log');
	});
});
