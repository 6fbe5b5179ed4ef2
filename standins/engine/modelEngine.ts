import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { BackendListener, headerOf, parseObject, sendJson } from '../common/backendListener.js';
import { FencingCheck } from '../common/fencing.js';
import { Ledger } from '../common/ledger.js';
import { type Completion, emptyDigest, seededTokens, sendNext, skipTokens } from './completion.js';
import { CHARACTERS_PER_TOKEN, PrefixCache } from './prefixCache.js';

const NOT_STARTED = { 'masticloom-not-started': 'true' };

/** Behaviour of one engine. */
export interface EngineOptions {
	/** Maximum number of requests in progress. */
	readonly slots: number;
	/** Maximum number of waiting requests; with 0, requests beyond the slots are refused. */
	readonly queueLimit: number;
	/** Milliseconds per generated token; 0 generates as fast as possible. */
	readonly tokenMs: number;
	/** Prompt tokens processed per step of `tokenMs`. */
	readonly promptTokensPerStep: number;
	/** Size of the prefix cache, in prompt tokens. */
	readonly cacheTokens: number;
	/** Maximum age of the reported load, in milliseconds. */
	readonly metricsLagMs: number;
	/** Range of the number of generated tokens for a request without `max_tokens`. */
	readonly minimumTokens: number;
	readonly maximumTokens: number;
	readonly checksFencing: boolean;
	/** A request whose prompt contains this text crashes the engine after prefill. */
	readonly crashMarker: string;
	/** `reset` closes the listener for {@link crashDownMs}, `exit` ends the process. */
	readonly crashMode: 'reset' | 'exit';
	readonly crashDownMs: number;
}

/** Default options of an engine. */
export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
	slots: 8,
	queueLimit: 0,
	tokenMs: 5,
	promptTokensPerStep: 512,
	cacheTokens: 65_536,
	metricsLagMs: 100,
	minimumTokens: 8,
	maximumTokens: 256,
	checksFencing: false,
	crashMarker: '[crash]',
	crashMode: 'reset',
	crashDownMs: 1_000,
};

interface Load {
	readonly running: number;
	readonly waiting: number;
	readonly draining: boolean;
}

/** Stand-in for a model engine with continuous batching: each step generates one token for every running request. */
export class ModelEngine {
	public readonly ledger = Ledger.create();
	private readonly listener = BackendListener.create((request, body, response) => this.handle(request, body, response));
	private readonly running = new Set<Completion>();
	private readonly waiting: Completion[] = [];
	private readonly fencing: FencingCheck;
	private cache: PrefixCache;
	private draining = false;
	private stepTimer: NodeJS.Timeout | undefined;
	private metricsTimer: NodeJS.Timeout | undefined;
	private reportedLoad: Load = { running: 0, waiting: 0, draining: false };
	private busySlotMs = 0;
	private busySince = performance.now();

	private constructor(private readonly options: EngineOptions) {
		this.cache = PrefixCache.create(options.cacheTokens);
		this.fencing = FencingCheck.create(options.checksFencing);
	}

	/**
	 * @param options behaviour, where it differs from {@link DEFAULT_ENGINE_OPTIONS}
	 * @returns an engine that is not yet listening
	 */
	public static create(options: Partial<EngineOptions> = {}): ModelEngine {
		return new ModelEngine({ ...DEFAULT_ENGINE_OPTIONS, ...options });
	}

	/** Simulated crashes since the start. */
	public get crashes(): number {
		return this.listener.crashes;
	}

	/**
	 * @param port 0 picks a free port
	 * @returns base URL
	 */
	public async listen(port = 0): Promise<string> {
		const url = await this.listener.listen(port);
		if (this.options.metricsLagMs > 0) {
			this.metricsTimer = setInterval(() => (this.reportedLoad = this.load()), this.options.metricsLagMs);
			this.metricsTimer.unref();
		}
		return url;
	}

	/** Stops the engine and closes the connections of all streams. */
	public async close(): Promise<void> {
		clearInterval(this.metricsTimer);
		clearTimeout(this.stepTimer);
		await this.listener.close();
	}

	/**
	 * Crashes the engine, as a request with the crash marker does.
	 *
	 * @param downMs milliseconds until it listens again, in mode `reset`
	 */
	public crash(downMs = this.options.crashDownMs): void {
		if (this.options.crashMode === 'exit') {
			process.exit(1);
		}
		this.cache = PrefixCache.create(this.options.cacheTokens);
		this.listener.crash(downMs);
	}

	/**
	 * Refuses new requests while the running ones finish.
	 *
	 * @param draining false accepts requests again
	 */
	public drain(draining = true): void {
		this.draining = draining;
	}

	private load(): Load {
		return { running: this.running.size, waiting: this.waiting.length, draining: this.draining };
	}

	private handle(request: IncomingMessage, body: Buffer, response: ServerResponse): void {
		const path = request.url ?? '';
		if (request.method === 'POST' && path === '/v1/completions') {
			this.admit(request, body, response);
		} else if (path === '/metrics') {
			this.sendMetrics(response);
		} else if (path.startsWith('/control/')) {
			this.control(request, path, body, response);
		} else {
			sendJson(response, 404, { error: 'unknown path' });
		}
	}

	private admit(request: IncomingMessage, body: Buffer, response: ServerResponse): void {
		if (!this.fencing.accepts(request)) {
			this.ledger.refuse();
			sendJson(response, 409, { error: 'outdated fencing number' }, NOT_STARTED);
			return;
		}
		const isFull = this.running.size >= this.options.slots && this.waiting.length >= this.options.queueLimit;
		if (this.draining || isFull) {
			this.ledger.refuse();
			sendJson(response, 503, { error: this.draining ? 'draining' : 'busy' }, NOT_STARTED);
			return;
		}
		const completion = this.toCompletion(request, body, response);
		skipTokens(completion, Number(headerOf(request, 'last-event-id') ?? 0));
		response.on('close', () => this.end(completion));
		if (this.running.size >= this.options.slots) {
			this.waiting.push(completion);
			return;
		}
		this.start(completion, headerOf(request, 'idempotency-key'));
	}

	private toCompletion(request: IncomingMessage, body: Buffer, response: ServerResponse): Completion {
		const fields = parseObject(body);
		const bodyDigest = createHash('sha256').update(body).digest();
		const prompt = typeof fields.prompt === 'string' ? fields.prompt : '';
		const range = { least: this.options.minimumTokens, most: this.options.maximumTokens };
		const requested = fields.max_tokens;
		return {
			requestId: headerOf(request, 'x-request-id') ?? bodyDigest.toString('hex'),
			prompt,
			promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
			tokens: typeof requested === 'number' && requested >= 1 ? Math.floor(requested) : seededTokens(bodyDigest, range),
			seed: bodyDigest.readUInt32BE(0),
			crashes: prompt.includes(this.options.crashMarker),
			response,
			digest: emptyDigest(),
			position: 0,
			promptSteps: 0,
			ledgerEntry: undefined,
		};
	}

	private start(completion: Completion, idempotencyKey?: string): void {
		this.countBusyTime();
		completion.ledgerEntry = this.ledger.recordStart(completion.requestId, idempotencyKey);
		const uncached = completion.promptTokens - this.cache.use(completion.prompt);
		completion.promptSteps = Math.ceil(Math.max(0, uncached) / this.options.promptTokensPerStep);
		completion.response.writeHead(200, {
			'content-type': 'text/event-stream',
			'stand-in-request-id': completion.requestId,
		});
		this.running.add(completion);
		this.scheduleStep();
	}

	private end(completion: Completion): void {
		this.countBusyTime();
		if (this.running.delete(completion)) {
			if (completion.ledgerEntry !== undefined) {
				completion.ledgerEntry.cancelled++;
				this.ledger.recordSlotRelease(completion.ledgerEntry);
			}
		} else {
			const index = this.waiting.indexOf(completion);
			if (index >= 0) {
				this.waiting.splice(index, 1);
			}
		}
		this.startWaiting();
	}

	private startWaiting(): void {
		while (this.running.size < this.options.slots) {
			const next = this.waiting.shift();
			if (next === undefined) {
				return;
			}
			this.start(next);
		}
	}

	private scheduleStep(): void {
		if (this.stepTimer === undefined && this.running.size > 0) {
			this.stepTimer = setTimeout(() => {
				this.stepTimer = undefined;
				this.step();
				this.scheduleStep();
			}, this.options.tokenMs);
		}
	}

	private step(): void {
		for (const completion of [...this.running]) {
			if (completion.promptSteps > 0) {
				completion.promptSteps--;
				continue;
			}
			if (completion.crashes) {
				this.crash();
				return;
			}
			if (sendNext(completion)) {
				this.countBusyTime();
				this.running.delete(completion);
				if (completion.ledgerEntry !== undefined) {
					completion.ledgerEntry.finished++;
					this.ledger.recordSlotRelease(completion.ledgerEntry);
				}
			}
		}
		this.startWaiting();
	}

	private countBusyTime(): void {
		const now = performance.now();
		this.busySlotMs += (now - this.busySince) * this.running.size;
		this.busySince = now;
	}

	private sendMetrics(response: ServerResponse): void {
		const load = this.options.metricsLagMs > 0 ? this.reportedLoad : this.load();
		response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
		response.end(
			`# TYPE engine_requests_running gauge\nengine_requests_running ${load.running}\n` +
				`# TYPE engine_requests_waiting gauge\nengine_requests_waiting ${load.waiting}\n` +
				`# TYPE engine_draining gauge\nengine_draining ${load.draining ? 1 : 0}\n`,
		);
	}

	private control(request: IncomingMessage, path: string, body: Buffer, response: ServerResponse): void {
		const fields = parseObject(body);
		if (path === '/control/ledger') {
			if (request.method === 'DELETE') {
				this.ledger.clear();
			}
			this.countBusyTime();
			sendJson(response, 200, {
				entries: this.ledger.entries(),
				refused: this.ledger.refused,
				crashes: this.crashes,
				running: this.running.size,
				waiting: this.waiting.length,
				busySlotMs: this.busySlotMs,
			});
			return;
		}
		if (path === '/control/drain') {
			this.drain(fields.draining !== false);
		} else if (path === '/control/crash') {
			const downMs = typeof fields.downMs === 'number' ? fields.downMs : undefined;
			response.on('finish', () => this.crash(downMs));
		} else {
			sendJson(response, 404, { error: 'unknown command' });
			return;
		}
		sendJson(response, 200, {});
	}
}
