import * as http from 'node:http';
import type { Socket } from 'node:net';
import { Effect } from 'effect';
import {
	collectFields,
	CONNECTION_HEADERS,
	isTransferCodingKnown,
	NOT_STARTED_HEADER,
	selectForwardedHeaders,
	valuesOf,
} from '../../base/common/headerFields.js';
import type { IDisposable } from '../../base/common/lifecycle.js';
import { setTimeoutAfterPoll } from '../../base/node/eventLoop.js';
import { keepAllHeaders, MAXIMUM_RESPONSE_HEAD_BYTES } from '../../base/node/headerLimits.js';
import type {
	BackendFailure,
	ResponseHead,
	BackendProtocol,
	BackendRequest,
	BackendTarget,
	ConnectionEnd,
	IAttemptSink,
	IBackendClient,
} from '../common/backendClient.js';
import type { ServerProbe } from '../common/serverProbe.js';
import { probeByConnection } from './connectionProbe.js';
import { GuardedAgent } from './guardedAgent.js';
import { RefusedRequests } from './refusedRequests.js';
import { readReceipt } from './sendQueue.js';

const CONNECT_TIMEOUT_MS = 1_000;

// Maximum time without data on a connection with a request in progress. Plain services may run for minutes before they
// respond. One timer checks all requests, because a socket timeout needs several listeners per request.
const SILENCE_CHECK_MS = 10_000;
const MAXIMUM_SILENT_CHECKS = 60;

/** The body of a refusal is read so that the connection can be reused. Above these limits a new one is cheaper. */
const MAXIMUM_REFUSAL_BYTES = 65_536;
const MAXIMUM_REFUSAL_MS = 1_000;

/** Maximum number of interim responses (status 1xx) per request; servers send one or two. */
const MAXIMUM_INTERIM_RESPONSES = 16;

/**
 * Smallest request body for which the client checks that the server's host has received it. A smaller one fits into the
 * initial receive window of a Linux host, which receives it even if the server does not read.
 */
const MINIMUM_CHECKED_BODY_BYTES = 65_536;

const CONFLICT = 409;

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([...CONNECTION_HEADERS, NOT_STARTED_HEADER]);

/** Protocol of masticloom's own deployments. */
const DEFAULT_PROTOCOL: BackendProtocol = {
	classifyRefusal: ({ status, headers }) => {
		if (headers[NOT_STARTED_HEADER] !== 'true') {
			return undefined;
		}
		return status === CONFLICT ? 'fenced' : 'refused';
	},
	requestIdentifierOf: () => undefined,
	findHeadFault: () => undefined,
	parseNotice: () => undefined,
	parseRequestLimit: () => undefined,
	parseLoad: () => undefined,
	allowsCloseDelimited: false,
};

const NO_CONTENT = 204;

/** A response without content has no length (RFC 9110, section 8.6); a caller might wait for the body. */
function isDropped(name: string, status: number): boolean {
	return HOP_BY_HOP_HEADERS.has(name) || (status === NO_CONTENT && name === 'content-length');
}

const METHODS_WITHOUT_BODY = new Set(['GET', 'HEAD']);

/** Major version of HTTP on these connections; later versions have no heads in text. */
const PROTOCOL_MAJOR_VERSION = 1;

/** Lowest and highest status of a final response (RFC 9110, section 15). */
const MINIMUM_STATUS = 200;
const MAXIMUM_STATUS = 999;

const STATUSES_WITHOUT_BODY = new Set([204, 304]);

interface Endpoint {
	readonly host: string;
	readonly port: string;
	readonly authority: string;
	/** Name of its connections in the agent. */
	readonly socketName: string;
}

type Settle = (result: Effect.Effect<void, BackendFailure>) => void;

/** Client for backend servers over HTTP/1.1 with persistent connections. */
export class HttpBackendClient implements IBackendClient, IDisposable {
	private readonly agent = new GuardedAgent({ keepAlive: true, scheduling: 'lifo' });
	private readonly active = new Set<Attempt>();
	private readonly silenceTimer = setInterval(() => this.checkSilence(), SILENCE_CHECK_MS).unref();
	private readonly endpoints = new Map<string, Endpoint>();
	private readonly endpointsByAddress = new Map<string, Endpoint>();

	private constructor(
		private readonly protocol: BackendProtocol,
		private readonly probe: ServerProbe,
	) {}

	/**
	 * @param protocol how to interpret the servers' responses
	 * @param probe shows whether a server that has closed a connection still runs
	 * @returns a client without open connections
	 */
	public static create(
		protocol: BackendProtocol = DEFAULT_PROTOCOL,
		probe: ServerProbe = probeByConnection,
	): HttpBackendClient {
		return new HttpBackendClient(protocol, probe);
	}

	/** Number of connections opened since the start. */
	public get connectionsOpened(): number {
		return this.agent.connectionsOpened;
	}

	/**
	 * @param url base URL of a server
	 * @returns whether a request to it can use an open connection
	 */
	public hasIdleConnection(url: string): boolean {
		return this.agent.hasIdleSocket(this.endpointOf(url).socketName);
	}

	/**
	 * Like {@link hasIdleConnection}, for the placement of requests, which asks for each server of a service.
	 *
	 * @param address address of a server in the form `ip:port`
	 * @returns whether an HTTP request to it can use an open connection
	 */
	public hasIdleConnectionTo(address: string): boolean {
		let endpoint = this.endpointsByAddress.get(address);
		if (endpoint === undefined) {
			endpoint = this.endpointOf(`http://${address}`);
			this.endpointsByAddress.set(address, endpoint);
		}
		return this.agent.hasIdleSocket(endpoint.socketName);
	}

	/**
	 * Closes the connections to a server that are not in use.
	 *
	 * @param url base URL of the server
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
			const attempt: Attempt = new Attempt(server, request, this.protocol, this.probe, sink, (result) => {
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
				maxHeaderSize: MAXIMUM_RESPONSE_HEAD_BYTES,
			});
			keepAllHeaders(outgoing);
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
			const { hostname: host, port } = parsed;
			endpoint = { host, port, authority: parsed.host, socketName: this.agent.getName({ host, port }) };
			this.endpoints.set(url, endpoint);
		}
		return endpoint;
	}
}

const refusedRequests = RefusedRequests.create();

class Attempt {
	private outgoing: http.ClientRequest | undefined;
	private response: http.IncomingMessage | undefined;
	private sent = false;
	private settled = false;
	private silentChecks = 0;
	/** Undefined when the response shows by itself where it ends. */
	private connectionEnd: ConnectionEnd | undefined;

	public constructor(
		private readonly server: BackendTarget,
		private readonly request: BackendRequest,
		private readonly protocol: BackendProtocol,
		private readonly probe: ServerProbe,
		private readonly sink: IAttemptSink,
		private readonly resume: Settle,
	) {}

	public start(outgoing: http.ClientRequest): void {
		this.outgoing = outgoing;
		outgoing.on('socket', (socket) => this.contain(() => this.useConnection(outgoing, socket)));
		outgoing.on('error', (error) => this.contain(() => this.handleError(error)));
		let interimResponses = 0;
		outgoing.on('information', () => {
			if (++interimResponses > MAXIMUM_INTERIM_RESPONSES) {
				this.contain(() => this.fail('broken', 'sent interim answers without end'));
				outgoing.destroy();
			}
		});
		outgoing.on('upgrade', (_, socket) => {
			this.contain(() => this.fail('broken', 'answered with an upgrade that was not asked for'));
			socket.destroy();
		});
		outgoing.on('response', (response) => this.contain(() => this.receive(response)));
	}

	private useConnection(outgoing: http.ClientRequest, socket: Socket): void {
		if (socket.destroyed) {
			// The connection has already failed, for example for lack of a file descriptor. Nothing was sent, and the
			// socket's error is reported later.
			setImmediate(() => this.contain(() => this.fail('unreachable', 'the connection ended before it was used')));
			return;
		}
		if (!socket.connecting) {
			this.send();
			return;
		}
		const giveUp = (): void => void outgoing.destroy(new Error('no connection in time'));
		const timeout = setTimeoutAfterPoll(giveUp, CONNECT_TIMEOUT_MS);
		socket.once('close', () => timeout.dispose());
		socket.once('connect', () => {
			timeout.dispose();
			this.contain(() => this.send());
		});
	}

	private handleError(error: Error): void {
		// An error after the last byte of the response, such as surplus bytes, only concerns the connection.
		if (this.response?.complete !== true) {
			this.fail(this.sent ? 'broken' : 'unreachable', error.message);
		}
	}

	/** Closes the connection when no data has arrived for too long. */
	public checkSilence(): void {
		this.silentChecks++;
		if (this.silentChecks > MAXIMUM_SILENT_CHECKS) {
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
		const { outgoing } = this;
		const releaseBody = this.request.retainBody?.();
		if (releaseBody !== undefined) {
			// A server may answer before it has read the body, which the connection then holds.
			outgoing?.once('finish', releaseBody);
			outgoing?.once('close', releaseBody);
		}
		outgoing?.end(this.request.body);
	}

	// An exception that leaves an event listener would end the process, and with it all other requests.
	private contain(listener: () => void): void {
		try {
			listener();
		} catch (error) {
			this.settle(Effect.die(error));
			this.outgoing?.destroy();
		}
	}

	private receive(response: http.IncomingMessage): void {
		this.response = response;
		const status = response.statusCode ?? 0;
		const received: ResponseHead = { status, headers: collectFields(response.rawHeaders) };
		const refusal = this.protocol.classifyRefusal(received);
		const match = this.matchResponse(received, response.socket, refusal !== undefined);
		const headFault =
			findHeadFault(response, received) ??
			(match === 'other' ? 'sent the answer to another request' : undefined) ??
			(refusal === undefined ? this.protocol.findHeadFault(received) : undefined);
		if (headFault !== undefined) {
			this.fail('broken', headFault);
			this.outgoing?.destroy();
			return;
		}
		const notice = this.protocol.parseNotice(this.request, received, Date.now());
		if (notice !== undefined) {
			this.sink.notice?.(notice);
		}
		const requestLimit = this.protocol.parseRequestLimit(this.request, received);
		if (requestLimit !== undefined) {
			this.sink.requestLimit?.(requestLimit);
		}
		const load = this.protocol.parseLoad(this.request, received);
		if (load !== undefined) {
			this.sink.load?.(load);
		}
		if (refusal !== undefined) {
			this.fail(refusal, `refused with status ${status}`);
			if (match === 'unidentified') {
				// A repetition of this refusal could not be told from the response to the next request on the connection.
				this.outgoing?.destroy();
			} else {
				discardBody(response);
			}
			return;
		}
		if (!isSelfDelimited(this.request.method, received)) {
			this.connectionEnd = 'failed';
			// The response loses its socket when the parser takes it for complete, and the connection may be used again.
			const { socket } = response;
			const recordEnd = (): void => this.contain(() => (this.connectionEnd = this.classifyEnd(socket)));
			socket.prependOnceListener('end', recordEnd);
			response.once('close', () => socket.off('end', recordEnd));
		}
		const headers = selectForwardedHeaders(received.headers, (name) => isDropped(name, status));
		this.sink.head({ status, headers });
		response.on('data', (chunk: Buffer) => this.contain(() => this.passOn(response, chunk)));
		response.on('end', () => this.contain(() => this.endResponse()));
		response.on('error', (error) => this.contain(() => this.fail('broken', error.message)));
		response.on('close', () => this.contain(() => this.fail('broken', 'broke off its answer')));
	}

	private passOn(response: http.IncomingMessage, chunk: Buffer): void {
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
	}

	/** Classifies the end of a connection when it is seen, before Node.js ends the sending side. */
	private classifyEnd(socket: Socket): ConnectionEnd {
		// Node.js reports a reset that arrives with the last bytes as a regular end, but the socket then has no remote address.
		if (socket.remoteAddress === undefined) {
			return 'reset';
		}
		return this.isRequestWritten(socket) ? 'closed' : 'early';
	}

	/**
	 * Whether the request has been written in full: the operating system holds all of it, and the server's host has
	 * acknowledged a body that does not fit into its initial receive window.
	 */
	private isRequestWritten(socket: Socket): boolean {
		if (this.outgoing?.writableFinished !== true) {
			return false;
		}
		return this.request.body.length < MINIMUM_CHECKED_BODY_BYTES || readReceipt(socket) !== 'part';
	}

	private endResponse(): void {
		if (this.connectionEnd === undefined || (this.connectionEnd === 'closed' && this.sink.hasEndMarker?.() === true)) {
			this.settle(Effect.void);
		} else if (this.connectionEnd === 'closed' && this.protocol.allowsCloseDelimited) {
			this.settle(this.confirmServerRuns());
		} else if (this.connectionEnd === 'early') {
			this.fail('broken', 'ended an answer without a length before it had received the request');
			this.outgoing?.destroy();
		} else {
			this.fail('broken', 'sent an answer without a length, which cannot be seen to be whole');
		}
	}

	// The operating system closes the connections of a process that crashes, which looks like the end of a response.
	private confirmServerRuns(): Effect.Effect<void, BackendFailure> {
		return Effect.flatMap(this.probe(this.server), (result) =>
			result === 'accepting'
				? Effect.void
				: Effect.fail(this.failureOf('broken', `closed the connection of its answer; a new connection: ${result}`)),
		);
	}

	/**
	 * Determines whether a response belongs to this request. A faulty server may repeat an earlier response on a connection
	 * that is kept open, also one with the identifier of this request if the caller uses an identifier twice.
	 */
	private matchResponse(
		{ headers }: ResponseHead,
		socket: Socket,
		isRefusal: boolean,
	): 'same' | 'unidentified' | 'other' {
		const expected = this.protocol.requestIdentifierOf(this.request.headers);
		const received = this.protocol.requestIdentifierOf(headers);
		if (received === undefined) {
			// Surplus bytes of an earlier response may arrive only on a connection that has carried one.
			const isPlausible = isRefusal && this.outgoing?.reusedSocket !== true;
			return expected === undefined || isPlausible ? 'unidentified' : 'other';
		}
		if (received !== expected) {
			return 'other';
		}
		return isRefusal && !refusedRequests.add(socket, received) ? 'other' : 'same';
	}

	private fail(kind: BackendFailure['kind'], message: string): void {
		this.settle(Effect.fail(this.failureOf(kind, message)));
	}

	private failureOf(kind: BackendFailure['kind'], message: string): BackendFailure {
		const verdict = kind === 'unreachable' || kind === 'refused' ? 'not-run' : 'may-have-run';
		return { kind, verdict, message: `backend server ${this.server.id}: ${message}` };
	}

	private settle(result: Effect.Effect<void, BackendFailure>): void {
		if (!this.settled) {
			this.settled = true;
			if (this.connectionEnd !== undefined) {
				this.sink.connectionEnded?.(this.connectionEnd);
			}
			this.resume(result);
		}
	}
}

/**
 * Checks the head of a response by the rules for sending one. The parser of Node.js accepts more, for example a space in the
 * name of a header, and writing such a head to a caller throws an exception.
 *
 * @param response as parsed
 * @param head status and headers of the response
 * @returns why the head is not valid; undefined if it is
 */
function findHeadFault(
	{ httpVersion, httpVersionMajor }: http.IncomingMessage,
	{ status, headers }: ResponseHead,
): string | undefined {
	if (httpVersionMajor !== PROTOCOL_MAJOR_VERSION) {
		return `answered in HTTP/${httpVersion}`;
	}
	if (!isTransferCodingKnown(headers)) {
		return 'sent an unknown transfer coding';
	}
	if (status < MINIMUM_STATUS || status > MAXIMUM_STATUS) {
		return `sent the invalid status ${status}`;
	}
	try {
		for (const name in headers) {
			http.validateHeaderName(name);
			valuesOf(headers[name]).forEach((value) => http.validateHeaderValue(name, value));
		}
	} catch (error) {
		return `sent an invalid header: ${String(error)}`;
	}
	return undefined;
}

/** Discards the rest of a response, and closes its connection when the rest is too large or takes too long. */
function discardBody(response: http.IncomingMessage): void {
	let bytes = 0;
	const timer = setTimeout(() => response.destroy(), MAXIMUM_REFUSAL_MS);
	response.on('data', (chunk: Buffer) => {
		bytes += chunk.length;
		if (bytes > MAXIMUM_REFUSAL_BYTES) {
			response.destroy();
		}
	});
	response.on('error', () => undefined); // The attempt was settled when the head arrived.
	response.on('close', () => clearTimeout(timer));
}

// Node.js writes a list of names and values unchanged, but first copies the headers of an object into a map one by one.
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
	if (request.body.length > 0 || !METHODS_WITHOUT_BODY.has(request.method)) {
		list.push('content-length', String(request.body.length));
	}
	return list;
}

// A response that is delimited by the end of its connection looks complete when the server crashes while sending it.
function isSelfDelimited(method: string, { status, headers }: ResponseHead): boolean {
	if (method === 'HEAD' || STATUSES_WITHOUT_BODY.has(status)) {
		return true;
	}
	return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}
