import * as http from 'node:http';
import type { Socket } from 'node:net';
import { Effect } from 'effect';
import { overShareRetryAfterMs } from '../../admission/common/admission.js';
import { Emitter } from '../../base/common/event.js';
import { HANDED_OVER_HEADER } from '../../base/common/headerFields.js';
import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import { shortKey } from '../../base/common/shortKey.js';
import { afterNextPoll } from '../../base/node/eventLoop.js';
import { listenOn } from '../../base/node/listen.js';
import { OpenRequests } from '../../callers/node/openRequests.js';
import { readBody } from '../../callers/node/readBody.js';
import type { IngressLimits } from '../../routing/common/model.js';
import type { RouteTable, RoutingResult } from '../../routing/common/routeTable.js';
import type { IngressFields } from '../common/ingress.js';
import { CallerElapsedEstimator } from '../common/callerElapsedEstimator.js';
import type { AcceptedRequest } from '../common/acceptedRequest.js';
import { decodeHandoverHeader } from '../common/handoverHeader.js';
import { LAG_SAMPLE_INTERVAL_MS, LoadShedder } from '../common/loadShedder.js';
import { requestCost } from '../common/requestCost.js';
import { RotationController } from '../common/rotationController.js';
import { GatewayResponse, type LocalResponse } from './gatewayResponse.js';
import type { IRequestHandler } from './requestHandler.js';
import { type HandoverContext, HandoverRequestHandler } from './handoverRequestHandler.js';
import { BackendRequestHandler, type BackendRequestContext } from './backendRequestHandler.js';

/** Header fields beyond the limit of the configuration are read up to this size, so that they get a proper answer. */
const LARGEST_HEADER_BYTES = 128 * 1_024;

/** Time beyond the idle limit after which the router closes a connection, so that callers never meet the close. */
const IDLE_MARGIN_MS = 2_000;

/** Longest time for a whole request to arrive; bodies are small, and slow callers hold memory. */
const REQUEST_TIMEOUT_MS = 30_000;

/** Two questions of a balancer that asks once a second. */
const DEFAULT_BALANCER_DELAY_MS = 2_000;

/** Part of the largest number of connections from which each is closed after its answer. */
const CROWDED_PART = 0.75;

/** Dropped connections are logged together at most this often. */
const DROP_LOG_INTERVAL_MS = 1_000;

/** Asked while the router has no configuration yet. */
const NOT_READY_RETRY_MS = 500;

const TOO_MANY_REQUESTS = 429;
const SERVICE_UNAVAILABLE = 503;

/** The separator and line end of each header field. */
const BYTES_PER_HEADER = 4;

const STATUS_TEXTS: Readonly<Record<number, string>> = {
	400: 'Bad Request',
	408: 'Request Timeout',
	431: 'Request Header Fields Too Large',
};

/** Answers requests of callers over HTTP/1.1 by passing them on to backend servers. */
export class GatewayServer extends Disposable {
	private readonly server: http.Server;
	private readonly open = OpenRequests.create();
	private readonly elapsed = CallerElapsedEstimator.create();
	private readonly busySockets = new Set<Socket>();
	private readonly overload = LoadShedder.create();
	private readonly relief: RotationController;
	private readonly rotationEmitter = this.register(Emitter.create<boolean>());
	private openConnections = 0;
	private droppedConnections = 0;
	private droppedLoggedAt = -Infinity;
	private closing = false;
	private refusing = false;

	/** Fires when this router leaves the balancer's rotation for relief, with true, or comes back. */
	public readonly onDidChangeRotation = this.rotationEmitter.event;

	private constructor(
		private readonly context: BackendRequestContext,
		private readonly table: () => RouteTable | undefined,
		private readonly handover: HandoverContext,
		private readonly maximumConnections: number,
		balancerDelayMs: number,
	) {
		super();
		this.relief = RotationController.create(balancerDelayMs);
		this.server = http.createServer(
			{ maxHeaderSize: LARGEST_HEADER_BYTES, requestTimeout: REQUEST_TIMEOUT_MS, noDelay: true },
			(request, response) => this.guard(response, () => this.handle(request, response)),
		);
		this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => this.answerBadInput(error, socket));
		this.server.maxConnections = maximumConnections;
		this.server.on('connection', (socket) => this.countConnection(socket));
		this.server.on('drop', () => this.noteDropped());
		let expectedAt = context.clock.now() + LAG_SAMPLE_INTERVAL_MS;
		const timer = setInterval(() => {
			const now = context.clock.now();
			this.overload.recordLag(Math.max(0, now - expectedAt), now);
			this.updateRelief(now);
			expectedAt = now + LAG_SAMPLE_INTERVAL_MS;
		}, LAG_SAMPLE_INTERVAL_MS);
		this.register(
			toDisposable(() => {
				clearInterval(timer);
				this.server.close();
				this.server.closeAllConnections();
			}),
		);
	}

	/**
	 * @param context parts that run requests
	 * @param table routes in force; undefined before there is a configuration
	 * @param handover other routers, and what calls them
	 * @param maximumConnections of callers; the process needs descriptors for other connections too
	 * @param balancerDelayMs longest time in milliseconds in which the balancer notices that a router is not ready
	 * @returns a server that does not listen yet
	 */
	public static create(
		context: BackendRequestContext,
		table: () => RouteTable | undefined,
		handover: Pick<HandoverContext, 'client' | 'neighbours'>,
		maximumConnections = Infinity,
		balancerDelayMs = DEFAULT_BALANCER_DELAY_MS,
	): GatewayServer {
		return new GatewayServer(context, table, { ...context, ...handover }, maximumConnections, balancerDelayMs);
	}

	/** Open connections of callers. */
	public get connections(): number {
		return this.openConnections;
	}

	/** Mean milliseconds by which timers are late. */
	public get meanLagMs(): number {
		return this.overload.meanLagMs;
	}

	/** Whether this router is out of the balancer's rotation, because it gets more than it can handle. */
	public get isRelieved(): boolean {
		return this.relief.isRelieved;
	}

	/** Requests whose answer is not complete. */
	public get requestsInProgress(): number {
		return this.open.size;
	}

	/** Completes when no request is in progress. */
	public get idle(): Effect.Effect<void> {
		return this.open.idle;
	}

	/** @param limits of the configuration in force */
	public setLimits(limits: IngressLimits): void {
		this.server.headersTimeout = limits.headerTimeoutMs;
		this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
	}

	/** Goes on accepting, but asks callers not to use their connections again. */
	public startClosing(): void {
		this.closing = true;
	}

	/**
	 * Refuses new requests and closes connections without one. The address stays open until the end, since a balancer
	 * without another instance goes on sending connections, and a refusal tells callers more than a reset.
	 */
	public stopAccepting(): void {
		this.closing = true;
		this.refusing = true;
		this.server.closeIdleConnections();
	}

	/**
	 * Ends the requests in progress, each with an answer that says whether it may have run.
	 *
	 * @returns number of these requests
	 */
	public endRequests(): number {
		return this.open.endAll();
	}

	/**
	 * @param host IP address
	 * @param port TCP port; 0 picks a free one
	 * @returns the port that was bound
	 */
	public listen(host: string, port: number): Promise<number> {
		return listenOn(this.server, host, port);
	}

	/** An error of the router's own ends the request that it belongs to, before which nothing was sent to a server. */
	private guard(response: http.ServerResponse, action: () => void): void {
		try {
			action();
		} catch (error) {
			this.context.log.write('request-failed-unexpectedly', {
				verdict: 'not-run',
				reason: error instanceof Error ? error.stack : String(error),
			});
			if (response.headersSent) {
				response.destroy();
			} else {
				response.writeHead(SERVICE_UNAVAILABLE, { connection: 'close', 'content-length': 0 }).end();
			}
		}
	}

	private handle(request: http.IncomingMessage, response: http.ServerResponse): void {
		const { codec, clock } = this.context;
		const arrivedAt = clock.now();
		const fields = codec.decode(request.headers);
		const answer = GatewayResponse.create(
			response,
			codec.requestIdHeader,
			fields.id,
			() => this.closing || this.isCrowded,
		);
		const mark = decodeHandoverHeader(request.headers[HANDED_OVER_HEADER]);
		const notStarted = mark !== undefined;
		this.open.add(response);
		this.busySockets.add(request.socket);
		response.once('close', () => this.busySockets.delete(request.socket));
		const table = this.table();
		if (table === undefined || this.refusing) {
			const code = table === undefined ? 'no-configuration' : 'shutting-down';
			this.refuse(answer, fields, { status: 503, code, retryAfterMs: NOT_READY_RETRY_MS, notStarted });
			request.resume();
			return;
		}
		const { limits, version } = table.configuration;
		if (mark !== undefined && mark.configurationVersion > version) {
			this.refuse(answer, fields, {
				status: 503,
				code: 'old-configuration',
				retryAfterMs: NOT_READY_RETRY_MS,
				notStarted,
			});
			request.resume();
			return;
		}
		if (headerBytes(request.rawHeaders) > limits.maximumHeaderBytes) {
			this.refuse(answer, fields, { status: 431, code: 'header-too-large' });
			request.resume();
			return;
		}
		const routing = findRouting(table, request, fields);
		if (typeof routing === 'string') {
			this.refuse(answer, fields, { status: routing === 'unknown-route' ? 404 : 401, code: routing });
			request.resume();
			return;
		}
		if (mark === undefined && table.service(routing.service)?.engine !== undefined) {
			const refusal = this.decideShare(fields, routing, arrivedAt);
			if (refusal !== undefined) {
				this.refuse(answer, fields, refusal, routing);
				request.resume();
				return;
			}
		}
		const mayHandOver = (): boolean => mark === undefined && this.handover.neighbours.hasAvailable(arrivedAt);
		const decision = this.overload.decide(arrivedAt, mayHandOver, () => !this.relief.isDetectedByBalancer(arrivedAt));
		if (decision === 'refuse') {
			const { isRelieved } = this.relief;
			const retryAfterMs = this.relief.retryAfterMs(arrivedAt, Math.random());
			const code = 'overloaded';
			const refusal = { status: 503, code, retryAfterMs, notStarted, closesConnection: isRelieved };
			const refuse = (): void => this.refuse(answer, fields, refusal, routing);
			if (isRelieved) {
				// A connection that is closed before its request was read is reset, and its caller loses the answer.
				readBody(request, limits.maximumBodyBytes, refuse);
			} else {
				refuse();
				request.resume();
			}
			return;
		}
		readBody(request, limits.maximumBodyBytes, (body) => {
			if (body === 'too-large') {
				this.refuse(answer, fields, { status: 413, code: 'body-too-large' });
				request.resume();
			} else if (body !== 'incomplete') {
				const parts = { fields, routing, body, arrivedAt: arrivedAt - (mark?.elapsedMs ?? 0) };
				const begin = (): void => {
					const elapsedBeforeMs = this.elapsed.elapsedMs(routing.route.name, fields.deadlineMs);
					const accepted = acceptedRequest(request, table, { ...parts, elapsedBeforeMs });
					const run =
						decision === 'hand-over'
							? HandoverRequestHandler.create(this.handover, accepted, answer)
							: BackendRequestHandler.create(this.context, accepted, answer);
					this.run(request, response, accepted, run);
				};
				// Under overload a request is often read after its caller has left.
				afterNextPoll(() => this.guard(response, begin));
			}
		});
	}

	/**
	 * Decides from its head whether a request is within what this router may admit of its account. A router to which it is
	 * handed over does not decide again.
	 *
	 * @returns the refusal; undefined when the request is admitted
	 */
	private decideShare(
		fields: IngressFields,
		{ account, route }: RoutingResult,
		now: number,
	): Omit<LocalResponse, 'verdict'> | undefined {
		const { shares } = this.context;
		const key = shortKey(account?.name ?? '');
		const cost = requestCost(fields);
		shares.recordOffered(key, cost, now);
		const { throttledMs } = shares.shareStatusOf(key, now);
		if (throttledMs === 0) {
			shares.spend(key, cost, now);
			return undefined;
		}
		const deadlineLeftMs = fields.deadlineMs ?? route.timeoutMs;
		const retryAfterMs = overShareRetryAfterMs(throttledMs, { aimMs: route.aimMs, deadlineLeftMs });
		return { status: TOO_MANY_REQUESTS, code: 'over-share', retryAfterMs };
	}

	private run(
		request: http.IncomingMessage,
		response: http.ServerResponse,
		{ fields, routing, arrivedAt }: AcceptedRequest,
		run: IRequestHandler,
	): void {
		if (request.socket.readableEnded || request.socket.destroyed) {
			this.context.log.write('request-end', { id: fields.id, reason: 'caller-left', verdict: 'not-run', attempts: 0 });
			this.context.metrics.countRequest(routing.service, 0, 'caller-left', this.context.clock.now() - arrivedAt);
			response.destroy();
			return;
		}
		const fiber = Effect.runFork(run.run());
		this.open.setEnd(response, () => {
			run.abort();
			fiber.interruptUnsafe();
		});
		response.once('close', () => {
			if (!response.writableFinished) {
				fiber.interruptUnsafe();
			}
		});
	}

	private updateRelief(now: number): void {
		if (this.relief.update(this.overload.isLimiting, () => this.handover.neighbours.areRelieved(), now)) {
			const { isRelieved } = this.relief;
			const limit = this.overload.isLimiting ? Math.round(this.overload.requestsPerSecond) : undefined;
			this.context.log.write('rotation-changed', { isRelieved, limit });
			this.rotationEmitter.fire(isRelieved);
		}
	}

	private get isCrowded(): boolean {
		return this.openConnections > this.maximumConnections * CROWDED_PART;
	}

	private countConnection(socket: Socket): void {
		this.openConnections++;
		socket.once('close', () => this.openConnections--);
	}

	private noteDropped(): void {
		this.droppedConnections++;
		const now = this.context.clock.now();
		if (now - this.droppedLoggedAt >= DROP_LOG_INTERVAL_MS) {
			this.droppedLoggedAt = now;
			this.context.log.write('connections-dropped', { dropped: this.droppedConnections, open: this.openConnections });
			this.droppedConnections = 0;
		}
	}

	private refuse(
		answer: GatewayResponse,
		fields: IngressFields,
		refusal: Omit<LocalResponse, 'verdict'>,
		routing?: RoutingResult,
	): void {
		const { status, code } = refusal;
		this.context.log.write('refused', {
			id: fields.id,
			status,
			reason: code,
			account: routing?.account?.name,
			service: routing?.service,
			cost: routing && Math.round(requestCost(fields)),
			configuration: this.table()?.configuration.version,
		});
		this.context.metrics.countRequest(routing?.service ?? '', status, code, 0);
		answer.sendLocal({ ...refusal, verdict: 'not-run' });
	}

	private answerBadInput(error: NodeJS.ErrnoException, socket: Socket): void {
		// An answer in progress must not be mixed with another one.
		if (!socket.writable || error.code === 'ECONNRESET' || this.busySockets.has(socket)) {
			socket.destroy();
			return;
		}
		const status = statusOfBadInput(error.code);
		this.context.log.write('refused', { status, reason: error.code ?? error.message });
		this.context.metrics.countRequest('', status, 'bad-input', 0);
		socket.end(`HTTP/1.1 ${status} ${STATUS_TEXTS[status] ?? ''}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
	}
}

function acceptedRequest(
	{ method = 'GET', url = '/', headers }: http.IncomingMessage,
	table: RouteTable,
	parts: Pick<AcceptedRequest, 'fields' | 'routing' | 'body' | 'arrivedAt' | 'elapsedBeforeMs'>,
): AcceptedRequest {
	return {
		...parts,
		configurationVersion: table.configuration.version,
		engine: table.service(parts.routing.service)?.engine,
		method,
		target: url,
		host: headers.host ?? '',
		headers,
	};
}

function findRouting(
	table: RouteTable,
	request: http.IncomingMessage,
	fields: IngressFields,
): ReturnType<RouteTable['find']> {
	const target = request.url ?? '/';
	const queryAt = target.indexOf('?');
	return table.find({
		id: fields.id,
		host: request.headers.host ?? '',
		path: queryAt < 0 ? target : target.slice(0, queryAt),
		key: fields.key,
	});
}

function headerBytes(rawHeaders: readonly string[]): number {
	let bytes = 0;
	for (const text of rawHeaders) {
		bytes += text.length;
	}
	return bytes + (rawHeaders.length / 2) * BYTES_PER_HEADER;
}

function statusOfBadInput(code: string | undefined): number {
	switch (code) {
		case 'HPE_HEADER_OVERFLOW':
			return 431;
		case 'ERR_HTTP_REQUEST_TIMEOUT':
			return 408;
		default:
			return 400;
	}
}
