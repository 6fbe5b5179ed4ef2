import { createHash, randomUUID } from 'node:crypto';
import * as http from 'node:http';
import { Effect, Fiber } from 'effect';
import type { IAnswerSink } from '../../backends/common/backendClient.js';
import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import type { Verdict } from '../../base/common/verdict.js';
import { logOf } from '../../base/node/log.js';
import type { IConfigurationService } from '../../configuration/common/configurationService.js';
import type { ClientAccount, Configuration, Service } from '../../configuration/common/model.js';
import type { DispatchFailure, IDispatchService } from '../../dispatch/common/dispatchService.js';
import { OpenRequests } from './openRequests.js';
import { type Problem, sendProblem } from './problem.js';

const SERVICE_PATH = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);
const RETRY_AFTER_SECONDS = 1;

const log = logOf('callers');

interface Admitted {
	readonly account: ClientAccount;
	readonly service: Service;
	readonly path: string;
}

/** Serves callers over HTTP/1.1. */
export class CallerServer extends Disposable {
	private readonly server: http.Server;
	private readonly open = OpenRequests.create();
	private closing = false;
	private accounts: ReadonlyMap<string, ClientAccount> = new Map();

	private constructor(
		private readonly configuration: IConfigurationService,
		private readonly dispatch: IDispatchService,
	) {
		super();
		this.server = http.createServer((request, response) => this.handle(request, response));
		this.register(configuration.onDidChange((current) => this.indexTokens(current)));
		this.register(toDisposable(() => this.server.closeAllConnections()));
	}

	/**
	 * @param configuration accounts and services
	 * @param dispatch runs requests
	 * @returns a server that does not listen yet
	 */
	public static create(configuration: IConfigurationService, dispatch: IDispatchService): CallerServer {
		return new CallerServer(configuration, dispatch);
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
				const address = this.server.address();
				resolve(typeof address === 'object' && address !== null ? address.port : port);
			});
		});
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
	public startClosing(): void {
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
	public endRequests(): number {
		return this.open.endAll();
	}

	private indexTokens(configuration: Configuration): void {
		this.accounts = new Map(
			configuration.accounts.flatMap((account) => account.tokenDigests.map((digest) => [digest, account] as const)),
		);
	}

	private handle(request: http.IncomingMessage, response: http.ServerResponse): void {
		const requestId = randomUUID();
		this.open.add(response);
		if (this.closing) {
			response.setHeader('connection', 'close');
		}
		response.setHeader('masticloom-request-id', requestId);
		const admitted = this.admit(request);
		if ('status' in admitted) {
			request.resume();
			sendProblem(response, requestId, admitted);
			return;
		}
		this.readBody(request, admitted.service.maximumBodyBytes, (body) => {
			if (body === undefined) {
				sendProblem(response, requestId, {
					status: 413,
					title: 'Content Too Large',
					detail: `The body exceeds ${admitted.service.maximumBodyBytes} bytes.`,
					verdict: 'not-run',
				});
				return;
			}
			this.run(requestId, admitted, request, response, body);
		});
	}

	private admit(request: http.IncomingMessage): Admitted | Problem {
		const token = /^Bearer (.+)$/i.exec(request.headers.authorization ?? '')?.[1];
		const digest = token === undefined ? '' : createHash('sha256').update(token).digest('hex');
		const account = this.accounts.get(digest);
		if (account === undefined) {
			return { status: 401, title: 'Unauthorized', detail: 'The token is not known.', verdict: 'not-run' };
		}
		const match = SERVICE_PATH.exec(request.url ?? '');
		const service = this.configuration.current?.services.find((item) => item.id === match?.[1]);
		if (service === undefined || !account.services.includes(service.id)) {
			return { status: 404, title: 'Not Found', detail: 'There is no such service.', verdict: 'not-run' };
		}
		return { account, service, path: `${match?.[2] ?? '/'}${match?.[3] ?? ''}` };
	}

	private readBody(
		request: http.IncomingMessage,
		maximumBytes: number,
		done: (body: Buffer | undefined) => void,
	): void {
		const chunks: Buffer[] = [];
		let size = 0;
		request.on('data', (chunk: Buffer) => {
			size += chunk.length;
			if (size <= maximumBytes) {
				chunks.push(chunk);
			}
		});
		request.on('end', () => done(size > maximumBytes ? undefined : Buffer.concat(chunks)));
	}

	private run(
		id: string,
		admitted: Admitted,
		request: http.IncomingMessage,
		response: http.ServerResponse,
		body: Buffer,
	): void {
		const { account, service, path } = admitted;
		const method = request.method ?? 'GET';
		let verdict: Verdict = 'not-run';
		const program = this.dispatch.dispatch(
			{
				id,
				account,
				service,
				idempotent: isIdempotent(service, method, path),
				costHint: Number(request.headers['masticloom-cost-hint'] ?? NaN),
				request: { method, path, headers: forwardedHeaders(request.headers, id), body },
				onDidChangeVerdict: (current) => (verdict = current),
			},
			toSink(response),
		);
		const fiber = Effect.runFork(
			Effect.match(program, {
				onSuccess: () => response.end(),
				onFailure: (failure) => finishFailed(response, id, failure),
			}),
		);
		this.open.setEnd(response, () => {
			Effect.runFork(Fiber.interrupt(fiber));
			finishFailed(response, id, {
				verdict,
				answerStarted: response.headersSent,
				message: 'The router is shutting down',
			});
		});
		response.on('close', () => {
			if (!response.writableFinished) {
				Effect.runFork(Fiber.interrupt(fiber));
			}
		});
	}
}

function toSink(response: http.ServerResponse): IAnswerSink {
	return {
		head: (head) => {
			response.setHeader('masticloom-verdict', 'completed');
			response.writeHead(head.status, head.headers as http.OutgoingHttpHeaders);
		},
		write: (chunk, resume) => {
			if (response.write(chunk)) {
				return true;
			}
			response.once('drain', resume);
			return false;
		},
	};
}

function finishFailed(response: http.ServerResponse, id: string, failure: DispatchFailure): void {
	log.debug(`Request ${id} failed: ${failure.message}.`);
	if (failure.answerStarted) {
		// The caller must see that the answer is not whole, so the connection breaks before the final chunk.
		response.destroy();
		return;
	}
	sendProblem(response, id, {
		status: failure.verdict === 'not-run' ? 503 : 502,
		title: failure.verdict === 'not-run' ? 'Service Unavailable' : 'Bad Gateway',
		detail: failure.message,
		verdict: failure.verdict,
		retryAfterSeconds: RETRY_AFTER_SECONDS,
	});
}

function isIdempotent(service: Service, method: string, path: string): boolean {
	const operation = service.operations.find(
		(item) =>
			item.method === method &&
			(item.path.endsWith('*') ? path.startsWith(item.path.slice(0, -1)) : path.split('?')[0] === item.path),
	);
	return operation?.idempotent ?? SAFE_METHODS.has(method);
}

function forwardedHeaders(headers: http.IncomingHttpHeaders, id: string): Record<string, string> {
	const forwarded: Record<string, string> = { 'masticloom-request-id': id };
	for (const name of ['content-type', 'accept', 'idempotency-key']) {
		const value = headers[name];
		if (typeof value === 'string') {
			forwarded[name] = value;
		}
	}
	return forwarded;
}
