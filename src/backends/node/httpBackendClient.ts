import * as http from 'node:http';
import { Effect } from 'effect';
import { CONNECTION_HEADERS, NOT_STARTED_HEADER } from '../../base/common/headerFields.js';
import type { IDisposable } from '../../base/common/lifecycle.js';
import type {
	BackendFailure,
	ResponseHead,
	BackendProtocol,
	BackendRequest,
	BackendTarget,
	IAttemptSink,
	IBackendClient,
} from '../common/backendClient.js';
import { GuardedAgent } from './guardedAgent.js';

const CONNECT_TIMEOUT_MS = 1_000;

// Longest silence on a connection with a request in progress. Plain services may work for minutes before they answer.
// All requests are checked together: a socket timeout for each one costs several listeners per request.
const SILENCE_CHECK_MS = 10_000;
const SILENT_CHECKS = 60;

/** The rest of a refusal is read so that its connection can be used again. Beyond these bounds a new connection is cheaper. */
const LONGEST_REFUSAL_BYTES = 65_536;
const LONGEST_REFUSAL_MS = 1_000;

/** Interim answers (status 1xx) before the answer; servers send one or two. */
const MOST_INTERIM_ANSWERS = 16;

const CONFLICT = 409;

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([...CONNECTION_HEADERS, NOT_STARTED_HEADER]);

/** The protocol of masticloom's own deployments. */
const OWN_PROTOCOL: BackendProtocol = {
	classifyRefusal: ({ status, headers }) => {
		if (headers[NOT_STARTED_HEADER] !== 'true') {
			return undefined;
		}
		return status === CONFLICT ? 'fenced' : 'refused';
	},
	isResponseTo: () => true,
	parseNotice: () => undefined,
	allowsCloseDelimited: false,
};

const NO_NAMES: ReadonlySet<string> = new Set();

const BODILESS_METHODS = new Set(['GET', 'HEAD']);

const NO_BODY_STATUS = new Set([204, 304]);

interface Endpoint {
	readonly host: string;
	readonly port: string;
	readonly authority: string;
}

type Settle = (result: Effect.Effect<void, BackendFailure>) => void;

/** Calls backend servers over HTTP/1.1 with connections that are kept open. */
export class HttpBackendClient implements IBackendClient, IDisposable {
	private readonly agent = new GuardedAgent({ keepAlive: true, scheduling: 'lifo' });
	private readonly active = new Set<Attempt>();
	private readonly silenceTimer = setInterval(() => this.checkSilence(), SILENCE_CHECK_MS).unref();
	private readonly endpoints = new Map<string, Endpoint>();

	private constructor(private readonly protocol: BackendProtocol) {}

	/**
	 * @param protocol meaning of the servers' answers
	 * @returns a client without open connections
	 */
	public static create(protocol: BackendProtocol = OWN_PROTOCOL): HttpBackendClient {
		return new HttpBackendClient(protocol);
	}

	/** Connections opened since the start. */
	public get connectionsOpened(): number {
		return this.agent.connectionsOpened;
	}

	/**
	 * @param url of a server
	 * @returns whether a request to it needs no new connection
	 */
	public hasIdleConnection(url: string): boolean {
		const { host, port } = this.endpointOf(url);
		return this.agent.hasIdleSocket(host, port);
	}

	/**
	 * Closes the connections to a server that no request uses.
	 *
	 * @param url of the server
	 */
	public closeIdleConnections(url: string): void {
		const { host, port } = this.endpointOf(url);
		this.agent.closeIdleSockets(host, port);
	}

	/** Closes all connections. */
	public dispose(): void {
		clearInterval(this.silenceTimer);
		this.agent.destroy();
	}

	public call(server: BackendTarget, request: BackendRequest, sink: IAttemptSink): Effect.Effect<void, BackendFailure> {
		return Effect.callback<void, BackendFailure>((resume) => {
			const attempt: Attempt = new Attempt(server, request, this.protocol, sink, (result) => {
				this.active.delete(attempt);
				resume(result);
			});
			this.active.add(attempt);
			const endpoint = this.endpointOf(server.url);
			const outgoing = http.request({
				host: endpoint.host,
				port: endpoint.port,
				path: request.path,
				method: request.method,
				agent: this.agent,
				headers: headerList(request, endpoint.authority),
			});
			attempt.start(outgoing);
			return Effect.sync(() => {
				this.active.delete(attempt);
				attempt.cancel();
			});
		});
	}

	private checkSilence(): void {
		for (const attempt of this.active) {
			attempt.checkSilence();
		}
	}

	private endpointOf(url: string): Endpoint {
		let endpoint = this.endpoints.get(url);
		if (endpoint === undefined) {
			const parsed = new URL(url);
			endpoint = { host: parsed.hostname, port: parsed.port, authority: parsed.host };
			this.endpoints.set(url, endpoint);
		}
		return endpoint;
	}
}

class Attempt {
	private outgoing: http.ClientRequest | undefined;
	private sent = false;
	private settled = false;
	private silentChecks = 0;

	public constructor(
		private readonly server: BackendTarget,
		private readonly request: BackendRequest,
		private readonly protocol: BackendProtocol,
		private readonly sink: IAttemptSink,
		private readonly resume: Settle,
	) {}

	public start(outgoing: http.ClientRequest): void {
		this.outgoing = outgoing;
		outgoing.on('socket', (socket) => {
			if (socket.destroyed) {
				// Without a free descriptor the connection has failed already; its error follows, and nothing was sent.
				setImmediate(() => this.fail('unreachable', 'the connection ended before it was used'));
				return;
			}
			if (!socket.connecting) {
				this.send();
				return;
			}
			const timer = setTimeout(() => outgoing.destroy(new Error('no connection in time')), CONNECT_TIMEOUT_MS);
			socket.once('close', () => clearTimeout(timer));
			socket.once('connect', () => {
				clearTimeout(timer);
				this.send();
			});
		});
		outgoing.on('error', (error) => this.fail(this.sent ? 'broken' : 'unreachable', error.message));
		let interimAnswers = 0;
		outgoing.on('information', () => {
			if (++interimAnswers > MOST_INTERIM_ANSWERS) {
				this.fail('broken', 'sent interim answers without end');
				outgoing.destroy();
			}
		});
		outgoing.on('response', (response) => this.receive(response));
	}

	/** Breaks the connection when nothing has arrived for too long. */
	public checkSilence(): void {
		this.silentChecks++;
		if (this.silentChecks > SILENT_CHECKS) {
			this.fail(this.sent ? 'silent' : 'unreachable', 'no data in time');
			this.outgoing?.destroy();
		}
	}

	public cancel(): void {
		this.settled = true;
		this.outgoing?.destroy();
	}

	private send(): void {
		if (this.settled) {
			return;
		}
		this.sent = true;
		this.sink.sent();
		this.outgoing?.end(this.request.body);
	}

	private receive(response: http.IncomingMessage): void {
		const status = response.statusCode ?? 0;
		const received: ResponseHead = { status, headers: definedHeaders(response.headers, NO_NAMES) };
		if (!this.protocol.isResponseTo(this.request, received)) {
			this.fail('broken', 'sent the answer to another request');
			this.outgoing?.destroy();
			return;
		}
		const notice = this.protocol.parseNotice(this.request, received, Date.now());
		if (notice !== undefined) {
			this.sink.notice?.(notice);
		}
		const refusal = this.protocol.classifyRefusal(received);
		if (refusal !== undefined) {
			this.fail(refusal, `refused with status ${status}`);
			drain(response);
			return;
		}
		const framed = isFramed(this.request.method, response);
		let endedByReset = false;
		if (!framed) {
			// A reset that arrives with the last bytes is reported as the end of the connection, but leaves it without a peer.
			response.socket.prependOnceListener('end', () => {
				endedByReset = response.socket.remoteAddress === undefined;
			});
		}
		this.sink.head({ status, headers: definedHeaders(response.headers, HOP_BY_HOP_HEADERS) });
		response.on('data', (chunk: Buffer) => {
			this.silentChecks = 0;
			if (this.settled) {
				return;
			}
			const mayContinue = this.sink.write(chunk, () => response.resume());
			const fault = this.sink.findFault?.();
			if (fault !== undefined) {
				this.fail('broken', fault);
				this.outgoing?.destroy();
			} else if (!mayContinue) {
				response.pause();
			}
		});
		response.on('end', () => {
			if (framed || (this.protocol.allowsCloseDelimited && !endedByReset)) {
				this.settle(Effect.void);
			} else {
				this.fail('broken', 'sent an answer without a length, which cannot be seen to be whole');
			}
		});
		response.on('error', (error) => this.fail('broken', error.message));
		response.on('close', () => this.fail('broken', 'broke off its answer'));
	}

	private fail(kind: BackendFailure['kind'], message: string): void {
		const verdict = kind === 'unreachable' || kind === 'refused' ? 'not-run' : 'may-have-run';
		this.settle(Effect.fail({ kind, verdict, message: `backend server ${this.server.id}: ${message}` }));
	}

	private settle(result: Effect.Effect<void, BackendFailure>): void {
		if (!this.settled) {
			this.settled = true;
			this.resume(result);
		}
	}
}

/** Reads the rest of an answer that nobody waits for, and closes its connection when that has no end. */
function drain(response: http.IncomingMessage): void {
	let bytes = 0;
	const timer = setTimeout(() => response.destroy(), LONGEST_REFUSAL_MS);
	response.on('data', (chunk: Buffer) => {
		bytes += chunk.length;
		if (bytes > LONGEST_REFUSAL_BYTES) {
			response.destroy();
		}
	});
	response.on('error', () => undefined); // The attempt has been settled by the head.
	response.on('close', () => clearTimeout(timer));
}

// Node.js writes a list of names and values as it is; an object is first copied into a map, header by header.
function headerList(request: BackendRequest, authority: string): string[] {
	const list: string[] = ['host', request.authority ?? authority];
	for (const name in request.headers) {
		const value = request.headers[name] ?? '';
		if (typeof value === 'string') {
			list.push(name, value);
		} else {
			value.forEach((item) => list.push(name, item));
		}
	}
	if (request.body.length > 0 || !BODILESS_METHODS.has(request.method)) {
		list.push('content-length', String(request.body.length));
	}
	return list;
}

// An answer that ends with its connection looks whole when the server dies in the middle of it.
function isFramed(method: string, response: http.IncomingMessage): boolean {
	return (
		method === 'HEAD' ||
		NO_BODY_STATUS.has(response.statusCode ?? 0) ||
		response.headers['content-length'] !== undefined ||
		response.headers['transfer-encoding'] !== undefined
	);
}

function definedHeaders(
	headers: http.IncomingHttpHeaders,
	dropped: ReadonlySet<string>,
): Record<string, string | readonly string[]> {
	const kept: Record<string, string | readonly string[]> = {};
	for (const name in headers) {
		const value = headers[name];
		if (value !== undefined && !dropped.has(name)) {
			kept[name] = value;
		}
	}
	return kept;
}
