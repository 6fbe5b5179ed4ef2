/** Base URL of a backend server by its identifier. */
export type BackendUrlFactory = (id: string) => string;

const FIRST_HOST = 11;
const PORT = 8000;

/**
 * Tokens of the sample accounts are public, so these deployments are for trials only.
 *
 * @param account identifier of a sample account
 * @returns its token
 */
export function sampleToken(account: string): string {
	return `sample-token-of-${account}`;
}

/** @returns a function that gives each backend server an address of its own from the range for documentation */
export function createDocumentationUrls(): BackendUrlFactory {
	let hosts = 0;
	return () => `http://192.0.2.${FIRST_HOST + hosts++}:${PORT}`;
}
