import { Effect, Result } from 'effect';
import type { ConfigurationPublisher } from '../../configuration/node/configurationPublisher.js';
import { EXIT_FAILED, EXIT_OK, type CommandOutput } from './exitCodes.js';
import { queryRouters, findRouters, type RouterReport, type RouterSource } from './fleetStatus.js';

const COLUMN_GAP = 2;

/**
 * Shows the version in the store and the state that each router reports.
 *
 * @param publisher reads the store
 * @param source source of the routers' admin addresses
 * @param output receives the table
 * @returns 0 when every router is ready and has the version of the store
 */
export async function status(
	publisher: ConfigurationPublisher | undefined,
	source: RouterSource,
	output: CommandOutput,
): Promise<number> {
	const stored = publisher && (await Effect.runPromise(Effect.result(publisher.storedVersion())));
	const version = stored && Result.isSuccess(stored) ? stored.success : undefined;
	if (stored !== undefined) {
		const storeStatus = Result.isSuccess(stored)
			? `version ${version ?? 0}`
			: `not readable: ${stored.failure.message}`;
		output.print(`store: ${storeStatus}`);
	}
	const reports = await queryRouters(await findRouters(source), source.certificates);
	formatTable(reports).forEach(output.print);
	const isStoreRead = stored === undefined || version !== undefined;
	const outdated = reports.filter((report) => !report.ready || (version !== undefined && report.version !== version));
	return isStoreRead && reports.length > 0 && outdated.length === 0 ? EXIT_OK : EXIT_FAILED;
}

function formatTable(reports: readonly RouterReport[]): readonly string[] {
	if (reports.length === 0) {
		return ['no routers found'];
	}
	const rows = reports.map(({ name, version, ready, leaving, problem }) => [
		name,
		version === undefined ? '-' : String(version),
		leaving ? 'leaving' : ready ? 'ready' : 'not ready',
		problem ?? '',
	]);
	const table = [['router', 'version', 'state', ''], ...rows];
	const widths = [0, 1, 2].map((column) => Math.max(...table.map((row) => row[column]?.length ?? 0)) + COLUMN_GAP);
	return table.map((row) =>
		row
			.map((cell, column) => cell.padEnd(widths[column] ?? 0))
			.join('')
			.trimEnd(),
	);
}
