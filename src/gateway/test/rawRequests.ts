import { HOST, KEY } from './gatewayFixture.js';

/**
 * @param id identifier of the request
 * @param headers further headers, each with its line end
 * @param body of the request
 * @returns the bytes of a request to the default route
 */
export function requestText(id: string, headers = 'Content-Length: 0\r\n', body = ''): string {
	return `POST /orders/1 HTTP/1.1\r\nHost: ${HOST}\r\nAuthorization: ${KEY}\r\nRequest-Id: ${id}\r\n${headers}\r\n${body}`;
}

/**
 * @param text received on a connection
 * @returns status of each response, in the order of their arrival
 */
export function statusesOf(text: string): readonly string[] {
	return [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status ?? '');
}
