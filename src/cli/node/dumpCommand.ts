import { type AdminOptions, requestAdmin } from './adminClient.js';

/**
 * Prints the state dump of one router as JSON.
 *
 * @param options address and certificates
 * @param print writes to standard output
 * @throws Error with a message for the operator
 */
export async function dump(options: AdminOptions, print: (text: string) => void): Promise<void> {
	print(JSON.stringify(await requestAdmin(options, '/state'), undefined, '\t'));
}
