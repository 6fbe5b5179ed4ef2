import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { Effect, Exit, Scope } from 'effect';
import { returkassettNorden } from '../../../deployments/returkassettNorden/deployment.js';
import { createDocumentationUrls } from '../../../deployments/sample.js';
import { wrekinAlmanacLabs } from '../../../deployments/wrekinAlmanacLabs/deployment.js';
import { PlatformStandIn } from '../../../standins/platform/platformStandIn.js';
import { serveAdmin } from '../../admin/node/adminServer.js';
import type { ConfigurationContent } from '../../configuration/common/model.js';
import { runCommandLine } from '../node/commandLine.js';

describe('applying a configuration from the command line', () => {
	let standIn: PlatformStandIn;
	let directory: string;
	let scope: Scope.Closeable;
	let printed: string[];
	let errors: string[];

	beforeEach(async () => {
		standIn = await PlatformStandIn.start();
		directory = mkdtempSync(join(tmpdir(), 'masticloom-'));
		scope = Effect.runSync(Scope.make());
	});

	afterEach(async () => {
		await Effect.runPromise(Scope.close(scope, Exit.void));
		rmSync(directory, { recursive: true });
		await standIn.close();
	});

	function run(...parameters: readonly string[]): Promise<number> {
		printed = [];
		errors = [];
		const output = { print: (line: string) => printed.push(line), printError: (line: string) => errors.push(line) };
		return runCommandLine(['node', 'masticloom', ...parameters], output);
	}

	function apply(file: string, ...parameters: readonly string[]): Promise<number> {
		return run('apply', file, '--store', standIn.storeUrl, '--instances', standIn.instanceListUrl, ...parameters);
	}

	function writeFile(input: unknown): string {
		const file = join(directory, 'configuration.json');
		writeFileSync(file, JSON.stringify(input));
		return file;
	}

	/** Adds a router to the instance list that reports the version returned by the function. */
	async function addRouter(name: string, version: () => number): Promise<void> {
		const sources = {
			readiness: [],
			dumps: { configuration: () => ({ version: version() }) },
			accountFacts: () => undefined,
			metrics: { contentType: 'text/plain', render: () => Promise.resolve('') },
		};
		const { port } = await Effect.runPromise(Scope.provide(serveAdmin({ host: '127.0.0.1', port: 0 }, sources), scope));
		const labels = { admin: `127.0.0.1:${port}` };
		standIn.instances.change({ instance: name, role: 'router', address: '127.0.0.1:1', labels });
	}

	const sampleContent = (): ConfigurationContent =>
		wrekinAlmanacLabs(createDocumentationUrls()).build().unwrapOrElse(fail);

	function fail(faults: unknown): never {
		throw new Error(JSON.stringify(faults));
	}

	test('the sample deployments of both users are valid', () => {
		for (const deployment of [
			sampleContent(),
			returkassettNorden(createDocumentationUrls()).build().unwrapOrElse(fail),
		]) {
			const servers = deployment.backendServers.map(({ pool }) => pool === 'application');
			expect(deployment.accounts).toHaveLength(16);
			expect(
				[servers.filter((application) => !application), servers.filter(Boolean)].map(({ length }) => length),
			).toEqual([8, 4]);
		}
	});

	test('waiting ends only when the slowest router has the version', async () => {
		let queries = 0;
		await addRouter('router-1', () => 1);
		await addRouter('router-2', () => (++queries < 3 ? 0 : 1));
		expect(await apply(writeFile(sampleContent()), '--wait')).toBe(0);
		expect(queries).toBe(3);
		expect(printed.at(-1)).toMatch(/^Version 1 is in force on every router/);
	});

	test('a router that keeps an old version is named, and the exit code is 1', async () => {
		await addRouter('router-1', () => 1);
		await addRouter('router-2', () => 0);
		expect(await apply(writeFile(sampleContent()), '--wait', '--wait-limit-ms', '0')).toBe(1);
		expect(errors).toEqual(['Version 1 is stored, but not in force on every router:', '  router-2: has version 0']);
	});

	test('a file made from an older version does not overwrite later changes', async () => {
		const content = sampleContent();
		await apply(writeFile(content));
		await apply(writeFile({ ...content, accounts: content.accounts.slice(1) }));
		expect(await apply(writeFile(content), '--base', '1')).toBe(1);
		expect(errors).toEqual([
			'Not applied: the store has version 2, the file was made from version 1.',
			'From the file to the store:',
			'  account almanac-north removed',
		]);
		expect(await run('status', '--store', standIn.storeUrl, '--instances', standIn.instanceListUrl)).toBe(1);
		expect(printed[0]).toBe('store: version 2');
	});

	test('invalid input and usage have exit code 2 and write nothing', async () => {
		const [first, ...others] = sampleContent().accounts;
		const wrong = { ...sampleContent(), accounts: [{ ...first, share: 0 }, ...others] };
		const file = writeFile(wrong);
		expect(await apply(file)).toBe(2);
		expect(errors).toEqual([`${file}: accounts[0].share: must be at least 1`]);
		expect(await run('check', file)).toBe(2);
		expect(await run('apply', writeFile(sampleContent()))).toBe(2);
		expect(await run('apply', writeFile(sampleContent()), '--store', 'nowhere')).toBe(2);
		expect(await run('apply', writeFile(sampleContent()), '--store', standIn.storeUrl, '--wait')).toBe(2);
		expect(standIn.counters.writes).toBe(0);
	});

	test('a store outage has exit code 1', async () => {
		await standIn.store.setFaults({ mode: 'refused' });
		expect(await apply(writeFile(sampleContent()), '--store-limit-ms', '0')).toBe(1);
		expect(errors[0]).toMatch(/^Not applied: /);
	});
});
