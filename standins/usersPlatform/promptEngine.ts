import { Emitter } from '../../src/base/common/event.js';
import { createHash } from 'node:crypto';
import type * as http from 'node:http';
import { BackendListener, headerOf, sendJson } from '../common/backendListener.js';

const MISDIRECTED = 421;
const UNAVAILABLE = 503;
const MILLISECONDS_PER_SECOND = 1_000;

/** Last part of the paths of streams whose events are large. */
export const LARGE_EVENTS = 'large-events';
const LARGE_EVENT_BYTES = 65_536;

/** Range of a reported work time relative to its mean; a single figure is noisy. */
const MINIMUM_WORK_TIME_NOISE = 0.7;
const WORK_TIME_NOISE = 0.6;
const PERCENT = 100;

/** Capacity and speed of a model engine or plain server. */
export interface PlatformServerOptions {
	readonly id: string;
	/** Maximum number of requests in progress, and of requests that wait. */
	readonly slots: number;
	/** Prefill speed in prompt tokens per millisecond; undefined for a plain server. */
	readonly tokensPerMs: number | undefined;
	/** Milliseconds between two events of a stream, or duration of one call of a plain server. */
	readonly stepMs: number;
	readonly tokensPerEvent: number;
}

/** One execution of a request. */
export interface RequestExecution {
	readonly requestId: string;
	readonly account: string | undefined;
	readonly path: string;
	/** Number of the first event; greater than 1 if the stream was resumed. */
	readonly firstEvent: number;
	/** Attempt that began the stream, as named by a request that takes it up; otherwise the request itself. */
	readonly firstAttempt: string;
	/** Version of the server's software. */
	readonly softwareVersion: string;
	/** Monotonic milliseconds. */
	readonly startedAt: number;
	/** Events of a stream that were sent. */
	eventsSent: number;
	end: 'running' | 'whole' | 'cancelled' | 'crashed' | 'answer-lost';
}

/** Simulated faults of one server. */
export interface SimulatedFaults {
	/** Fraction of the executions whose connection is reset instead of a response. */
	readonly resetRate?: number;
	/** Fraction of the executions that fail with status 500. */
	readonly failureRate?: number;
}

/** Requests that end the server a while after it has sent the first event of their response. */
export interface SimulatedCrash {
	/** Path of the requests. */
	readonly path: string;
	/** Milliseconds from the first event to the end of the server. */
	readonly afterMs: number;
	/** Milliseconds until the server listens again. */
	readonly downMs: number;
}

/** What a server reports of itself in its responses. */
export interface SimulatedNotices {
	/** Reports in each response that it is leaving. */
	readonly leaving?: boolean;
	/** Fraction of the requests that it refuses with a time to retry after. */
	readonly refusalRate?: number;
	/** Seconds for which a router has to back off after a refused request. */
	readonly retryAfterSeconds?: number;
	/** Requests per second from all routers that it names as its limit in each response. */
	readonly requestsPerSecond?: number;
}

/** A request that arrived, and what the server reported of itself in its response. */
export interface RequestArrival {
	readonly requestId: string;
	readonly incarnation: number;
	/** Monotonic milliseconds. */
	readonly at: number;
	/** Monotonic milliseconds of a response that reported that the server is leaving. */
	leavingReportedAt: number | undefined;
	/** Monotonic milliseconds until which the sender has to back off, as requested by a response at {@link at}. */
	backoffUntil: number | undefined;
	/** Monotonic milliseconds of a response that named a limit. */
	limitNamedAt: number | undefined;
}

/** Time during which a server named the same limit, in monotonic milliseconds. */
export interface LimitPeriod {
	readonly requestsPerSecond: number;
	readonly from: number;
	/** Infinite while it lasts. */
	until: number;
}

interface WaitingRequest {
	readonly arrival: RequestArrival;
	readonly request: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly path: string;
}

/** Stand-in for a model engine or plain server of the users' platform. Prefill is done in the order of arrival. */
export class PlatformServer {
	public readonly runs: RequestExecution[] = [];
	public readonly arrivals: RequestArrival[] = [];
	public readonly limitPeriods: LimitPeriod[] = [];
	private readonly held = new Set<string>();
	private readonly listener = BackendListener.create((request, _body, response) => this.receive(request, response));
	private readonly waiting: WaitingRequest[] = [];
	private running = 0;
	private prefillEndsAt = 0;
	private faults: SimulatedFaults = {};
	private readonly restartEmitter = Emitter.create<undefined>();
	/** Fires when the server has started again after a crash. */
	public readonly onDidRestart = this.restartEmitter.event;
	private harmful: SimulatedCrash | undefined;
	private notices: SimulatedNotices = {};
	private workTimePercent: number | undefined;
	private incarnation = 1;
	/** Version of the software, as in the registration. */
	public softwareVersion = 'v1';

	private constructor(
		public readonly options: PlatformServerOptions,
		private readonly random: () => number,
	) {}

	/**
	 * @param options capacity and speed
	 * @param random returns numbers from 0 to 1, which select the requests that fail
	 * @returns a server that is not yet listening
	 */
	public static create(options: PlatformServerOptions, random: () => number): PlatformServer {
		return new PlatformServer(options, random);
	}

	/** @returns base URL */
	public listen(): Promise<string> {
		return this.listener.listen(0);
	}

	/** @param faults that are simulated from now on */
	public setFaults(faults: SimulatedFaults): void {
		this.faults = faults;
	}

	/** @param harmful requests that end the server from now on */
	public setHarmful(harmful: SimulatedCrash): void {
		this.harmful = harmful;
	}

	/**
	 * Reports the load in each response from now on, and changes the speed.
	 *
	 * @param percent mean duration of work; 100: as usual
	 */
	public setWorkTime(percent: number): void {
		this.workTimePercent = percent;
	}

	/** Begins a new incarnation, which has sent no notices. */
	public replace(): void {
		this.incarnation++;
		this.setNotices({});
	}

	/** @param notices that are sent from now on */
	public setNotices(notices: SimulatedNotices): void {
		const now = performance.now();
		const last = this.limitPeriods.at(-1);
		if (last !== undefined) {
			last.until = Math.min(last.until, now);
		}
		const { requestsPerSecond } = notices;
		if (requestsPerSecond !== undefined) {
			this.limitPeriods.push({ requestsPerSecond, from: now, until: Infinity });
		}
		this.notices = notices;
	}

	/**
	 * Resets all connections and refuses new ones for a while; cached prompt parts and waiting requests are dropped.
	 *
	 * @param downMs milliseconds until the server listens again
	 */
	public crash(downMs: number): void {
		this.runs.filter(({ end }) => end === 'running').forEach((execution) => (execution.end = 'crashed'));
		this.held.clear();
		this.waiting.length = 0;
		this.listener.crash(downMs);
		setTimeout(() => this.restartEmitter.fire(undefined), downMs).unref();
	}

	/** Stops the server. */
	public close(): Promise<void> {
		return this.listener.close();
	}

	private receive(request: http.IncomingMessage, response: http.ServerResponse): void {
		if (request.url === '/healthz') {
			sendJson(response, 200, {}, { 'X-Instance-Id': this.options.id, ...this.loadHeaders() });
			return;
		}
		const requestId = headerOf(request, 'x-request-id') ?? '';
		const arrival: RequestArrival = {
			requestId,
			incarnation: this.incarnation,
			at: performance.now(),
			leavingReportedAt: undefined,
			backoffUntil: undefined,
			limitNamedAt: undefined,
		};
		const target = headerOf(request, 'x-target-instance');
		if (target !== undefined && target !== this.options.id) {
			sendJson(response, MISDIRECTED, {}, { 'X-Instance-Id': this.options.id });
			return;
		}
		this.arrivals.push(arrival);
		if (this.waiting.length >= this.options.slots) {
			const notices = this.noticeHeaders(arrival);
			sendJson(response, UNAVAILABLE, {}, { 'X-Not-Executed': '1', 'X-Request-Id': requestId, ...notices });
			return;
		}
		const { refusalRate = 0, retryAfterSeconds = 0 } = this.notices;
		if (refusalRate > 0 && this.random() < refusalRate) {
			arrival.backoffUntil = performance.now() + retryAfterSeconds * MILLISECONDS_PER_SECOND;
			const notices = { 'Retry-After': String(retryAfterSeconds), ...this.noticeHeaders(arrival) };
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
				this.execute(next);
			}
		}
	}

	private noticeHeaders(arrival: RequestArrival): http.OutgoingHttpHeaders {
		const { leaving, requestsPerSecond } = this.notices;
		const headers = this.loadHeaders();
		if (leaving === true) {
			arrival.leavingReportedAt = performance.now();
			headers['Server-Leaving'] = '1';
		}
		if (requestsPerSecond !== undefined) {
			arrival.limitNamedAt = performance.now();
			headers['Server-Limit'] = String(requestsPerSecond);
		}
		return headers;
	}

	private loadHeaders(): http.OutgoingHttpHeaders {
		if (this.workTimePercent === undefined) {
			return {};
		}
		const noise = MINIMUM_WORK_TIME_NOISE + this.random() * WORK_TIME_NOISE;
		const percent = Math.max(1, Math.round(this.workTimePercent * noise));
		return { 'X-Backend-Load': `${this.running},${this.waiting.length},${this.options.slots},${percent}` };
	}

	private get stepMs(): number {
		return (this.options.stepMs * (this.workTimePercent ?? PERCENT)) / PERCENT;
	}

	private execute({ arrival, request, response, path }: WaitingRequest): void {
		const requestId = headerOf(request, 'x-request-id') ?? '';
		const firstEvent = Number(headerOf(request, 'last-event-id') ?? '0') + 1;
		const execution: RequestExecution = {
			requestId,
			path,
			firstEvent,
			firstAttempt: headerOf(request, 'resumes') ?? requestId,
			softwareVersion: this.softwareVersion,
			startedAt: performance.now(),
			eventsSent: 0,
			account: headerOf(request, 'x-tenant'),
			end: 'running',
		};
		this.runs.push(execution);
		this.running++;
		response.once('close', () => {
			this.running--;
			if (execution.end === 'running') {
				execution.end = response.writableFinished ? 'whole' : 'cancelled';
			}
			this.startNext();
		});
		if (this.random() < (this.faults.resetRate ?? 0)) {
			execution.end = 'answer-lost';
			request.socket.resetAndDestroy();
			return;
		}
		const headers = (): http.OutgoingHttpHeaders => ({
			'X-Request-Id': requestId,
			'X-Signature': signatureOf(requestId, path),
			...this.noticeHeaders(arrival),
		});
		if (this.random() < (this.faults.failureRate ?? 0)) {
			sendJson(response, 500, {}, headers());
			return;
		}
		if (this.options.tokensPerMs === undefined) {
			setTimeout(() => sendJson(response, 200, { path }, headers()), this.stepMs);
			return;
		}
		this.stream(request, response, headers, execution);
	}

	private stream(
		request: http.IncomingMessage,
		response: http.ServerResponse,
		headers: () => http.OutgoingHttpHeaders,
		execution: RequestExecution,
	): void {
		const [promptTokens = 0, outputTokens = 1] = (headerOf(request, 'x-token-usage') ?? '').split(',').map(Number);
		const promptParts = (headerOf(request, 'x-prefix-hash') ?? '').split(',').filter((part) => part !== '');
		const events = Math.max(1, Math.ceil(outputTokens / this.options.tokensPerEvent));
		const tokensPerMs = ((this.options.tokensPerMs ?? 1) * PERCENT) / (this.workTimePercent ?? PERCENT);
		const prefillMs = (promptTokens - this.cacheParts(promptParts)) / tokensPerMs;
		const filler = execution.path.endsWith(LARGE_EVENTS) ? ' '.repeat(LARGE_EVENT_BYTES) : '';
		this.prefillEndsAt = Math.max(this.prefillEndsAt, performance.now()) + prefillMs;
		let event = execution.firstEvent;
		const emit = (): void => {
			if (response.destroyed) {
				return;
			}
			if (!response.headersSent) {
				response.writeHead(200, { ...headers(), 'content-type': 'text/event-stream' });
			}
			response.write(`id: ${event}\ndata: event ${event} of ${events}${filler}\n\n`);
			event++;
			execution.eventsSent++;
			const { harmful } = this;
			if (execution.eventsSent === 1 && execution.path === harmful?.path) {
				setTimeout(() => this.crash(harmful.downMs), harmful.afterMs);
			}
			if (event > events) {
				response.end();
			} else {
				setTimeout(emit, this.stepMs);
			}
		};
		setTimeout(emit, this.prefillEndsAt - performance.now());
	}

	/** Adds a prompt's parts to the cache and returns the tokens of the leading parts that were cached already. */
	private cacheParts(parts: readonly string[]): number {
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
 * @returns the signature in a response to it
 */
export function signatureOf(requestId: string, path: string): string {
	return createHash('sha256').update(`${requestId} ${path}`).digest('hex').slice(0, 16);
}
