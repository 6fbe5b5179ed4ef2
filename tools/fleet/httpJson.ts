/**
 * Sends a JSON request to the control API of a stand-in or to the admin address of a router.
 *
 * @param method HTTP method
 * @param url absolute URL
 * @param body value to encode as JSON; no body when undefined
 * @returns the decoded response; undefined when it is empty
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
