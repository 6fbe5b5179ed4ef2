import { randomUUID } from 'node:crypto';
import * as http from 'node:http';
import { Effect, type Exit } from 'effect';
import { Emitter } from '../../base/common/event.js';
import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import { keepAllHeaders } from '../../base/node/headerLimits.js';
import { listenOn } from '../../base/node/listen.js';
import type { Verdict } from '../../base/common/verdict.js';
import { getLogger } from '../../base/node/log.js';
import type { IConfigurationService } from '../../configuration/common/configurationService.js';
import type { ClientAccount, Configuration, Service } from '../../configuration/common/model.js';
import type { DispatchFailure, IDispatchService } from '../../dispatch/common/dispatchService.js';
import { forwardedHeaders } from '../common/forwardedHeaders.js';
import { type Problem, toProblem } from '../common/problem.js';
import { parseHints, type RequestHints } from '../common/requestHints.js';
import { isIdempotent, parseTarget, type RequestTarget } from '../common/requestTarget.js';
import { AccountTokens } from './accountTokens.js';
import { CallerResponse } from './callerResponse.js';
import { OpenRequests } from './openRequests.js';
import { readBody } from './readBody.js';

/** `Retry-After` sent while this router cannot take requests; a retry is expected to reach another router. */
const NOT_READY_RETRY_SECONDS = 1;

const log = getLogger('callers');

/** Outcome of one request. */
export interface FinishedRequest {
	/** Undefined when the request was refused before its service was identified. */
	readonly service: string | undefined;
	readonly verdict: Verdict;
	/** HTTP status sent to the caller; undefined when the connection broke before a status was sent. */
	readonly status: number | undefined;
	/** Whether the complete response was sent. */
	readonly whole: boolean;
	/** Time in the queue in milliseconds; undefined when the request got no slot. */
	readonly waitMs?: number | undefined;
}

interface AdmittedRequest {
	readonly account: ClientAccount;
	readonly service: Service;
	readonly target: RequestTarget;
	readonly hints: RequestHints;
}

/** State of a request in progress. */
interface RequestProgress {
	service: string | undefined;
	verdict: Verdict;
	waitMs: number | undefined;
}

/** Serves callers over HTTP/1.1. */
export class CallerServer extends Disposable {
	private readonly server: http.Server;
	private readonly tokens = AccountTokens.create();
	private readonly open = OpenRequests.create();
	private readonly finishEmitter = this.register(Emitter.create<FinishedRequest>());
	private services: ReadonlyMap<string, Service> = new Map();
	private draining = false;

	/** Fires once for each request, whether it completed, failed or was cancelled. */
	public readonly onDidFinish = this.finishEmitter.event;

	private constructor(
		private readonly configuration: IConfigurationService,
		private readonly dispatch: IDispatchService,
	) {
		super();
		this.server = http.createServer((request, response) => this.handleRequest(request, response));
		keepAllHeaders(this.server);
		this.register(configuration.onDidChange((current) => this.configure(current)));
		this.register(
			toDisposable(() => {
				this.server.close();
				this.server.closeAllConnections();
			}),
		);
		if (configuration.current !== undefined) {
			this.configure(configuration.current);
		}
	}

	/**
	 * @param configuration accounts and services
	 * @param dispatch sends requests to backend servers
	 * @returns a server that does not listen yet
	 */
	public static create(configuration: IConfigurationService, dispatch: IDispatchService): CallerServer {
		return new CallerServer(configuration, dispatch);
	}

	/** Number of requests that were accepted and whose response is not complete. */
	public get requestsInProgress(): number {
		return this.open.size;
	}

	/** Completes when no request is in progress. */
	public get idle(): Effect.Effect<void> {
		return this.open.idle;
	}

	/** Continues to accept requests, but sends `Connection: close` so that callers do not reuse their connections. */
	public startDraining(): void {
		this.draining = true;
	}

	/** Refuses new connections and closes idle ones. */
	public stopAccepting(): void {
		this.draining = true;
		this.server.close();
		this.server.closeIdleConnections();
	}

	/**
	 * Aborts the requests in progress. Each gets a problem response with its verdict, or its connection is closed if
	 * part of the response was sent.
	 *
	 * @returns number of aborted requests
	 */
	public abortRequests(): number {
		return this.open.abortAll();
	}

	/**
	 * @param host IP address
	 * @param port TCP port; 0 picks a free one
	 * @returns the port that was bound
	 */
	public listen(host: string, port: number): Promise<number> {
		return listenOn(this.server, host, port);
	}

	private configure(configuration: Configuration): void {
		this.tokens.configure(configuration);
		this.services = new Map(configuration.services.map((service) => [service.id, service]));
	}

	private handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
		const callerResponse = CallerResponse.create(randomUUID(), response, () => this.draining);
		const progress: RequestProgress = { service: undefined, verdict: 'not-run', waitMs: undefined };
		this.open.add(response);
		response.once('close', () => this.finish(response, progress));
		const admitted = this.admit(request);
		if ('status' in admitted) {
			request.resume();
			callerResponse.sendProblem(admitted);
			return;
		}
		progress.service = admitted.service.id;
		readBody(request, admitted.service.maximumBodyBytes, (body) => {
			if (typeof body !== 'string') {
				this.dispatchRequest(admitted, progress, request, response, callerResponse, body);
			} else if (body === 'too-large') {
				request.resume();
				const detail = `The body exceeds ${admitted.service.maximumBodyBytes} bytes.`;
				callerResponse.sendProblem(createRefusal(413, 'body-too-large', detail));
			}
		});
	}

	private admit(request: http.IncomingMessage): AdmittedRequest | Problem {
		if (this.configuration.current === undefined) {
			return createRefusal(503, 'not-ready', 'The router has no configuration yet.', NOT_READY_RETRY_SECONDS);
		}
		const account = this.tokens.find(request.headers.authorization);
		if (account === undefined) {
			return createRefusal(401, 'unknown-token', 'The token is missing or not known.');
		}
		const target = parseTarget(request.url ?? '');
		const service = target && this.services.get(target.service);
		if (target === undefined || service === undefined || !account.services.includes(service.id)) {
			return createRefusal(404, 'unknown-service', 'There is no such service for this account.');
		}
		const hints = parseHints(request.headers);
		if (typeof hints === 'string') {
			return createRefusal(400, 'bad-request', hints);
		}
		return { account, service, target, hints };
	}

	private dispatchRequest(
		admitted: AdmittedRequest,
		progress: RequestProgress,
		request: http.IncomingMessage,
		response: http.ServerResponse,
		callerResponse: CallerResponse,
		body: Buffer,
	): void {
		const { account, service, target, hints } = admitted;
		const method = request.method ?? 'GET';
		const headers = forwardedHeaders(request.headers, callerResponse.requestId, service.kind === 'model-engine');
		const program = this.dispatch.dispatch(
			{
				id: callerResponse.requestId,
				account,
				service,
				idempotent: isIdempotent(service, method, target.path),
				...hints,
				request: { method, path: target.path + target.query, headers, body },
				onDidChangeVerdict: (verdict) => (progress.verdict = verdict),
				onDidStart: (waitMs) => (progress.waitMs = waitMs),
			},
			callerResponse,
		);
		const fiber = Effect.runFork(program);
		fiber.addObserver((exit) => this.handleExit(exit, progress, callerResponse));
		this.open.setAbort(response, () => {
			fiber.interruptUnsafe();
			callerResponse.sendProblem(createShutdownProblem(progress.verdict));
		});
		response.once('close', () => {
			if (!response.writableFinished) {
				fiber.interruptUnsafe();
			}
		});
	}

	private handleExit(
		exit: Exit.Exit<void, DispatchFailure>,
		progress: RequestProgress,
		callerResponse: CallerResponse,
	): void {
		if (exit._tag === 'Success') {
			progress.verdict = 'completed';
			callerResponse.end();
			return;
		}
		const [reason] = exit.cause.reasons;
		if (reason === undefined || reason._tag === 'Interrupt') {
			return; // The caller disconnected, or the problem response was sent when the request was aborted.
		}
		if (reason._tag === 'Fail') {
			progress.verdict = reason.error.verdict;
			callerResponse.sendProblem(toProblem(reason.error));
			return;
		}
		log.error(`Request ${callerResponse.requestId} failed with an internal error.`, reason);
		const { verdict } = progress;
		callerResponse.sendProblem({ status: 500, code: 'internal-error', detail: 'The router failed.', verdict });
	}

	private finish(response: http.ServerResponse, progress: RequestProgress): void {
		this.finishEmitter.fire({
			...progress,
			status: response.headersSent ? response.statusCode : undefined,
			whole: response.writableFinished,
		});
	}
}

function createShutdownProblem(verdict: Verdict): Problem {
	const notRun = verdict === 'not-run';
	return {
		status: notRun ? 503 : 502,
		code: 'shutting-down',
		detail: 'The router ended before the request did.',
		verdict,
		retryAfterSeconds: notRun ? NOT_READY_RETRY_SECONDS : undefined,
	};
}

function createRefusal(status: number, code: Problem['code'], detail: string, retryAfterSeconds?: number): Problem {
	return { status, code, detail, verdict: 'not-run', retryAfterSeconds };
}
