import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { BackendListener, headerOf, parseObject, sendJson } from '../common/backendListener.js';
import { FencingCheck } from '../common/fencing.js';
import { Ledger, type LedgerEntry } from '../common/ledger.js';

const NOT_STARTED = { 'masticloom-not-started': 'true' };
const FAULTS = ['crash-before', 'crash-during', 'crash-after', 'hang', 'cut'] as const;

/**
 * Simulated fault of a call: the service crashes before, during or after its execution (`crash-…`), finishes it but never
 * responds (`hang`), or closes the connection in the middle of the response (`cut`).
 */
export type Fault = (typeof FAULTS)[number];

/** Behaviour of one service. */
export interface PlainServiceOptions {
	/** Maximum number of calls in progress; further ones are refused. */
	readonly slots: number;
	/** Execution time in milliseconds of a call without `service_ms` in its JSON body. */
	readonly serviceMs: number;
	readonly checksFencing: boolean;
	/** Milliseconds until the service listens again after a crash. */
	readonly crashDownMs: number;
	/** Bytes of filler in each response. */
	readonly responseBytes: number;
}

/** Default options of a service. */
export const DEFAULT_PLAIN_SERVICE_OPTIONS: PlainServiceOptions = {
	slots: 8,
	serviceMs: 10,
	checksFencing: false,
	crashDownMs: 1_000,
	responseBytes: 64,
};

interface Call {
	readonly requestId: string;
	readonly requestDigest: string;
	readonly fault: Fault | undefined;
	readonly entry: LedgerEntry;
	readonly response: ServerResponse;
}

/** Stand-in for an application server. A call that has started is completed even if its connection closes. */
export class PlainService {
	public readonly ledger = Ledger.create();
	private readonly listener = BackendListener.create((request, body, response) => this.handle(request, body, response));
	private readonly timers = new Set<NodeJS.Timeout>();
	private readonly fencing: FencingCheck;
	private readonly faults: Fault[] = [];
	private running = 0;
	private draining = false;
	private busySlotMs = 0;
	private busySince = performance.now();

	private constructor(private readonly options: PlainServiceOptions) {
		this.fencing = FencingCheck.create(options.checksFencing);
	}

	/**
	 * @param options behaviour, where it differs from {@link DEFAULT_PLAIN_SERVICE_OPTIONS}
	 * @returns a service that is not yet listening
	 */
	public static create(options: Partial<PlainServiceOptions> = {}): PlainService {
		return new PlainService({ ...DEFAULT_PLAIN_SERVICE_OPTIONS, ...options });
	}

	/** Simulated crashes since the start. */
	public get crashes(): number {
		return this.listener.crashes;
	}

	/**
	 * @param port 0 picks a free port
	 * @returns base URL
	 */
	public listen(port = 0): Promise<string> {
		return this.listener.listen(port);
	}

	/** Stops the service. */
	public async close(): Promise<void> {
		for (const timer of this.timers) {
			clearTimeout(timer);
		}
		await this.listener.close();
	}

	/**
	 * Makes the next calls fail, one fault for each call.
	 *
	 * @param faults in the order of the calls
	 */
	public failNext(...faults: readonly Fault[]): void {
		this.faults.push(...faults);
	}

	/**
	 * Refuses new calls while the running ones finish.
	 *
	 * @param draining false accepts calls again
	 */
	public drain(draining = true): void {
		this.draining = draining;
	}

	/**
	 * Crashes the service.
	 *
	 * @param downMs milliseconds until it listens again
	 */
	public crash(downMs = this.options.crashDownMs): void {
		for (const timer of this.timers) {
			clearTimeout(timer);
		}
		this.timers.clear();
		this.countBusyTime();
		this.running = 0;
		this.listener.crash(downMs);
	}

	private handle(request: IncomingMessage, body: Buffer, response: ServerResponse): void {
		const path = request.url ?? '';
		if (path === '/metrics') {
			response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
			response.end(
				`engine_requests_running ${this.running}\nengine_requests_waiting 0\n` +
					`engine_draining ${this.draining ? 1 : 0}\n`,
			);
		} else if (path.startsWith('/control/')) {
			this.control(request, path, body, response);
		} else {
			this.admit(request, body, response);
		}
	}

	private admit(request: IncomingMessage, body: Buffer, response: ServerResponse): void {
		if (!this.fencing.accepts(request)) {
			this.ledger.refuse();
			sendJson(response, 409, { error: 'outdated fencing number' }, NOT_STARTED);
			return;
		}
		if (this.draining || this.running >= this.options.slots) {
			this.ledger.refuse();
			sendJson(response, 503, { error: this.draining ? 'draining' : 'busy' }, NOT_STARTED);
			return;
		}
		const fields = parseObject(body);
		const fault = this.faults.shift() ?? FAULTS.find((name) => name === fields.fault);
		if (fault === 'crash-before') {
			this.crash();
			return;
		}
		const requestDigest = createHash('sha256').update(body).digest('hex');
		const requestId = headerOf(request, 'x-request-id') ?? requestDigest;
		const entry = this.ledger.recordStart(requestId, headerOf(request, 'idempotency-key'));
		const serviceMs = typeof fields.service_ms === 'number' ? fields.service_ms : this.options.serviceMs;
		this.run({ requestId, requestDigest, fault, entry, response }, serviceMs);
	}

	private run(call: Call, serviceMs: number): void {
		this.countBusyTime();
		this.running++;
		call.response.on('close', () => {
			if (!call.response.writableFinished) {
				call.entry.cancelled++;
			}
		});
		if (serviceMs === 0) {
			this.finish(call);
			return;
		}
		const crashes = call.fault === 'crash-during';
		const timer = setTimeout(
			() => {
				this.timers.delete(timer);
				if (crashes) {
					this.crash();
				} else {
					this.finish(call);
				}
			},
			crashes ? serviceMs / 2 : serviceMs,
		);
		this.timers.add(timer);
	}

	private finish(call: Call): void {
		this.countBusyTime();
		this.running--;
		call.entry.finished++;
		this.ledger.recordSlotRelease(call.entry);
		if (call.fault === 'hang') {
			return;
		}
		if (call.fault === 'crash-after') {
			this.crash();
			return;
		}
		const body = Buffer.from(
			JSON.stringify({
				request_id: call.requestId,
				request_digest: call.requestDigest,
				filler: 'x'.repeat(this.options.responseBytes),
			}),
		);
		call.response.writeHead(200, {
			'content-type': 'application/json',
			'content-length': body.length,
			'stand-in-request-id': call.requestId,
			'stand-in-body-digest': createHash('sha256').update(body).digest('hex'),
		});
		if (call.fault === 'cut') {
			call.response.write(body.subarray(0, body.length / 2), () => call.response.destroy());
			return;
		}
		call.response.end(body);
	}

	private countBusyTime(): void {
		const now = performance.now();
		this.busySlotMs += (now - this.busySince) * this.running;
		this.busySince = now;
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
				running: this.running,
				busySlotMs: this.busySlotMs,
			});
			return;
		}
		const fault = FAULTS.find((name) => name === fields.fault);
		if (path === '/control/drain') {
			this.drain(fields.draining !== false);
		} else if (path === '/control/crash') {
			const downMs = typeof fields.downMs === 'number' ? fields.downMs : undefined;
			response.on('finish', () => this.crash(downMs));
		} else if (path === '/control/fault' && fault !== undefined) {
			const count = typeof fields.count === 'number' ? fields.count : 1;
			this.failNext(...Array.from({ length: count }, () => fault));
		} else {
			sendJson(response, 404, { error: 'unknown command' });
			return;
		}
		sendJson(response, 200, {});
	}
}
