/**
 * Sends a small JSON call to a stand-in or an admin address.
 *
 * @param method HTTP method
 * @param url absolute URL
 * @param body value to encode
 * @returns decoded answer
 * @throws Error when the status is not 200
 */
export async function callJson(method: 'GET' | 'POST' | 'DELETE', url: string, body?: unknown): Promise<unknown> {
	const response = await fetch(url, {
		method,
		headers: { 'content-type': 'application/json', connection: 'close' },
		body: body === undefined ? undefined : JSON.stringify(body),
	});
	const text = await response.text();
	if (response.status !== 200) {
		throw new Error(`${method} ${url} answered ${response.status}: ${text}`);
	}
	return text === '' ? undefined : (JSON.parse(text) as unknown);
}
