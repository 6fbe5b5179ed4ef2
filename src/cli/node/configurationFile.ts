import { readFileSync } from 'node:fs';
import { Result } from 'true-myth';
import { formatFault } from '../../configuration/common/configurationFault.js';
import { validateContent } from '../../configuration/common/configurationValidation.js';
import type { ConfigurationContent } from '../../configuration/common/model.js';

/**
 * Reads and validates a configuration file in the format printed by the operators' library.
 *
 * @param file path of the file
 * @returns the content, or one line for each fault
 */
export function readConfigurationFile(file: string): Result<ConfigurationContent, readonly string[]> {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		return Result.err([`cannot read ${file}: ${(error as Error).message}`]);
	}
	let input: unknown;
	try {
		input = JSON.parse(text);
	} catch (error) {
		return Result.err([`${file} is not JSON: ${(error as Error).message}`]);
	}
	return validateContent(input).mapErr((faults) => faults.map((fault) => `${file}: ${formatFault(fault)}`));
}
