import { randomUUID } from 'node:crypto';
import * as http from 'node:http';
import { Effect, type Exit, Fiber } from 'effect';
import { Emitter } from '../../base/common/event.js';
import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import type { Verdict } from '../../base/common/verdict.js';
import { logOf } from '../../base/node/log.js';
import type { IConfigurationService } from '../../configuration/common/configurationService.js';
import type { ClientAccount, Configuration, Service } from '../../configuration/common/model.js';
import type { DispatchFailure, DispatchProgress, IDispatchService } from '../../dispatch/common/dispatchService.js';
import { forwardedHeaders } from '../common/forwardedHeaders.js';
import { type Problem, problemOf } from '../common/problem.js';
import { parseHints, type RequestHints } from '../common/requestHints.js';
import { isIdempotent, parseTarget, type RequestTarget } from '../common/requestTarget.js';
import { AccountTokens } from './accountTokens.js';
import { CallerAnswer } from './callerAnswer.js';
import { readBody } from './readBody.js';

/** Pause that callers are told to make when this router cannot take requests, so that they reach another one. */
const NOT_READY_RETRY_SECONDS = 1;

const log = logOf('callers');

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

interface Running {
	readonly fiber: Fiber.Fiber<void, DispatchFailure>;
	readonly progress: DispatchProgress;
	readonly answer: CallerAnswer;
}

/** Serves callers over HTTP/1.1. */
export class CallerServer extends Disposable {
	private readonly server: http.Server;
	private readonly tokens = AccountTokens.create();
	private readonly running = new Set<Running>();
	private readonly finishEmitter = this.register(Emitter.create<FinishedRequest>());
	private services: ReadonlyMap<string, Service> = new Map();
	private closing = false;
	private open = 0;
	private readonly emptyWaiters: (() => void)[] = [];

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

	/** Requests that were accepted and not yet answered. */
	public get inProgress(): number {
		return this.open;
	}

	/**
	 * @param host IP address
	 * @param port TCP port; 0 picks a free one
	 * @returns the port that was bound
	 */
	public listen(host: string, port: number): Promise<number> {
		return new Promise((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(port, host, () => {
				this.server.off('error', reject);
				const address = this.server.address();
				resolve(typeof address === 'object' && address !== null ? address.port : port);
			});
		});
	}

	/**
	 * Takes no new connections, closes each one after its next answer, and waits until all requests are answered.
	 *
	 * @returns resolves when no request is in progress
	 */
	public drain(): Promise<void> {
		this.closing = true;
		this.server.close();
		this.server.closeIdleConnections();
		return this.open === 0 ? Promise.resolve() : new Promise((resolve) => this.emptyWaiters.push(resolve));
	}

	/**
	 * Gives up all requests in progress and tells their callers whether they may have run.
	 *
	 * @returns number of requests that were given up
	 */
	public abandon(): number {
		this.closing = true;
		const abandoned = [...this.running];
		for (const { fiber, progress, answer } of abandoned) {
			const { verdict, answerStarted } = progress;
			fiber.interruptUnsafe();
			if (answerStarted) {
				answer.breakOff();
				continue;
			}
			answer.sendProblem({
				status: verdict === 'not-run' ? 503 : 502,
				code: 'shutting-down',
				detail: 'The router ended before the request did.',
				verdict,
				retryAfterSeconds: verdict === 'not-run' ? NOT_READY_RETRY_SECONDS : undefined,
			});
		}
		return abandoned.length;
	}

	private configure(configuration: Configuration): void {
		this.tokens.configure(configuration);
		this.services = new Map(configuration.services.map((service) => [service.id, service]));
	}

	private handle(request: http.IncomingMessage, response: http.ServerResponse): void {
		const answer = CallerAnswer.create(randomUUID(), response, () => this.closing);
		const admitted = this.admit(request);
		const progress: DispatchProgress = { verdict: 'not-run', answerStarted: false };
		this.open++;
		response.once('close', () => this.finish(response, admitted, progress));
		if ('status' in admitted) {
			request.resume();
			answer.sendProblem(admitted);
			return;
		}
		readBody(request, admitted.service.maximumBodyBytes, (body) => {
			if (typeof body !== 'string') {
				this.run(admitted, progress, request, response, answer, body);
			} else if (body === 'too-large') {
				request.resume();
				answer.sendProblem({
					status: 413,
					code: 'body-too-large',
					detail: `The body exceeds ${admitted.service.maximumBodyBytes} bytes.`,
					verdict: 'not-run',
				});
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
		progress: DispatchProgress,
		request: http.IncomingMessage,
		response: http.ServerResponse,
		answer: CallerAnswer,
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
				progress,
			},
			answer,
		);
		const running: Running = { fiber: Effect.runFork(program), progress, answer };
		this.running.add(running);
		running.fiber.addObserver((exit) => {
			this.running.delete(running);
			this.answerEnd(exit, progress, answer);
		});
		response.once('close', () => {
			if (!response.writableFinished) {
				running.fiber.interruptUnsafe();
			}
		});
	}

	private answerEnd(exit: Exit.Exit<void, DispatchFailure>, progress: DispatchProgress, answer: CallerAnswer): void {
		if (exit._tag === 'Success') {
			progress.verdict = 'completed';
			answer.end();
			return;
		}
		const [reason] = exit.cause.reasons;
		if (reason === undefined || reason._tag === 'Interrupt') {
			return; // The caller hung up, or was answered when the request was abandoned.
		}
		const problem = reason._tag === 'Fail' ? problemOf(reason.error) : undefined;
		if (problem === undefined) {
			log.error(`Request ${answer.requestId} met an internal error.`, reason);
		}
		if (progress.answerStarted) {
			answer.breakOff();
			return;
		}
		const { verdict } = progress;
		answer.sendProblem(problem ?? { status: 500, code: 'internal-error', detail: 'The router failed.', verdict });
		progress.verdict = problem?.verdict ?? verdict;
	}

	private finish(response: http.ServerResponse, admitted: Admitted | Problem, progress: DispatchProgress): void {
		this.open--;
		this.finishEmitter.fire({
			service: 'service' in admitted ? admitted.service.id : undefined,
			verdict: progress.verdict,
			status: response.headersSent ? response.statusCode : undefined,
			whole: response.writableFinished,
			waitMs: progress.waitMs,
		});
		if (this.open === 0) {
			this.emptyWaiters.splice(0).forEach((waiter) => waiter());
		}
	}
}

function refusal(
	status: number,
	code: 'not-ready' | 'unknown-token' | 'unknown-service' | 'bad-request',
	detail: string,
	retryAfterSeconds?: number,
): Problem {
	return { status, code, detail, verdict: 'not-run', retryAfterSeconds };
}
