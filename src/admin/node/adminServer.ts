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

/** What the parts of the program supply to the admin address. */
export interface AdminSources {
	readonly readiness: readonly ReadinessCheck[];
	/** State of each part by its name; called for each state dump. */
	readonly dumps: Readonly<Record<string, () => unknown>>;
	/** @returns what is known about a client account, or undefined when the configuration does not list it */
	readonly accountFacts: (account: string) => AccountFacts | undefined;
	readonly metrics: { readonly contentType: string; readonly render: () => Promise<string> };
}

/** The admin address cannot be used. */
export interface ListenError {
	readonly message: string;
}

/** Makes an HTTP server, with or without TLS. */
export type HttpServerFactory = (handler: http.RequestListener) => http.Server | https.Server;

interface Answer {
	readonly status: number;
	readonly type: string;
	readonly body: string;
}

type Route = (query: URLSearchParams, sources: AdminSources) => Answer | Promise<Answer>;

const ROUTES: ReadonlyMap<string, Route> = new Map<string, Route>([
	['/healthz', () => ({ status: 200, type: 'text/plain; charset=utf-8', body: 'ok\n' })],
	['/readyz', (_query, sources) => answerReadiness(sources)],
	[
		'/metrics',
		async (_query, { metrics }) => ({ status: 200, type: metrics.contentType, body: await metrics.render() }),
	],
	['/state', (_query, sources) => answerJson(200, dumpState(sources))],
	['/explain', (query, sources) => answerExplanation(query, sources)],
]);

/**
 * Serves health, readiness, metrics, state dump and explanations until the scope closes.
 *
 * @param address address to listen on
 * @param sources what the parts of the program supply
 * @param createServer makes the server; the default speaks plain HTTP
 * @returns the address with the port in use
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
		const refuse = (error: Error): void =>
			resume(
				Effect.fail({ message: `cannot listen on the admin address ${formatAddress(address)}: ${error.message}` }),
			);
		server.once('error', refuse);
		server.listen(address.port, address.host, () => {
			server.off('error', refuse);
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
	const answer = await answerRequest(request, sources).catch((error: unknown) => {
		log.error(`${request.url ?? ''} failed: ${String(error)}.`);
		return answerProblem(500, error instanceof Error ? error.message : String(error));
	});
	const body = Buffer.from(answer.body);
	response.writeHead(answer.status, {
		'content-type': answer.type,
		'content-length': body.length,
		'cache-control': 'no-store',
		...(answer.status === 405 && { allow: 'GET, HEAD' }),
	});
	response.end(request.method === 'HEAD' ? undefined : body);
}

async function answerRequest(request: http.IncomingMessage, sources: AdminSources): Promise<Answer> {
	const [path = '', query = ''] = (request.url ?? '').split('?', 2);
	const route = ROUTES.get(path);
	if (route === undefined) {
		return answerProblem(404, `There is no ${path}; known paths are ${[...ROUTES.keys()].join(', ')}.`);
	}
	if (request.method !== 'GET' && request.method !== 'HEAD') {
		return answerProblem(405, 'Only GET and HEAD are allowed.');
	}
	return route(new URLSearchParams(query), sources);
}

function answerReadiness(sources: AdminSources): Answer {
	const readiness = evaluateReadiness(sources.readiness);
	return answerJson(readiness.ready ? 200 : 503, readiness);
}

function answerExplanation(query: URLSearchParams, sources: AdminSources): Answer {
	const account = query.get('account');
	if (account === null || account === '') {
		return answerProblem(400, 'The parameter account is required, as in /explain?account=ID.');
	}
	const facts = sources.accountFacts(account);
	return facts === undefined
		? answerProblem(404, `The configuration in force has no client account '${account}'.`)
		: answerJson(200, explainAccount(facts));
}

/** A part whose dump fails is shown with its error, because a dump is needed most when something is wrong. */
function dumpState(sources: AdminSources): Readonly<Record<string, unknown>> {
	return Object.fromEntries(
		Object.entries(sources.dumps).map(([part, dump]) => {
			try {
				return [part, dump()];
			} catch (error) {
				return [part, { error: String(error) }];
			}
		}),
	);
}

function answerJson(status: number, value: unknown): Answer {
	return { status, type: JSON_TYPE, body: `${JSON.stringify(value, undefined, '\t')}\n` };
}

function answerProblem(status: number, detail: string): Answer {
	const problem = { type: 'about:blank', title: http.STATUS_CODES[status], status, detail };
	return { status, type: PROBLEM_TYPE, body: `${JSON.stringify(problem)}\n` };
}
