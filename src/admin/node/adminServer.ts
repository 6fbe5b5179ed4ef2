import * as http from 'node:http';
import * as https from 'node:https';
import type { AddressInfo } from 'node:net';
import { Effect, type Scope } from 'effect';
import { getLogger } from '../../base/node/log.js';
import { type SocketAddress, formatAddress } from '../../settings/common/settings.js';
import { type AccountFacts, explainAccount } from '../common/explanation.js';
import { evaluateReadiness, type ReadinessCheck } from '../common/readiness.js';

const log = getLogger('admin');
const JSON_TYPE = 'application/json';
const PROBLEM_TYPE = 'application/problem+json';

/** Data that the components of the program supply to the admin server. */
export interface AdminSources {
	readonly readiness: readonly ReadinessCheck[];
	/** Functions that return the state of a component, by its name; called for each state dump. */
	readonly dumps: Readonly<Record<string, () => unknown>>;
	/** @returns the state of a client account, or undefined when the configuration does not list it */
	readonly accountFacts: (account: string) => AccountFacts | undefined;
	readonly metrics: { readonly contentType: string; readonly render: () => Promise<string> };
}

/** Reason why the server cannot listen on the admin address. */
export interface ListenError {
	readonly message: string;
}

/** Creates an HTTP server, with or without TLS. */
export type HttpServerFactory = (handler: http.RequestListener) => http.Server | https.Server;

interface AdminResponse {
	readonly status: number;
	readonly type: string;
	readonly body: string;
}

type Route = (query: URLSearchParams, sources: AdminSources) => AdminResponse | Promise<AdminResponse>;

const ROUTES: ReadonlyMap<string, Route> = new Map<string, Route>([
	['/healthz', () => ({ status: 200, type: 'text/plain; charset=utf-8', body: 'ok\n' })],
	['/readyz', (_query, sources) => createReadinessResponse(sources)],
	[
		'/metrics',
		async (_query, { metrics }) => ({ status: 200, type: metrics.contentType, body: await metrics.render() }),
	],
	['/state', (_query, sources) => createJsonResponse(200, dumpState(sources))],
	['/explain', (query, sources) => createExplanationResponse(query, sources)],
]);

/**
 * Serves health, readiness, metrics, state dumps and explanations until the scope closes.
 *
 * @param address address to listen on
 * @param sources data that the components of the program supply
 * @param createServer creates the server; plain HTTP by default
 * @returns the address with the bound port
 */
export function serveAdmin(
	address: SocketAddress,
	sources: AdminSources,
	createServer: HttpServerFactory = (handler) => http.createServer(handler),
): Effect.Effect<SocketAddress, ListenError, Scope.Scope> {
	const server = createServer((request, response) => void respond(request, response, sources));
	return Effect.acquireRelease(listen(server, address), () => close(server));
}

function listen(server: http.Server, address: SocketAddress): Effect.Effect<SocketAddress, ListenError> {
	return Effect.callback<SocketAddress, ListenError>((resume) => {
		const fail = (error: Error): void =>
			resume(
				Effect.fail({ message: `cannot listen on the admin address ${formatAddress(address)}: ${error.message}` }),
			);
		server.once('error', fail);
		server.listen(address.port, address.host, () => {
			server.off('error', fail);
			server.on('error', (error) => log.error(`The server failed: ${error.message}.`));
			resume(Effect.succeed({ host: address.host, port: (server.address() as AddressInfo).port }));
		});
	});
}

function close(server: http.Server): Effect.Effect<void> {
	return Effect.promise(
		() =>
			new Promise<void>((resolve) => {
				server.close(() => resolve());
				server.closeAllConnections();
			}),
	);
}

async function respond(
	request: http.IncomingMessage,
	response: http.ServerResponse,
	sources: AdminSources,
): Promise<void> {
	const adminResponse = await handleRequest(request, sources).catch((error: unknown) => {
		log.error(`${request.url ?? ''} failed: ${String(error)}.`);
		return createProblemResponse(500, error instanceof Error ? error.message : String(error));
	});
	const body = Buffer.from(adminResponse.body);
	response.writeHead(adminResponse.status, {
		'content-type': adminResponse.type,
		'content-length': body.length,
		'cache-control': 'no-store',
		...(adminResponse.status === 405 && { allow: 'GET, HEAD' }),
	});
	response.end(request.method === 'HEAD' ? undefined : body);
}

async function handleRequest(request: http.IncomingMessage, sources: AdminSources): Promise<AdminResponse> {
	const [path = '', query = ''] = (request.url ?? '').split('?', 2);
	const route = ROUTES.get(path);
	if (route === undefined) {
		return createProblemResponse(404, `There is no ${path}; known paths are ${[...ROUTES.keys()].join(', ')}.`);
	}
	if (request.method !== 'GET' && request.method !== 'HEAD') {
		return createProblemResponse(405, 'Only GET and HEAD are allowed.');
	}
	return route(new URLSearchParams(query), sources);
}

function createReadinessResponse(sources: AdminSources): AdminResponse {
	const readiness = evaluateReadiness(sources.readiness);
	return createJsonResponse(readiness.ready ? 200 : 503, readiness);
}

function createExplanationResponse(query: URLSearchParams, sources: AdminSources): AdminResponse {
	const account = query.get('account');
	if (account === null || account === '') {
		return createProblemResponse(400, 'The parameter account is required, as in /explain?account=ID.');
	}
	const facts = sources.accountFacts(account);
	return facts === undefined
		? createProblemResponse(404, `The configuration in force has no client account '${account}'.`)
		: createJsonResponse(200, explainAccount(facts));
}

/** A component whose dump fails is listed with its error, since dumps are used to diagnose faults. */
function dumpState(sources: AdminSources): Readonly<Record<string, unknown>> {
	return Object.fromEntries(
		Object.entries(sources.dumps).map(([component, dump]) => {
			try {
				return [component, dump()];
			} catch (error) {
				return [component, { error: String(error) }];
			}
		}),
	);
}

function createJsonResponse(status: number, value: unknown): AdminResponse {
	return { status, type: JSON_TYPE, body: `${JSON.stringify(value, undefined, '\t')}\n` };
}

function createProblemResponse(status: number, detail: string): AdminResponse {
	const problem = { type: 'about:blank', title: http.STATUS_CODES[status], status, detail };
	return { status, type: PROBLEM_TYPE, body: `${JSON.stringify(problem)}\n` };
}
