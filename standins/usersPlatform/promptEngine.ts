import { createHash } from 'node:crypto';
import type * as http from 'node:http';
import { BackendListener, headerOf, sendJson } from '../common/backendListener.js';

const MISDIRECTED = 421;
const UNAVAILABLE = 503;
const MILLISECONDS_PER_SECOND = 1_000;

/** Size and pace of an engine or plain server. */
export interface PlatformServerOptions {
	readonly id: string;
	/** Requests in progress; as many more wait. */
	readonly slots: number;
	/** Prompt tokens read in a millisecond; undefined for a plain server. */
	readonly tokensPerMs: number | undefined;
	/** Time between two events of a stream, or of one call of a plain server. */
	readonly stepMs: number;
	readonly tokensPerEvent: number;
}

/** One request that began to run. */
export interface RequestExecution {
	readonly requestId: string;
	readonly account: string | undefined;
	readonly path: string;
	/** Number of the first event; greater than 1 when a stream was resumed. */
	readonly firstEvent: number;
	end: 'running' | 'whole' | 'cancelled' | 'crashed' | 'answer-lost';
}

/** Faults of one engine. */
export interface SimulatedFaults {
	/** Part of the runs whose connection is reset in place of an answer. */
	readonly resetRate?: number;
	/** Part of the runs that fail with status 500. */
	readonly failureRate?: number;
}

/** What an engine says of itself in its answers. */
export interface SimulatedNotices {
	/** Says in each answer that it leaves. */
	readonly leaving?: boolean;
	/** Part of the requests that it turns away. */
	readonly refusalRate?: number;
	/** Seconds for which it wants no requests of a router whose request it has turned away. */
	readonly retryAfterSeconds?: number;
}

/** A request that arrived, and what the engine said of itself in its answer. */
export interface RequestArrival {
	readonly requestId: string;
	readonly incarnation: number;
	/** Monotonic milliseconds. */
	readonly at: number;
	/** Monotonic milliseconds of an answer that said that the engine leaves. */
	leavingReportedAt: number | undefined;
	/** Monotonic milliseconds until which the engine wanted no requests, by an answer at {@link at}. */
	backoffUntil: number | undefined;
}

interface Waiting {
	readonly arrival: RequestArrival;
	readonly request: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly path: string;
}

/** Stand-in for a model engine or plain server of the users' platform. It reads prompts in the order of their arrival. */
export class PlatformServer {
	public readonly runs: RequestExecution[] = [];
	public readonly arrivals: RequestArrival[] = [];
	private readonly held = new Set<string>();
	private readonly listener = BackendListener.create((request, _body, response) => this.receive(request, response));
	private readonly waiting: Waiting[] = [];
	private running = 0;
	private readUntil = 0;
	private faults: SimulatedFaults = {};
	private notices: SimulatedNotices = {};
	private incarnation = 1;

	private constructor(
		public readonly options: PlatformServerOptions,
		private readonly random: () => number,
	) {}

	/**
	 * @param shape size and pace
	 * @param random numbers from 0 to 1 that pick faults
	 * @returns an engine that does not listen yet
	 */
	public static create(shape: PlatformServerOptions, random: () => number): PlatformServer {
		return new PlatformServer(shape, random);
	}

	/** @returns base URL */
	public listen(): Promise<string> {
		return this.listener.listen(0);
	}

	/** @param faults in force from now on */
	public setFaults(faults: SimulatedFaults): void {
		this.faults = faults;
	}

	/** Begins another incarnation, which has said nothing. */
	public replace(): void {
		this.incarnation++;
		this.notices = {};
	}

	/** @param notices what the engine says of itself from now on */
	public setNotices(notices: SimulatedNotices): void {
		this.notices = notices;
	}

	/**
	 * Resets all connections and refuses new ones for a while; what was read is forgotten.
	 *
	 * @param downMs milliseconds until the engine is back
	 */
	public crash(downMs: number): void {
		this.runs.filter(({ end }) => end === 'running').forEach((run) => (run.end = 'crashed'));
		this.held.clear();
		this.waiting.length = 0;
		this.listener.crash(downMs);
	}

	/** Ends the engine. */
	public close(): Promise<void> {
		return this.listener.close();
	}

	private receive(request: http.IncomingMessage, response: http.ServerResponse): void {
		if (request.url === '/healthz') {
			sendJson(response, 200, {}, { 'X-Instance-Id': this.options.id });
			return;
		}
		const requestId = headerOf(request, 'x-request-id') ?? '';
		const arrival: RequestArrival = {
			requestId,
			incarnation: this.incarnation,
			at: performance.now(),
			leavingReportedAt: undefined,
			backoffUntil: undefined,
		};
		const target = headerOf(request, 'x-target-instance');
		if (target !== undefined && target !== this.options.id) {
			sendJson(response, MISDIRECTED, {}, { 'X-Instance-Id': this.options.id });
			return;
		}
		this.arrivals.push(arrival);
		if (this.waiting.length >= this.options.slots) {
			sendJson(response, UNAVAILABLE, {}, { 'X-Not-Executed': '1' });
			return;
		}
		const { refusalRate = 0, retryAfterSeconds = 0 } = this.notices;
		if (refusalRate > 0 && this.random() < refusalRate) {
			arrival.backoffUntil = performance.now() + retryAfterSeconds * MILLISECONDS_PER_SECOND;
			const notices = { 'Retry-After': String(retryAfterSeconds), ...this.leavingHeader(arrival) };
			sendJson(response, UNAVAILABLE, {}, { 'X-Not-Executed': '1', 'X-Request-Id': requestId, ...notices });
			return;
		}
		this.waiting.push({ arrival, request, response, path: request.url ?? '/' });
		this.startNext();
	}

	private startNext(): void {
		while (this.running < this.options.slots) {
			const next = this.waiting.shift();
			if (next === undefined) {
				return;
			}
			if (!next.response.destroyed) {
				this.run(next);
			}
		}
	}

	private leavingHeader(arrival: RequestArrival): http.OutgoingHttpHeaders {
		if (this.notices.leaving !== true) {
			return {};
		}
		arrival.leavingReportedAt = performance.now();
		return { 'Server-Leaving': '1' };
	}

	private run({ arrival, request, response, path }: Waiting): void {
		const requestId = headerOf(request, 'x-request-id') ?? '';
		const firstEvent = Number(headerOf(request, 'last-event-id') ?? '0') + 1;
		const run: RequestExecution = {
			requestId,
			path,
			firstEvent,
			account: headerOf(request, 'x-tenant'),
			end: 'running',
		};
		this.runs.push(run);
		this.running++;
		response.once('close', () => {
			this.running--;
			if (run.end === 'running') {
				run.end = response.writableFinished ? 'whole' : 'cancelled';
			}
			this.startNext();
		});
		if (this.random() < (this.faults.resetRate ?? 0)) {
			run.end = 'answer-lost';
			request.socket.resetAndDestroy();
			return;
		}
		const headers = (): http.OutgoingHttpHeaders => ({
			'X-Request-Id': requestId,
			'X-Signature': signatureOf(requestId, path),
			...this.leavingHeader(arrival),
		});
		if (this.random() < (this.faults.failureRate ?? 0)) {
			sendJson(response, 500, {}, headers());
			return;
		}
		if (this.options.tokensPerMs === undefined) {
			setTimeout(() => sendJson(response, 200, { path }, headers()), this.options.stepMs);
			return;
		}
		this.stream(request, response, headers, firstEvent);
	}

	private stream(
		request: http.IncomingMessage,
		response: http.ServerResponse,
		headers: () => http.OutgoingHttpHeaders,
		firstEvent: number,
	): void {
		const [promptTokens = 0, outputTokens = 1] = (headerOf(request, 'x-token-usage') ?? '').split(',').map(Number);
		const parts = (headerOf(request, 'x-prefix-hash') ?? '').split(',').filter((part) => part !== '');
		const events = Math.max(1, Math.ceil(outputTokens / this.options.tokensPerEvent));
		const readMs = (promptTokens - this.take(parts)) / (this.options.tokensPerMs ?? 1);
		this.readUntil = Math.max(this.readUntil, performance.now()) + readMs;
		let event = firstEvent;
		const emit = (): void => {
			if (response.destroyed) {
				return;
			}
			if (!response.headersSent) {
				response.writeHead(200, { ...headers(), 'content-type': 'text/event-stream' });
			}
			response.write(`id: ${event}\ndata: event ${event} of ${events}\n\n`);
			event++;
			if (event > events) {
				response.end();
			} else {
				setTimeout(emit, this.options.stepMs);
			}
		};
		setTimeout(emit, this.readUntil - performance.now());
	}

	/** Takes a prompt's parts into memory and returns the tokens of the leading parts that were there before. */
	private take(parts: readonly string[]): number {
		let tokens = 0;
		let leading = true;
		for (const part of parts) {
			leading &&= this.held.has(part);
			tokens += leading ? Number(part.slice(part.lastIndexOf(':') + 1)) : 0;
			this.held.add(part);
		}
		return tokens;
	}
}

/**
 * @param requestId identifier of a request
 * @param path that the server received
 * @returns the signature under an answer to it
 */
export function signatureOf(requestId: string, path: string): string {
	return createHash('sha256').update(`${requestId} ${path}`).digest('hex').slice(0, 16);
}
