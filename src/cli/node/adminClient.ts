import { readFileSync } from 'node:fs';
import * as http from 'node:http';
import * as https from 'node:https';

/** Admin address of the daemon in the sample settings. */
export const DEFAULT_ADMIN_ADDRESS = '127.0.0.1:8082';

const RESPONSE_TIMEOUT_MS = 10_000;

/** Options of all commands that query a router's admin address. */
export interface AdminOptions {
	/** IP address and port. */
	readonly admin: string;
	/** Paths of the operator's PEM files; given all together or not at all. */
	readonly certificate?: string;
	readonly key?: string;
	readonly authority?: string;
}

/**
 * Sends a request to a router's admin address, over TLS when certificates are given.
 *
 * @param options address and certificates
 * @param path path and query
 * @returns the decoded JSON response
 * @throws Error with a message for the operator when there is no response with status 200
 */
export async function requestAdmin(options: AdminOptions, path: string): Promise<unknown> {
	const tls = readTlsOptions(options);
	const { status, body } = await get(options.admin, path, tls);
	if (status === 200) {
		return JSON.parse(body);
	}
	throw new Error(parseDetail(body) ?? `the router answered with status ${status}`);
}

function readTlsOptions({ certificate, key, authority }: AdminOptions): https.RequestOptions | undefined {
	if (certificate === undefined && key === undefined && authority === undefined) {
		return undefined;
	}
	if (certificate === undefined || key === undefined || authority === undefined) {
		throw new Error('--certificate, --key and --authority must be given together');
	}
	return {
		cert: readFileSync(certificate),
		key: readFileSync(key),
		ca: readFileSync(authority),
		// Any router of the fleet may respond: its certificate names an instance, not the requested address.
		checkServerIdentity: () => undefined,
	};
}

function get(
	address: string,
	path: string,
	tls: https.RequestOptions | undefined,
): Promise<{ readonly status: number; readonly body: string }> {
	const url = `${tls === undefined ? 'http' : 'https'}://${address}${path}`;
	if (!URL.canParse(url)) {
		return Promise.reject(new Error(`'${address}' is not an IP address with a port`));
	}
	return new Promise((resolve, reject) => {
		const fail = (error: Error): void => reject(new Error(`cannot ask ${address}: ${error.message}`));
		const options = { agent: false, timeout: RESPONSE_TIMEOUT_MS, ...tls };
		const request = (tls === undefined ? http : https).get(url, options, (response) => {
			const chunks: Buffer[] = [];
			response.on('data', (chunk: Buffer) => chunks.push(chunk));
			response.on('error', fail);
			response.on('end', () =>
				resolve({ status: response.statusCode ?? 0, body: Buffer.concat(chunks).toString('utf8') }),
			);
		});
		request.on('timeout', () => request.destroy(new Error(`no response within ${RESPONSE_TIMEOUT_MS} ms`)));
		request.on('error', fail);
	});
}

function parseDetail(body: string): string | undefined {
	try {
		const problem = JSON.parse(body) as { readonly detail?: unknown };
		return typeof problem.detail === 'string' ? problem.detail : undefined;
	} catch {
		return undefined;
	}
}
