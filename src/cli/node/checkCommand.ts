import { readConfigurationFile } from './configurationFile.js';
import { EXIT_OK, EXIT_USAGE, type CommandOutput } from './exitCodes.js';

/**
 * Validates a configuration file.
 *
 * @param file path of the file
 * @param output receives the faults or a summary
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
