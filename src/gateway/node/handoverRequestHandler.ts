import { Effect } from 'effect';
import type { BackendFailure, IAttemptSink, IBackendClient } from '../../backends/common/backendClient.js';
import type { IClock } from '../../base/common/clock.js';
import { CONNECTION_HEADERS, HANDOVER_HEADER, selectForwardedHeaders } from '../../base/common/headerFields.js';
import { combineVerdicts, type Verdict } from '../../base/common/verdict.js';
import { timeoutAfterPoll } from '../../base/node/eventLoop.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import { formatAddress } from '../../settings/common/settings.js';
import type { AcceptedRequest } from '../common/acceptedRequest.js';
import type { IHeaderCodec } from '../common/ingress.js';
import { encodeHandoverHeader } from '../common/handoverMark.js';
import type { Neighbour, NeighbourSelector } from '../common/neighbourSelector.js';
import { requestCost } from '../common/requestCost.js';
import { REROUTED_RETRY_MS } from '../common/rotationController.js';
import type { GatewayResponse } from './gatewayResponse.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { IRequestHandler } from './requestHandler.js';

/** Dependencies of a request that is handed over to another router. */
export interface HandoverContext {
	readonly clock: IClock;
	/** Calls other routers and recognizes the header by which they report that a request was not started. */
	readonly client: IBackendClient;
	readonly neighbours: NeighbourSelector;
	readonly codec: Pick<IHeaderCodec, 'endToEndHeaders'>;
	readonly log: IDecisionLog;
	readonly metrics: GatewayMetrics;
}

/** Maximum number of routers that are tried for one request. */
const MAXIMUM_ROUTERS = 2;

/** Extra time beyond the limit of a request, in which the response of a router that ends it at this limit can arrive. */
const RESPONSE_MARGIN_MS = 100;

const TOO_MANY_REQUESTS = 429;
const BAD_GATEWAY = 502;
const SERVICE_UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;

/** Statuses with which a router promises that a request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE]);

const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([...CONNECTION_HEADERS, 'content-length', 'expect', 'host']);

/** Hands a request over to another router and passes the response on. */
export class HandoverRequestHandler implements IRequestHandler {
	private verdict: Verdict = 'not-run';
	/** Whether the request was sent and its outcome is unknown. */
	private inProgress = false;
	private routersTried = 0;
	private status = 0;
	private reason = '';

	private constructor(
		private readonly context: HandoverContext,
		private readonly request: AcceptedRequest,
		private readonly response: GatewayResponse,
		private readonly mayStart: () => boolean,
	) {}

	/**
	 * @param context dependencies
	 * @param request to hand over
	 * @param response receives the response
	 * @param mayStart returns whether a request that has not been sent yet may be sent
	 * @returns a handler that has not been started
	 */
	public static create(
		context: HandoverContext,
		request: AcceptedRequest,
		response: GatewayResponse,
		mayStart: () => boolean,
	): HandoverRequestHandler {
		return new HandoverRequestHandler(context, request, response, mayStart);
	}

	public run(): Effect.Effect<void> {
		const { routing, fields, arrivedAt } = this.request;
		const limitMs = Math.min(fields.deadlineMs ?? Infinity, routing.route.timeoutMs) + RESPONSE_MARGIN_MS;
		return this.tryRouters().pipe(
			Effect.catchDefect((defect) => Effect.sync(() => this.failUnexpectedly(defect))),
			(attempts) => timeoutAfterPoll(attempts, limitMs - (this.context.clock.now() - arrivedAt)),
			Effect.map((result) => {
				if (result._tag === 'None') {
					this.sendFailure('deadline', GATEWAY_TIMEOUT);
				}
			}),
			Effect.onExit((exit) => Effect.sync(() => this.finish(exit._tag === 'Failure'))),
		);
	}

	public abort(): void {
		this.sendFailure('shutting-down', BAD_GATEWAY);
	}

	/** Ends the request after an unexpected error in the router, without affecting other requests. */
	private failUnexpectedly(defect: unknown): void {
		this.context.log.write('request-failed-unexpectedly', {
			id: this.request.fields.id,
			reason: defect instanceof Error ? defect.stack : String(defect),
		});
		this.sendFailure('internal-error', BAD_GATEWAY);
	}

	private tryRouters(): Effect.Effect<void> {
		const self = this;
		const { neighbours, clock } = this.context;
		return Effect.gen(function* () {
			for (;;) {
				if (!self.mayStart()) {
					self.sendFailure('shutting-down', BAD_GATEWAY);
					return;
				}
				const neighbour = self.routersTried < MAXIMUM_ROUTERS ? neighbours.select(clock.now()) : undefined;
				if (neighbour === undefined) {
					self.sendFailure('overloaded', BAD_GATEWAY);
					return;
				}
				self.routersTried++;
				const result = yield* Effect.result(self.tryRouter(neighbour));
				self.inProgress = false;
				if (result._tag === 'Success') {
					self.verdict = 'completed';
					self.response.end();
					return;
				}
				const failure = result.failure;
				self.verdict = combineVerdicts(self.verdict, failure.verdict);
				self.recordFailure(neighbour, failure);
				if (self.verdict !== 'not-run') {
					self.sendFailure(`router-${failure.kind}`, BAD_GATEWAY);
					return;
				}
			}
		});
	}

	private tryRouter(neighbour: Neighbour): Effect.Effect<void, BackendFailure> {
		const { request, response } = this;
		const { client, clock, codec } = this.context;
		const sink: IAttemptSink = {
			sent: () => (this.inProgress = true),
			head: (head) => {
				this.status = head.status;
				response.head(head);
			},
			write: (chunk, resume) => response.write(chunk, resume),
		};
		const outgoingRequest = {
			method: request.method,
			path: request.target,
			authority: request.host,
			headers: handoverHeaders(request, clock.now() - request.arrivedAt, codec.endToEndHeaders),
			body: request.body,
			retainBody: request.retainBody,
		};
		return client.call(
			{ id: neighbour.instance, url: `http://${formatAddress(neighbour.address)}` },
			outgoingRequest,
			sink,
		);
	}

	private recordFailure(neighbour: Neighbour, { kind, verdict, message }: BackendFailure): void {
		const { neighbours, clock, log } = this.context;
		neighbours.rest(neighbour.instance, clock.now());
		log.write('handover-failed', {
			id: this.request.fields.id,
			router: neighbour.instance,
			kind,
			verdict,
			reason: message,
		});
	}

	/** Whether a backend server may have run the request; a neighbour that refuses it has not sent it to one. */
	private get requestVerdict(): Verdict {
		return this.verdict === 'completed' && NOT_RUN_STATUSES.has(this.status) ? 'not-run' : this.routerVerdict;
	}

	/** Verdict over all routers that were tried, including the current one. */
	private get routerVerdict(): Verdict {
		return combineVerdicts(this.verdict, this.inProgress ? 'may-have-run' : 'not-run');
	}

	private sendFailure(code: string, statusAfterSending: number): void {
		const verdict = this.routerVerdict;
		const notRun = verdict === 'not-run';
		const status = notRun ? SERVICE_UNAVAILABLE : statusAfterSending;
		this.reason = code;
		if (!this.response.hasHead) {
			this.status = status;
		}
		this.response.sendLocal({ status, code, verdict, retryAfterMs: notRun ? REROUTED_RETRY_MS : undefined });
	}

	private finish(isInterrupted: boolean): void {
		const { clock, log, metrics } = this.context;
		const { fields, routing, arrivedAt, shareGrant } = this.request;
		const now = clock.now();
		shareGrant?.settle(this.requestVerdict, now);
		const reason = isInterrupted && this.reason === '' ? 'caller-left' : this.reason;
		metrics.countHandover(routing.service, reason);
		log.write('handed-over', {
			id: fields.id,
			account: routing.account?.name,
			service: routing.service,
			cost: Math.round(requestCost(fields)),
			routers: this.routersTried,
			status: this.status,
			reason,
			verdict: this.verdict,
			totalMs: Math.round(now - arrivedAt),
		});
	}
}

function handoverHeaders(
	{ headers, configurationVersion }: AcceptedRequest,
	elapsedMs: number,
	endToEnd: ReadonlySet<string>,
): Record<string, string | readonly string[]> {
	const outgoingHeaders = selectForwardedHeaders(
		headers,
		(name) => UNFORWARDED_HEADERS.has(name),
		new Set([...endToEnd, 'authorization']),
	);
	outgoingHeaders[HANDOVER_HEADER] = encodeHandoverHeader({ elapsedMs, configurationVersion });
	return outgoingHeaders;
}
