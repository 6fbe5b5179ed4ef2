import { createHash } from 'node:crypto';
import { canonicalJson } from '../common/canonicalJson.js';
import { formatFault } from '../common/configurationFault.js';
import type { DeploymentBuilder } from '../common/deploymentBuilder.js';

const BAD_INPUT_EXIT_CODE = 2;

/**
 * Prints a deployment as canonical JSON for `masticloom apply`. If the deployment has faults, prints them to standard
 * error instead, one a line, and sets the exit code of the process to 2.
 *
 * @param deployment definitions of the deployment
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
 * Computes the digest by which the configuration refers to a token.
 *
 * @param token a secret token
 * @returns its SHA-256 digest in hexadecimal form
 */
export function digestOfToken(token: string): string {
	return createHash('sha256').update(token).digest('hex');
}
