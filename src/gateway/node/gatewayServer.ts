import * as http from 'node:http';
import type { Socket } from 'node:net';
import { Effect } from 'effect';
import { Emitter } from '../../base/common/event.js';
import type { MemoryBudget } from '../../base/common/memoryBudget.js';
import { collectFields, HANDOVER_HEADER, isTransferCodingKnown } from '../../base/common/headerFields.js';
import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import { isProcessPause } from '../../base/common/processPause.js';
import { afterNextPoll, nextPoll } from '../../base/node/eventLoop.js';
import { breakOff } from '../../base/node/brokenResponse.js';
import { keepAllHeaders, setMaximumHeadBytes } from '../../base/node/headerLimits.js';
import { listenOn } from '../../base/node/listen.js';
import type { LogFields } from '../../base/node/structuredLog.js';
import { OpenRequests } from '../../callers/node/openRequests.js';
import type { IngressLimits } from '../../routing/common/model.js';
import type { ShareStatus } from '../../shares/common/fleetShares.js';
import type { ShareGrant } from '../../shares/common/shareGrant.js';
import type { RouteTable, RoutingResult } from '../../routing/common/routeTable.js';
import { type IngressFields, sharedPartKeys } from '../common/ingress.js';
import { CallerElapsedEstimator } from '../common/callerElapsedEstimator.js';
import { type AcceptedRequest, accountKeyOf } from '../common/acceptedRequest.js';
import { decodeHandoverHeader } from '../common/handoverMark.js';
import { LAG_SAMPLE_INTERVAL_MS, LoadShedder } from '../common/loadShedder.js';
import { requestCost } from '../common/requestCost.js';
import { ResponseBuffering } from '../common/responseBuffering.js';
import { RotationController } from '../common/rotationController.js';
import { type ArrivingBody, type BodyFailure, BodyReceiver } from './bodyReceiver.js';
import { CallerConnections } from './callerConnections.js';
import { CallerTraffic } from './callerTraffic.js';
import { GatewayResponse } from './gatewayResponse.js';
import { IncomingConnections } from './incomingConnections.js';
import { LimitLog, type LimitReason } from './limitLog.js';
import {
	createAcceptedRequest,
	findInvalidity,
	findRouting,
	formatShareStatus,
	headerBytes,
	offersOtherProtocol,
	overdraftMs,
	overShareRefusal,
	type Refusal,
	targetOf,
} from './receivedRequest.js';
import type { IRequestHandler } from './requestHandler.js';
import { type HandoverContext, HandoverRequestHandler } from './handoverRequestHandler.js';
import { RequestTurns } from './requestTurns.js';
import { SlowCallerMonitor } from './slowCallerMonitor.js';
import { BackendRequestHandler, type BackendRequestContext } from './backendRequestHandler.js';

/** Parser limit for headers while there is no configuration. */
const DEFAULT_PARSED_HEADER_BYTES = 128 * 1_024;

/** Size in bytes that the parser accepts for a request line, in addition to the headers. */
const REQUEST_LINE_BYTES = 16 * 1_024;

/** Time beyond the idle limit for callers until the router closes a connection, so that callers close it first. */
const IDLE_MARGIN_MS = 2_000;

/** Maximum time to receive a complete request. Bodies are small, and requests of slow callers occupy memory. */
const REQUEST_TIMEOUT_MS = 30_000;

/** Header and idle timeout while there is no configuration. */
const DEFAULT_TIMEOUT_MS = 60_000;

/** Two health checks of a load balancer that performs one per second. */
const DEFAULT_BALANCER_DELAY_MS = 2_000;

/**
 * New connections that the operating system keeps until the router accepts them. A saturated router accepts one in some
 * milliseconds, and callers give up the ones that wait for seconds.
 */
const ACCEPT_QUEUE_LENGTH = 128;

/** Descriptors of a connection that is passed on to another router. */
const DESCRIPTORS_PER_RELAY = 2;

/** Fraction of the maximum number of connections above which each is closed after its response. */
const NEAR_LIMIT_FRACTION = 0.75;

/**
 * Fraction of the maximum number of connections above which those are closed whose caller does not continue its request
 * within the header timeout.
 */
const CROWDED_FRACTION = 0.9;

const SILENT_CHECK_INTERVAL_MS = 1_000;

/** Interval at which incomplete headers are charged; in a shorter time the connections of a router bring less than its memory. */
const ARRIVING_CHECK_INTERVAL_MS = 100;

/** Time in milliseconds for which the rest of a body that is too large is read, so that its caller reads the response. */
const OVERSIZED_BODY_READ_MS = 2_000;

/** Retry delay for callers while the router has no configuration, an outdated one, or is shutting down. */
const NOT_READY_RETRY_MS = 500;

/** Least delay in milliseconds until a caller retries for want of memory, which is due within about a second. */
const MEMORY_RETRY_MS = 500;

const MICROSECONDS_PER_MILLISECOND = 1_000;

const SERVICE_UNAVAILABLE = 503;

/** Refusals while the router has no configuration, an outdated one, or is shutting down. */
const NOT_READY = { status: SERVICE_UNAVAILABLE, retryAfterMs: NOT_READY_RETRY_MS };
const SHUTTING_DOWN = { ...NOT_READY, code: 'shutting-down' };

const BAD_REQUEST = 400;
const REQUEST_TIMEOUT = 408;
const HEADER_TOO_LARGE = 431;

const STATUS_TEXTS = {
	[BAD_REQUEST]: 'Bad Request',
	[REQUEST_TIMEOUT]: 'Request Timeout',
	[HEADER_TOO_LARGE]: 'Request Header Fields Too Large',
} as const;

/** A request whose headers have been received. */
interface ReceivedHead {
	/** Monotonic milliseconds. */
	readonly arrivedAt: number;
	/** Size in bytes of the headers and of the target. */
	readonly sizeOfHeaders: number;
	/** Whether the memory budget has no room for it. */
	readonly isWithoutMemory: boolean;
	/** Whether it has waited so long that it is refused, which takes the least time. */
	readonly isLate: boolean;
	/** Its body; undefined when it is refused without one. */
	readonly body: ArrivingBody | undefined;
}

/** HTTP/1.1 server for callers, whose requests it forwards to backend servers or hands over to other routers. */
export class GatewayServer extends Disposable {
	private readonly server: http.Server;
	private readonly open = OpenRequests.create();
	private readonly callerElapsed = CallerElapsedEstimator.create();
	private readonly connectionsOfCallers: CallerConnections;
	private readonly bodies: BodyReceiver;
	private readonly limitLog: LimitLog;
	private readonly incoming: IncomingConnections;
	/** Responses to requests that a handler runs, which settles their share grants. */
	private readonly handled = new WeakSet<http.ServerResponse>();
	private readonly loadShedder = LoadShedder.create();
	private readonly turns: RequestTurns;
	private readonly traffic = CallerTraffic.create();
	private readonly rotationController: RotationController;
	private readonly rotationEmitter = this.register(Emitter.create<boolean>());
	private readonly responseBuffering: ResponseBuffering | undefined;
	private headerTimeoutMs = Infinity;
	private idleTimeoutMs = DEFAULT_TIMEOUT_MS;
	private silentCheckAt = 0;
	private arrivingCheckAt = 0;
	private isClosing = false;
	private isRefusing = false;

	/** Fires with true when this router leaves the load balancer's rotation because of overload, and with false on return. */
	public readonly onDidChangeRotation = this.rotationEmitter.event;

	private constructor(
		private readonly context: BackendRequestContext,
		private readonly table: () => RouteTable | undefined,
		private readonly handover: HandoverContext,
		private readonly maximumConnections: number,
		budget: MemoryBudget,
		balancerDelayMs: number,
	) {
		super();
		this.connectionsOfCallers = CallerConnections.create(budget, maximumConnections, context.clock, () =>
			this.bodies.dropOne(),
		);
		this.turns = RequestTurns.create(context.clock);
		this.bodies = BodyReceiver.create(budget, context.clock, this.connectionsOfCallers);
		this.limitLog = LimitLog.create(context.log, context.clock, () => ({
			open: this.connections,
			bodies: this.bodies.size,
			usedBytes: budget.usedBytes,
		}));
		this.rotationController = RotationController.create(balancerDelayMs);
		const { responseBudget, clock, log, metrics } = context;
		if (responseBudget !== undefined) {
			this.responseBuffering = ResponseBuffering.create(responseBudget, clock);
			this.register(SlowCallerMonitor.start(this.responseBuffering, log, metrics));
		}
		this.server = http.createServer(
			{
				maxHeaderSize: DEFAULT_PARSED_HEADER_BYTES,
				// Node applies these on a timer, before it reads what has arrived in the meantime.
				headersTimeout: 0,
				requestTimeout: 0,
				noDelay: true,
				// Node would answer requests without a host itself, and hold the answers to thousands of them.
				requireHostHeader: false,
			},
			(request, response) => this.runGuarded(response, () => this.accept(request, response)),
		);
		keepAllHeaders(this.server);
		this.server.on('checkExpectation', (request: http.IncomingMessage, response: http.ServerResponse) =>
			this.runGuarded(response, () => this.accept(request, response)),
		);
		this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) =>
			this.respondToBadInput(error, socket),
		);
		// Without a listener, Node closes an idle connection before it reads what has arrived.
		this.server.on('timeout', (socket: Socket) => this.closeIfIdle(socket));
		this.server.maxConnections = maximumConnections;
		this.server.on('connection', (socket) => this.connectionsOfCallers.add(socket));
		this.server.on('connection', (socket) => this.traffic.recordConnection(socket));
		this.incoming = IncomingConnections.create(
			this.server,
			handover.neighbours,
			clock,
			log,
			budget,
			() => this.connections + DESCRIPTORS_PER_RELAY <= this.maximumConnections * NEAR_LIMIT_FRACTION,
		);
		this.server.on('drop', () => this.limitLog.record('connection-limit'));
		let expectedAt = context.clock.now() + LAG_SAMPLE_INTERVAL_MS;
		let cpuUsage = process.cpuUsage();
		const timer = setInterval(() => {
			const now = context.clock.now();
			const { user, system } = process.cpuUsage(cpuUsage);
			cpuUsage = process.cpuUsage();
			this.recordLag(Math.max(0, now - expectedAt), (user + system) / MICROSECONDS_PER_MILLISECOND, now);
			this.updateRotation(now);
			// After a freeze, timers run before the sockets are read, and what has arrived in time would seem to be late.
			afterNextPoll(() => this.enforceTimeouts(context.clock.now()));
			expectedAt = now + LAG_SAMPLE_INTERVAL_MS;
		}, LAG_SAMPLE_INTERVAL_MS);
		this.register(
			toDisposable(() => {
				clearInterval(timer);
				this.server.close();
				this.server.closeAllConnections();
				this.incoming.dispose();
			}),
		);
	}

	/**
	 * @param context dependencies for running requests
	 * @param table returns the routes in force; undefined before there is a configuration
	 * @param handover dependencies for handing requests over to other routers
	 * @param budget of the memory for what callers send
	 * @param maximumConnections of callers; lower than the descriptor limit, since other connections need descriptors too
	 * @param balancerDelayMs maximum time in milliseconds until the load balancer detects that a router is not ready
	 * @returns a server that is not listening
	 */
	public static create(
		context: BackendRequestContext,
		table: () => RouteTable | undefined,
		handover: Pick<HandoverContext, 'client' | 'neighbours'>,
		budget: MemoryBudget,
		maximumConnections = Infinity,
		balancerDelayMs = DEFAULT_BALANCER_DELAY_MS,
	): GatewayServer {
		return new GatewayServer(context, table, { ...context, ...handover }, maximumConnections, budget, balancerDelayMs);
	}

	/** Number of open connections of callers; one that is passed on counts twice, since it takes two descriptors. */
	public get connections(): number {
		return this.connectionsOfCallers.size + DESCRIPTORS_PER_RELAY * this.incoming.relayedCount;
	}

	/** Number of bodies that are being received. */
	public get bodiesInProgress(): number {
		return this.bodies.size;
	}

	/**
	 * @param reason for which a limit was applied to a caller
	 * @returns how often it was applied
	 */
	public limitCount(reason: LimitReason): number {
		return this.limitLog.countOf(reason);
	}

	/** Mean event loop lag in milliseconds. */
	public get meanLagMs(): number {
		return this.loadShedder.meanLagMs;
	}

	/** Whether this router is out of the load balancer's rotation because of overload. */
	public get isRelieved(): boolean {
		return this.rotationController.isRelieved;
	}

	/** Number of requests whose response is not complete. */
	public get requestsInProgress(): number {
		return this.open.size;
	}

	/** Effect that completes when no request is in progress, here or on connections that were passed on. */
	public get idle(): Effect.Effect<void> {
		return nextPoll.pipe(Effect.andThen(this.open.idle), Effect.andThen(this.incoming.idle));
	}

	/** Fraction of the new connections that are passed on to other routers, from 0 to 1. */
	public get relayedFraction(): number {
		return this.incoming.relayedFraction;
	}

	/** Number of connections passed on to other routers since the start. */
	public get relayedConnections(): number {
		return this.incoming.startedCount;
	}

	/**
	 * Logs what happens to callers once a second, after the start and while they are not served as usual.
	 *
	 * @param isReady returns whether the router reports that it is ready
	 */
	public logTraffic(isReady: () => boolean): void {
		const describe = (): LogFields & { readonly isReady: boolean; readonly isLimiting: boolean } => ({
			isReady: isReady(),
			isLimiting: this.loadShedder.isLimiting,
			isRelieved: this.isRelieved,
			connections: this.connections,
			running: this.requestsInProgress,
			lagMs: Math.round(this.loadShedder.meanLagMs),
			waitMs: Math.round(this.turns.waitMs(this.context.clock.now())),
		});
		this.register(this.traffic.logRegularly(this.context.log, describe));
	}

	/** @param isEnabled whether connections that this router cannot serve are passed on to other routers */
	public setConnectionRelay(isEnabled: boolean): void {
		this.incoming.setEnabled(isEnabled);
	}

	/** @param limits of the configuration in force */
	public setLimits(limits: IngressLimits): void {
		// Applies to new connections. What a caller sends of a head, or of trailers, is held by the parser.
		setMaximumHeadBytes(this.server, limits.maximumHeaderBytes + REQUEST_LINE_BYTES);
		this.headerTimeoutMs = limits.headerTimeoutMs;
		this.idleTimeoutMs = limits.idleTimeoutMs;
		this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
	}

	/** Continues to accept requests, but closes each connection after its response. */
	public startDraining(): void {
		this.isClosing = true;
		this.incoming.startDraining();
	}

	/**
	 * Refuses new requests, and those that have not been sent to a server, and closes connections on which nothing has
	 * arrived. The server continues to listen until the end, since a load balancer without another instance continues to send
	 * connections, and a refusal is more informative than a reset.
	 */
	public stopAccepting(): void {
		this.isClosing = true;
		this.isRefusing = true;
		afterNextPoll(() => {
			this.server.closeIdleConnections();
			this.incoming.closeUnused();
		});
	}

	/**
	 * Ends the requests in progress, each with a response that reports whether it may have run.
	 *
	 * @returns number of requests that were ended
	 */
	public abortRequests(): number {
		return this.open.abortAll();
	}

	/**
	 * @param host IP address
	 * @param port TCP port; 0 for any free port
	 * @returns the bound port
	 */
	public listen(host: string, port: number): Promise<number> {
		return listenOn(this.server, host, port, ACCEPT_QUEUE_LENGTH);
	}

	/** Ends a request after an unexpected error in the router, before anything has been sent to a backend server. */
	private runGuarded(response: http.ServerResponse, action: () => void): void {
		try {
			action();
		} catch (error) {
			this.context.log.write('request-failed-unexpectedly', {
				verdict: 'not-run',
				reason: error instanceof Error ? error.stack : String(error),
			});
			if (response.headersSent) {
				breakOff(response);
			} else {
				response.writeHead(SERVICE_UNAVAILABLE, { connection: 'close', 'content-length': 0 }).end();
			}
		}
	}

	/** Serves a request if its connection and the memory budget allow it. */
	private accept(request: http.IncomingMessage, response: http.ServerResponse): void {
		const bytes = headerBytes(request.rawHeaders) + (request.url?.length ?? 0);
		const decision = this.connectionsOfCallers.accept(request, response, bytes);
		if (decision === 'closing') {
			this.limitLog.record('pipelined');
			return;
		}
		const arrivedAt = this.context.clock.now();
		this.open.add(response);
		this.traffic.recordRequest(response);
		const head = { arrivedAt, sizeOfHeaders: bytes, isWithoutMemory: decision === 'no-memory' };
		const limits = this.table()?.configuration.limits;
		if (head.isWithoutMemory || limits === undefined) {
			this.handle(request, response, { ...head, isLate: false, body: undefined });
			return;
		}
		// What arrives while the request waits is held by the body, which is charged, in place of the parser's chunks.
		const body = this.bodies.receive(request, {
			maximumBytes: limits.maximumBodyBytes,
			idleTimeoutMs: this.idleTimeoutMs,
			totalTimeoutMs: REQUEST_TIMEOUT_MS,
		});
		const giveUp = this.turns.take(this.accountNameOf(request), (isLate) => {
			if (!response.destroyed) {
				this.runGuarded(response, () => this.handle(request, response, { ...head, isLate, body }));
			}
		});
		response.once('close', () => {
			giveUp();
			this.bodies.giveUp(request);
		});
	}

	/** Finds the account of a request without decoding the rest of its headers. */
	private accountNameOf({ rawHeaders }: http.IncomingMessage): string {
		const index = rawHeaders.findIndex((text, at) => at % 2 === 0 && text.toLowerCase() === 'authorization');
		const key = this.context.codec.decodeKey(rawHeaders[index + 1]);
		return (key === undefined ? undefined : this.table()?.accountOf(key)?.name) ?? '';
	}

	private handle(
		request: http.IncomingMessage,
		response: http.ServerResponse,
		{ arrivedAt, sizeOfHeaders, isWithoutMemory, isLate, body: arriving }: ReceivedHead,
	): void {
		const { codec, clock } = this.context;
		// Requests are not handled in the order of their arrival, and limits by time rely on times that do not decrease.
		const now = clock.now();
		const headers = collectFields(request.rawHeaders);
		const fields = codec.decode(headers);
		const handoverHeader = decodeHandoverHeader(headers[HANDOVER_HEADER]);
		const notStarted = handoverHeader !== undefined;
		if (offersOtherProtocol(headers)) {
			// The parser drops what it has read behind such a request, so the rest of it must not be taken for a request.
			this.connectionsOfCallers.endAfter(request.socket, response);
		}
		const gatewayResponse = GatewayResponse.create(
			response,
			codec.requestIdHeader,
			fields.id,
			(isRequired) =>
				(isRequired || this.mustClose(request.socket, notStarted)) &&
				this.connectionsOfCallers.endAfter(request.socket, response),
			this.responseBuffering,
		);
		const refuse = (refusal: Refusal, routing?: RoutingResult, details?: LogFields): void => {
			this.refuse(gatewayResponse, fields, refusal, routing, details);
			this.bodies.discard(request);
		};
		const refuseForMemory = (code: string, routing?: RoutingResult): void => {
			const retryAfterMs = MEMORY_RETRY_MS * (1 + Math.random());
			refuse({ code, retryAfterMs, notStarted, status: SERVICE_UNAVAILABLE, closesConnection: true }, routing);
		};
		if (isWithoutMemory) {
			this.limitLog.record('no-memory');
			refuseForMemory('no-memory');
			return;
		}
		if (!isTransferCodingKnown(headers)) {
			// The bytes that follow may be the body of this request, and must not run as another one.
			refuse({ status: 501, code: 'unknown-transfer-coding', notStarted, closesConnection: true });
			return;
		}
		const table = this.table();
		if (table === undefined || this.isRefusing) {
			const code = table === undefined ? 'no-configuration' : SHUTTING_DOWN.code;
			refuse({ ...NOT_READY, code, notStarted });
			return;
		}
		this.open.setAbort(response, () => this.refuse(gatewayResponse, fields, { ...SHUTTING_DOWN, notStarted }));
		const { limits, version } = table.configuration;
		if (handoverHeader !== undefined && handoverHeader.configurationVersion > version) {
			refuse({ ...NOT_READY, code: 'old-configuration', notStarted });
			return;
		}
		const invalidity = findInvalidity(
			request.httpVersion,
			headers,
			// The router that hands a request over has checked its size, and has added a field.
			notStarted ? 0 : sizeOfHeaders - (request.url?.length ?? 0),
			limits,
			codec.singleHeaders,
		);
		if (invalidity !== undefined) {
			refuse(invalidity);
			return;
		}
		const requestTarget = targetOf(request.url, headers);
		const routing = findRouting(table, requestTarget, fields);
		if (typeof routing === 'string') {
			refuse({ status: routing === 'unknown-route' ? 404 : 401, code: routing });
			return;
		}
		const quarantineMs = this.context.crashes.partQuarantineMs(() => sharedPartKeys(fields));
		if (quarantineMs > 0) {
			refuse({ status: SERVICE_UNAVAILABLE, code: 'quarantined', retryAfterMs: quarantineMs }, routing);
			return;
		}
		let shareGrant: ShareGrant | undefined;
		if (handoverHeader === undefined && table.service(routing.service)?.engine !== undefined) {
			const status = this.recordArrival(fields, routing, now);
			if (status.throttledMs > overdraftMs(fields, routing)) {
				refuse(overShareRefusal(fields, routing, status), routing, formatShareStatus(status));
				return;
			}
			shareGrant = this.grantShare(response, fields, routing, now);
		}
		const mayHandOver = (): boolean => handoverHeader === undefined && this.handover.neighbours.hasAvailable(now);
		const refuseBody = (failure: BodyFailure): void => {
			if (failure === 'too-large') {
				refuse({ status: 413, code: 'body-too-large' }, routing);
				closeIfUnread(request);
			} else if (failure !== 'incomplete' && failure !== 'refused') {
				this.limitLog.record(failure);
				refuseForMemory(failure, routing);
				this.connectionsOfCallers.endBehindAccepted(request.socket);
			}
		};
		const wouldRetryHere = (): boolean => !this.rotationController.isDetectedByBalancer(now);
		const account = routing.account?.name ?? '';
		const decision = isLate ? 'refuse' : this.loadShedder.decide(account, now, mayHandOver, wouldRetryHere);
		if (decision === 'refuse') {
			const { isRelieved } = this.rotationController;
			const retryAfterMs = this.rotationController.retryAfterMs(now, Math.random());
			const code = 'overloaded';
			const refusal = { status: 503, code, retryAfterMs, notStarted, closesConnection: isRelieved };
			if (isRelieved) {
				// Closing a connection before its request was read resets it, and the caller would lose the response.
				arriving?.whenSettled((body) => {
					if (typeof body === 'string') {
						refuseBody(body);
					} else {
						body.release();
						refuse(refusal, routing);
					}
				});
			} else {
				refuse(refusal, routing);
			}
			return;
		}
		arriving?.whenSettled((body) => {
			if (typeof body === 'string') {
				refuseBody(body);
				return;
			}
			response.once('close', body.release);
			const arrivedFirstAt = arrivedAt - (handoverHeader?.elapsedMs ?? 0);
			const parts = {
				...requestTarget,
				fields,
				headers,
				routing,
				shareGrant,
				body: body.bytes,
				retainBody: body.retain,
				arrivedAt: arrivedFirstAt,
			};
			const mayStart = (): boolean => !this.isRefusing;
			const startRequest = (): void => {
				const elapsedBeforeMs = this.callerElapsed.elapsedMs(routing.route.name, fields.deadlineMs);
				const accepted = createAcceptedRequest(request, table, { ...parts, elapsedBeforeMs });
				const handler =
					decision === 'hand-over'
						? HandoverRequestHandler.create(this.handover, accepted, gatewayResponse, mayStart)
						: BackendRequestHandler.create(this.context, accepted, gatewayResponse, mayStart);
				this.runHandler(request, response, accepted, handler);
			};
			// Under overload, a request is often read after its caller has disconnected. The event loop reads the end of
			// the connection one iteration after the request, so the request is started only then.
			afterNextPoll(() =>
				this.connectionsOfCallers.runInOrder(request, response, () => this.runGuarded(response, startRequest)),
			);
		});
	}

	/**
	 * @param socket of a connection
	 * @param isHandedOver whether another router has handed the request over
	 * @returns whether the connection must be closed after the requests that have been accepted
	 */
	private mustClose(socket: Socket, isHandedOver: boolean): boolean {
		return (
			this.isClosing ||
			this.isNearConnectionLimit ||
			this.connectionsOfCallers.isEnding(socket) ||
			(!isHandedOver && this.incoming.isFromRouter(socket))
		);
	}

	/**
	 * Counts a request from its headers. A router to which the request is handed over does not count it again.
	 *
	 * @returns usage of its account, and whether the request is within the share that this router may admit
	 */
	private recordArrival(fields: IngressFields, routing: RoutingResult, now: number): ShareStatus {
		const { shares } = this.context;
		const key = accountKeyOf(routing);
		shares.recordOffered(key, requestCost(fields), now);
		return shares.shareStatusOf(key, now);
	}

	/** Takes the credit for a request from its account's share; it is returned if the request ends before it is run. */
	private grantShare(
		response: http.ServerResponse,
		fields: IngressFields,
		routing: RoutingResult,
		now: number,
	): ShareGrant {
		const { shares, clock } = this.context;
		const shareGrant = shares.spend(accountKeyOf(routing), requestCost(fields), now);
		response.once('close', () => {
			if (!this.handled.has(response)) {
				shareGrant.settle('not-run', clock.now());
			}
		});
		return shareGrant;
	}

	private runHandler(
		request: http.IncomingMessage,
		response: http.ServerResponse,
		{ fields, routing, arrivedAt }: AcceptedRequest,
		handler: IRequestHandler,
	): void {
		if (request.socket.readableEnded || request.socket.destroyed) {
			this.context.log.write('request-end', { id: fields.id, reason: 'caller-left', verdict: 'not-run', attempts: 0 });
			this.context.metrics.countRequest(routing.service, 0, 'caller-left', this.context.clock.now() - arrivedAt);
			response.destroy();
			return;
		}
		this.handled.add(response);
		const fiber = Effect.runFork(handler.run());
		this.open.setAbort(response, () => {
			handler.abort();
			fiber.interruptUnsafe();
		});
		response.once('close', () => {
			if (!response.writableFinished) {
				fiber.interruptUnsafe();
			}
		});
	}

	private recordLag(lagMs: number, cpuMs: number, now: number): void {
		if (isProcessPause(lagMs, cpuMs)) {
			this.context.log.write('process-paused', { pausedMs: Math.round(lagMs), cpuMs: Math.round(cpuMs) });
			return;
		}
		this.loadShedder.recordLag(lagMs, now, this.turns.waitMs(now));
		this.incoming.recordLag(this.loadShedder.meanLagMs, now);
	}

	/** Ends what callers have begun and not continued. */
	private enforceTimeouts(now: number): void {
		if (now >= this.arrivingCheckAt) {
			this.arrivingCheckAt = now + ARRIVING_CHECK_INTERVAL_MS;
			this.limitLog.record('incomplete-headers', this.connectionsOfCallers.chargeArriving());
		}
		const isCrowded = this.connections > this.maximumConnections * CROWDED_FRACTION;
		this.bodies.sweep(now, this.loadShedder.isLimiting, isCrowded ? this.headerTimeoutMs : Infinity);
		if (now >= this.silentCheckAt) {
			this.silentCheckAt = now + SILENT_CHECK_INTERVAL_MS;
			const closed = this.connectionsOfCallers.closeSilent(now, this.headerTimeoutMs, isCrowded);
			this.limitLog.record('silent', closed);
			this.endOverdue(now);
		}
	}

	private closeIfIdle(socket: Socket): void {
		const { bytesRead } = socket;
		afterNextPoll(() => {
			if (socket.bytesRead === bytesRead) {
				socket.destroy();
			}
		});
	}

	private endOverdue(now: number): void {
		const limits = {
			headerTimeoutMs: Math.min(this.headerTimeoutMs, DEFAULT_TIMEOUT_MS),
			unusedTimeoutMs: this.idleTimeoutMs + IDLE_MARGIN_MS,
			bodyTimeoutMs: REQUEST_TIMEOUT_MS,
		};
		for (const [socket, overdue] of this.connectionsOfCallers.findOverdue(now, limits)) {
			if (overdue === 'headers') {
				this.refuseConnection(socket, REQUEST_TIMEOUT, 'header-timeout');
			} else {
				socket.destroy();
			}
		}
	}

	private updateRotation(now: number): void {
		if (
			this.rotationController.update(
				this.loadShedder.isLimiting,
				() => this.handover.neighbours.areOutOfRotation(),
				now,
			)
		) {
			const { isRelieved } = this.rotationController;
			const limit = this.loadShedder.isLimiting ? Math.round(this.loadShedder.requestsPerSecond) : undefined;
			this.context.log.write('rotation-changed', { isRelieved, limit });
			this.rotationEmitter.fire(isRelieved);
		}
	}

	private get isNearConnectionLimit(): boolean {
		return this.connections > this.maximumConnections * NEAR_LIMIT_FRACTION;
	}

	private refuse(
		gatewayResponse: GatewayResponse,
		fields: IngressFields,
		refusal: Refusal,
		routing?: RoutingResult,
		details?: LogFields,
	): void {
		const { status, code } = refusal;
		this.traffic.recordRefusal();
		this.context.log.write('refused', {
			id: fields.id,
			status,
			reason: code,
			account: routing?.account?.name,
			service: routing?.service,
			cost: routing && Math.round(requestCost(fields)),
			configuration: this.table()?.configuration.version,
			...details,
		});
		this.context.metrics.countRequest(routing?.service ?? '', status, code, 0);
		gatewayResponse.sendLocal({ ...refusal, verdict: 'not-run' });
	}

	private respondToBadInput(error: NodeJS.ErrnoException, socket: Socket): void {
		if (!socket.writable || error.code === 'ECONNRESET') {
			socket.destroy();
			return;
		}
		if (this.connectionsOfCallers.isBusy(socket)) {
			if (socket.readableEnded || this.connectionsOfCallers.isReceiving(socket)) {
				socket.destroy();
			} else {
				this.connectionsOfCallers.endBehindAccepted(socket);
			}
			return;
		}
		const status = error.code === 'HPE_HEADER_OVERFLOW' ? HEADER_TOO_LARGE : BAD_REQUEST;
		this.refuseConnection(socket, status, error.code ?? error.message);
	}

	/** Refuses what has arrived on a connection without an unanswered request, and everything after it. */
	private refuseConnection(socket: Socket, status: keyof typeof STATUS_TEXTS, reason: string): void {
		this.context.log.write('refused', { status, reason });
		this.context.metrics.countRequest('', status, 'bad-input', 0);
		const head = `HTTP/1.1 ${status} ${STATUS_TEXTS[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
		this.connectionsOfCallers.endWith(socket, head);
	}
}

/** Closes a connection whose caller continues to send a body after a response that refuses it. */
function closeIfUnread(request: http.IncomingMessage): void {
	setTimeout(() => {
		if (!request.complete) {
			request.socket.destroy();
		}
	}, OVERSIZED_BODY_READ_MS).unref();
}
