/** Returns the base URL of a backend server for its identifier. */
export type BackendUrlFactory = (id: string) => string;

const FIRST_HOST = 11;
const PORT = 8000;

/**
 * Returns the token of a sample account. These tokens are public, so the sample deployments are for trials only.
 *
 * @param account identifier of a sample account
 * @returns its token
 */
export function sampleToken(account: string): string {
	return `sample-token-of-${account}`;
}

/** @returns a function that assigns each backend server a different address of the documentation range (RFC 5737) */
export function createDocumentationUrls(): BackendUrlFactory {
	let hosts = 0;
	return () => `http://192.0.2.${FIRST_HOST + hosts++}:${PORT}`;
}
