import { randomUUID } from 'node:crypto';
import * as http from 'node:http';
import { Effect, type Exit } from 'effect';
import { Emitter } from '../../base/common/event.js';
import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
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
import { CallerResponse } from './callerAnswer.js';
import { OpenRequests } from './openRequests.js';
import { readBody } from './readBody.js';

/** Pause that callers are told to make when this router cannot take requests, so that they reach another one. */
const NOT_READY_RETRY_SECONDS = 1;

const log = getLogger('callers');

/** What became of one request. */
export interface FinishedRequest {
	/** Undefined when the request named no known service. */
	readonly service: string | undefined;
	readonly verdict: Verdict;
	/** HTTP status sent to the caller; undefined when the connection broke before. */
	readonly status: number | undefined;
	/** Whether the caller received the whole answer. */
	readonly whole: boolean;
	/** Time in the queue in milliseconds; undefined when the request got no slot. */
	readonly waitMs?: number | undefined;
}

interface Admitted {
	readonly account: ClientAccount;
	readonly service: Service;
	readonly target: RequestTarget;
	readonly hints: RequestHints;
}

/** What is known of a request that is in progress. */
interface Progress {
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
	private closing = false;

	/** Fires when a request has ended in any way. */
	public readonly onDidFinish = this.finishEmitter.event;

	private constructor(
		private readonly configuration: IConfigurationService,
		private readonly dispatch: IDispatchService,
	) {
		super();
		this.server = http.createServer((request, response) => this.handle(request, response));
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
	 * @param dispatch runs requests
	 * @returns a server that does not listen yet
	 */
	public static create(configuration: IConfigurationService, dispatch: IDispatchService): CallerServer {
		return new CallerServer(configuration, dispatch);
	}

	/** Requests that were accepted and whose answer is not complete. */
	public get requestsInProgress(): number {
		return this.open.size;
	}

	/** Completes when no request is in progress. */
	public get idle(): Effect.Effect<void> {
		return this.open.idle;
	}

	/** Goes on accepting, but asks callers not to use their connections again. */
	public startDraining(): void {
		this.closing = true;
	}

	/** Refuses new connections and closes those without a request. */
	public stopAccepting(): void {
		this.closing = true;
		this.server.close();
		this.server.closeIdleConnections();
	}

	/**
	 * Ends the requests in progress: each is answered with its verdict, or its connection breaks when parts of the answer
	 * were sent.
	 *
	 * @returns number of these requests
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

	private handle(request: http.IncomingMessage, response: http.ServerResponse): void {
		const answer = CallerResponse.create(randomUUID(), response, () => this.closing);
		const progress: Progress = { service: undefined, verdict: 'not-run', waitMs: undefined };
		this.open.add(response);
		response.once('close', () => this.finish(response, progress));
		const admitted = this.admit(request);
		if ('status' in admitted) {
			request.resume();
			answer.sendProblem(admitted);
			return;
		}
		progress.service = admitted.service.id;
		readBody(request, admitted.service.maximumBodyBytes, (body) => {
			if (typeof body !== 'string') {
				this.run(admitted, progress, request, response, answer, body);
			} else if (body === 'too-large') {
				request.resume();
				const detail = `The body exceeds ${admitted.service.maximumBodyBytes} bytes.`;
				answer.sendProblem(refusal(413, 'body-too-large', detail));
			}
		});
	}

	private admit(request: http.IncomingMessage): Admitted | Problem {
		if (this.configuration.current === undefined) {
			return refusal(503, 'not-ready', 'The router has no configuration yet.', NOT_READY_RETRY_SECONDS);
		}
		const account = this.tokens.find(request.headers.authorization);
		if (account === undefined) {
			return refusal(401, 'unknown-token', 'The token is missing or not known.');
		}
		const target = parseTarget(request.url ?? '');
		const service = target && this.services.get(target.service);
		if (target === undefined || service === undefined || !account.services.includes(service.id)) {
			return refusal(404, 'unknown-service', 'There is no such service for this account.');
		}
		const hints = parseHints(request.headers);
		if (typeof hints === 'string') {
			return refusal(400, 'bad-request', hints);
		}
		return { account, service, target, hints };
	}

	private run(
		admitted: Admitted,
		progress: Progress,
		request: http.IncomingMessage,
		response: http.ServerResponse,
		answer: CallerResponse,
		body: Buffer,
	): void {
		const { account, service, target, hints } = admitted;
		const method = request.method ?? 'GET';
		const headers = forwardedHeaders(request.headers, answer.requestId, service.kind === 'model-engine');
		const program = this.dispatch.dispatch(
			{
				id: answer.requestId,
				account,
				service,
				idempotent: isIdempotent(service, method, target.path),
				...hints,
				request: { method, path: target.path + target.query, headers, body },
				onDidChangeVerdict: (verdict) => (progress.verdict = verdict),
				onDidStart: (waitMs) => (progress.waitMs = waitMs),
			},
			answer,
		);
		const fiber = Effect.runFork(program);
		fiber.addObserver((exit) => this.answerEnd(exit, progress, answer));
		this.open.setAbort(response, () => {
			fiber.interruptUnsafe();
			answer.sendProblem(shutdownProblem(progress.verdict));
		});
		response.once('close', () => {
			if (!response.writableFinished) {
				fiber.interruptUnsafe();
			}
		});
	}

	private answerEnd(exit: Exit.Exit<void, DispatchFailure>, progress: Progress, answer: CallerResponse): void {
		if (exit._tag === 'Success') {
			progress.verdict = 'completed';
			answer.end();
			return;
		}
		const [reason] = exit.cause.reasons;
		if (reason === undefined || reason._tag === 'Interrupt') {
			return; // The caller hung up, or was answered when the request was ended early.
		}
		if (reason._tag === 'Fail') {
			progress.verdict = reason.error.verdict;
			answer.sendProblem(toProblem(reason.error));
			return;
		}
		log.error(`Request ${answer.requestId} met an internal error.`, reason);
		const { verdict } = progress;
		answer.sendProblem({ status: 500, code: 'internal-error', detail: 'The router failed.', verdict });
	}

	private finish(response: http.ServerResponse, progress: Progress): void {
		this.finishEmitter.fire({
			...progress,
			status: response.headersSent ? response.statusCode : undefined,
			whole: response.writableFinished,
		});
	}
}

function shutdownProblem(verdict: Verdict): Problem {
	const notRun = verdict === 'not-run';
	return {
		status: notRun ? 503 : 502,
		code: 'shutting-down',
		detail: 'The router ended before the request did.',
		verdict,
		retryAfterSeconds: notRun ? NOT_READY_RETRY_SECONDS : undefined,
	};
}

function refusal(status: number, code: Problem['code'], detail: string, retryAfterSeconds?: number): Problem {
	return { status, code, detail, verdict: 'not-run', retryAfterSeconds };
}
