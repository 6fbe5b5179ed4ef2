import { readConfigurationFile } from './configurationFile.js';
import { EXIT_OK, EXIT_USAGE, type CommandOutput } from './exitCodes.js';

/**
 * Checks a configuration file.
 *
 * @param file path
 * @param output where the faults or the summary go
 * @returns the exit code
 */
export function check(file: string, output: CommandOutput): number {
	return readConfigurationFile(file).match({
		Ok: ({ accounts, services, pools, backendServers }) => {
			output.print(
				`${file} is valid: ${accounts.length} accounts, ${services.length} services, ${pools.length} pools, ` +
					`${backendServers.length} backend servers.`,
			);
			return EXIT_OK;
		},
		Err: (faults) => {
			faults.forEach(output.printError);
			return EXIT_USAGE;
		},
	});
}
