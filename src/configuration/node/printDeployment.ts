import { createHash } from 'node:crypto';
import { canonicalJson } from '../common/canonicalJson.js';
import { formatFault } from '../common/configurationFault.js';
import type { DeploymentBuilder } from '../common/deploymentBuilder.js';

const BAD_INPUT_EXIT_CODE = 2;

/**
 * Prints a deployment as canonical JSON for `masticloom apply`. With faults, it prints each of them to standard error
 * instead and makes the process end with code 2.
 *
 * @param deployment what the operator defined
 */
export function printDeployment(deployment: DeploymentBuilder): void {
	const content = deployment.build();
	if (content.isErr) {
		process.stderr.write(`${content.error.map(formatFault).join('\n')}\n`);
		process.exitCode = BAD_INPUT_EXIT_CODE;
		return;
	}
	process.stdout.write(`${canonicalJson(content.value)}\n`);
}

/**
 * @param token a secret token
 * @returns its SHA-256 digest, under which the configuration lists it
 */
export function digestOfToken(token: string): string {
	return createHash('sha256').update(token).digest('hex');
}
