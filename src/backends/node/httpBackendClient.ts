import * as http from 'node:http';
import { Effect } from 'effect';
import type { BackendServer } from '../../configuration/common/model.js';
import type { BackendFailure, BackendRequest, IAnswerSink, IBackendClient } from '../common/backendClient.js';

const CONNECT_TIMEOUT_MS = 1_000;

/** Header with which a backend server says that it did not start the request. */
const NOT_STARTED_HEADER = 'masticloom-not-started';

const CONNECTION_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'upgrade', NOT_STARTED_HEADER]);

/** Calls backend servers over HTTP/1.1 with connections that are kept open. */
export class HttpBackendClient implements IBackendClient {
	private readonly agent = new http.Agent({ keepAlive: true, scheduling: 'lifo' });

	private constructor() {}

	/** @returns a client without open connections */
	public static create(): HttpBackendClient {
		return new HttpBackendClient();
	}

	public call(server: BackendServer, request: BackendRequest, sink: IAnswerSink): Effect.Effect<void, BackendFailure> {
		return Effect.callback<void, BackendFailure>((resume) => {
			let sent = false;
			let answerStarted = false;
			const outgoing = http.request(new URL(request.path, server.url), {
				method: request.method,
				agent: this.agent,
				headers: { ...request.headers, 'content-length': String(request.body.length) },
			});
			const fail = (message: string, refused: boolean): void =>
				resume(
					Effect.fail({ verdict: sent && !refused ? 'may-have-run' : 'not-run', answerStarted, refused, message }),
				);
			const timer = setTimeout(() => outgoing.destroy(new Error('no connection in time')), CONNECT_TIMEOUT_MS);
			outgoing.on('socket', (socket) => {
				const connected = (): void => {
					clearTimeout(timer);
					sent = true;
					outgoing.end(request.body);
				};
				if (socket.connecting) {
					socket.once('connect', connected);
				} else {
					connected();
				}
			});
			outgoing.on('error', (error) => {
				clearTimeout(timer);
				fail(error.message, !sent);
			});
			outgoing.on('response', (response) => {
				if (response.headers[NOT_STARTED_HEADER] === 'true') {
					response.resume();
					fail(`${server.id} refused with status ${response.statusCode ?? 0}`, true);
					return;
				}
				answerStarted = true;
				sink.head({ status: response.statusCode ?? 502, headers: passedHeaders(response.headers) });
				response.on('data', (chunk: Buffer) => {
					if (!sink.write(chunk, () => response.resume())) {
						response.pause();
					}
				});
				response.on('end', () => resume(Effect.void));
				response.on('error', (error) => fail(error.message, false));
				response.on('aborted', () => fail(`${server.id} broke off its answer`, false));
			});
			return Effect.sync(() => {
				clearTimeout(timer);
				outgoing.destroy();
			});
		});
	}
}

function passedHeaders(headers: http.IncomingHttpHeaders): Record<string, string | readonly string[]> {
	const passed: Record<string, string | readonly string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !CONNECTION_HEADERS.has(name)) {
			passed[name] = value;
		}
	}
	return passed;
}
