import { readFileSync } from 'node:fs';
import * as http from 'node:http';
import * as https from 'node:https';

/** The daemon's own admin address in the sample settings. */
export const DEFAULT_ADMIN_ADDRESS = '127.0.0.1:8082';

const ANSWER_LIMIT_MS = 10_000;

/** Options of all commands that ask a router's admin address. */
export interface AdminOptions {
	/** IP address and port. */
	readonly admin: string;
	/** Paths of the operator's PEM files; either all three or none are given. */
	readonly certificate?: string;
	readonly key?: string;
	readonly authority?: string;
}

/**
 * Asks a router's admin address, over TLS when certificates are given.
 *
 * @param options address and certificates
 * @param path path and query
 * @returns the decoded JSON answer
 * @throws Error with a sentence for the operator when there is no answer with status 200
 */
export async function requestAdmin(options: AdminOptions, path: string): Promise<unknown> {
	const tls = readTlsOptions(options);
	const { status, body } = await get(options.admin, path, tls);
	if (status === 200) {
		return JSON.parse(body);
	}
	throw new Error(detailOf(body) ?? `the router answered with status ${status}`);
}

function readTlsOptions({ certificate, key, authority }: AdminOptions): https.RequestOptions | undefined {
	if (certificate === undefined && key === undefined && authority === undefined) {
		return undefined;
	}
	if (certificate === undefined || key === undefined || authority === undefined) {
		throw new Error('--certificate, --key and --authority are only useful together');
	}
	return {
		cert: readFileSync(certificate),
		key: readFileSync(key),
		ca: readFileSync(authority),
		// Any router of the fleet may answer: its certificate names an instance, not the address that was asked.
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
		const options = { agent: false, timeout: ANSWER_LIMIT_MS, ...tls };
		const request = (tls === undefined ? http : https).get(url, options, (response) => {
			const chunks: Buffer[] = [];
			response.on('data', (chunk: Buffer) => chunks.push(chunk));
			response.on('error', fail);
			response.on('end', () =>
				resolve({ status: response.statusCode ?? 0, body: Buffer.concat(chunks).toString('utf8') }),
			);
		});
		request.on('timeout', () => request.destroy(new Error(`no answer within ${ANSWER_LIMIT_MS} ms`)));
		request.on('error', fail);
	});
}

function detailOf(body: string): string | undefined {
	try {
		const problem = JSON.parse(body) as { readonly detail?: unknown };
		return typeof problem.detail === 'string' ? problem.detail : undefined;
	} catch {
		return undefined;
	}
}
