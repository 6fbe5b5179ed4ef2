import { setTimeout as sleep } from 'node:timers/promises';
import { Effect, Result } from 'effect';
import {
	compareContent,
	formatChange,
	type ConfigurationChange,
} from '../../configuration/common/configurationChanges.js';
import type { ConfigurationContent } from '../../configuration/common/model.js';
import type { ConfigurationPublisher, PublishError } from '../../configuration/node/configurationPublisher.js';
import { readConfigurationFile } from './configurationFile.js';
import { EXIT_FAILED, EXIT_OK, EXIT_USAGE, type CommandOutput } from './exitCodes.js';
import { queryRouters, findRouters, type RouterReport, type RouterSource } from './fleetStatus.js';

const POLL_INTERVAL_MS = 200;
const MAXIMUM_PRINTED_CHANGES = 20;

/** Options of the command. */
export interface ApplyOptions {
	/** The version that the file was made from; another version in the store is a conflict. */
	readonly base?: number;
	/** Whether to wait until every router has the version in force. */
	readonly wait: boolean;
	/** Maximum wait in milliseconds. */
	readonly waitLimitMs: number;
	readonly routers: RouterSource;
}

/**
 * Publishes a configuration file.
 *
 * @param file path of the file
 * @param publisher writes to the store
 * @param options base version and wait
 * @param output receives the messages
 * @returns the exit code
 */
export async function apply(
	file: string,
	publisher: ConfigurationPublisher,
	options: ApplyOptions,
	output: CommandOutput,
): Promise<number> {
	const content = readConfigurationFile(file);
	if (content.isErr) {
		content.error.forEach(output.printError);
		return EXIT_USAGE;
	}
	const version = await publish(content.value, publisher, options, output);
	if (version === undefined) {
		return EXIT_FAILED;
	}
	return options.wait ? waitForRouters(version, options, output) : EXIT_OK;
}

async function publish(
	content: ConfigurationContent,
	publisher: ConfigurationPublisher,
	options: ApplyOptions,
	output: CommandOutput,
): Promise<number | undefined> {
	const base = await Effect.runPromise(Effect.result(publisher.load()));
	if (Result.isFailure(base)) {
		output.printError(`Not applied: ${base.failure.message}.`);
		return undefined;
	}
	const stored = base.success.head.version;
	if (options.base !== undefined && options.base !== stored) {
		output.printError(`Not applied: the store has version ${stored}, the file was made from version ${options.base}.`);
		output.printError('From the file to the store:');
		printChanges(compareContent(content, base.success.configuration), output.printError);
		return undefined;
	}
	const published = await Effect.runPromise(Effect.result(publisher.publish(base.success, content)));
	if (Result.isFailure(published)) {
		explainFailure(published.failure, output);
		return undefined;
	}
	const { version, changes } = published.success;
	output.print(
		changes.length === 0 ? `Version ${version} already has the same content.` : `Applied version ${version}:`,
	);
	printChanges(changes, output.print);
	return version;
}

function explainFailure(error: PublishError, output: CommandOutput): void {
	switch (error.kind) {
		case 'conflict':
			output.printError(`Not applied: ${error.message}:`);
			printChanges(error.changes, output.printError);
			output.printError('Bring these changes into your file and apply it again.');
			return;
		case 'not-published':
			output.printError(`Not applied: ${error.message}.`);
			return;
		case 'unknown':
			output.printError(`It is unknown whether the configuration was applied: ${error.message}.`);
			output.printError('Run the same command again: it changes nothing if the configuration was applied.');
	}
}

function printChanges(changes: readonly ConfigurationChange[], write: (line: string) => void): void {
	for (const change of changes.slice(0, MAXIMUM_PRINTED_CHANGES)) {
		write(`  ${formatChange(change)}`);
	}
	if (changes.length > MAXIMUM_PRINTED_CHANGES) {
		write(`  and ${changes.length - MAXIMUM_PRINTED_CHANGES} more`);
	}
}

async function waitForRouters(version: number, options: ApplyOptions, output: CommandOutput): Promise<number> {
	const startedAt = performance.now();
	for (;;) {
		const outdated = await findOutdated(version, options.routers);
		if (outdated.length === 0) {
			const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
			output.print(`Version ${version} is in force on every router (after ${seconds} s).`);
			return EXIT_OK;
		}
		if (performance.now() - startedAt > options.waitLimitMs) {
			output.printError(`Version ${version} is stored, but not in force on every router:`);
			outdated.forEach((reason) => output.printError(`  ${reason}`));
			return EXIT_FAILED;
		}
		await sleep(POLL_INTERVAL_MS);
	}
}

/** @returns why the version is not in force everywhere, one line per router; empty when it is */
async function findOutdated(version: number, source: RouterSource): Promise<readonly string[]> {
	try {
		const reports = await queryRouters(await findRouters(source), source.certificates);
		if (reports.length === 0) {
			return ['the instance list has no router'];
		}
		return reports.filter((report) => !hasVersion(report, version)).map(describeOutdated);
	} catch (error) {
		return [(error as Error).message];
	}
}

// A leaving router that no longer responds accepts no requests, so no version is in force there.
function hasVersion(report: RouterReport, version: number): boolean {
	return report.version === undefined ? report.leaving : report.version >= version;
}

function describeOutdated({ name, version, problem }: RouterReport): string {
	return version === undefined ? `${name}: ${problem ?? 'has no configuration'}` : `${name}: has version ${version}`;
}
