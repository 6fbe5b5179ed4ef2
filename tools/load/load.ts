import { createHash } from 'node:crypto';
import * as http from 'node:http';
import { sleep } from '../fleet/processes.js';
import { drawArrivalTimes, drawClosedLoopStarts } from './arrivals.js';
import { callCompletion, type CallOutcome } from './completionCall.js';
import { drawCost, createRandom, type CostRange, type RequestSource } from './workload.js';

// A prompt token costs 0.05 cost units, and four bytes of the body count as one token, as in src/dispatch.
const PROMPT_COST_PER_BYTE = 0.05 / 4;
// Pause of a closed loop after a refusal or a broken connection; short, so that the account stays backlogged.
const RETRY_PAUSE_MS = 100;

/** Requests of a load, and the routers that they are sent to. */
export interface LoadOptions {
	readonly seed: number;
	readonly sources: readonly RequestSource[];
	readonly costs: CostRange;
	/** Base URL of each router. */
	readonly routers: readonly string[];
	/** Token of each account. */
	readonly tokens: readonly string[];
	/** Service and path, such as `drafts/v1/completions`. */
	readonly path: string;
	readonly durationMs: number;
}

/** A request of the load. Times are milliseconds since the epoch, like those that stand-ins record. */
export interface RequestRecord {
	/** SHA-256 digest of the body, which identifies the request in the ledgers of the stand-ins. */
	readonly id: string;
	readonly account: number;
	readonly router: number;
	readonly sentMs: number;
	firstTokenMs: number | undefined;
	endMs: number | undefined;
	outcome: CallOutcome | undefined;
}

/** Service that a caller received at one time, in cost units. */
export interface Delivery {
	readonly atMs: number;
	readonly account: number;
	readonly service: number;
}

/** Requests and deliveries of a finished load; deliveries are in the order of their times. */
export interface LoadRecord {
	readonly startMs: number;
	endMs: number;
	readonly requests: readonly RequestRecord[];
	readonly deliveries: readonly Delivery[];
}

/** Sends the requests of all sources for the duration of the load, and records what callers receive. */
export class LoadGenerator {
	private readonly requests: RequestRecord[] = [];
	private readonly deliveries: Delivery[] = [];
	private readonly agents: readonly http.Agent[];
	private readonly pending = new Set<Promise<void>>();
	private sequence = 0;
	private startMs = 0;
	private hasEnded = false;

	private constructor(private readonly options: LoadOptions) {
		this.agents = options.routers.map(() => new http.Agent({ keepAlive: true }));
	}

	/**
	 * @param options what to send, and where
	 * @returns a load that has not started
	 */
	public static create(options: LoadOptions): LoadGenerator {
		return new LoadGenerator(options);
	}

	/**
	 * Sends requests for the duration of the load, then waits for the requests in progress.
	 *
	 * @param drainMs maximum wait for the requests in progress, in milliseconds; those left have no outcome
	 * @returns the recorded requests and deliveries
	 */
	public async run(drainMs: number): Promise<LoadRecord> {
		this.startMs = epochNow();
		const sourceEnds = this.options.sources.map((source) =>
			source.ratePerSecond === undefined ? this.runClosedLoop(source) : this.runOpenLoop(source),
		);
		await sleep(this.options.durationMs);
		const endMs = epochNow();
		await Promise.race([Promise.all(sourceEnds).then(() => Promise.all(this.pending)), sleep(drainMs)]);
		// Destroying the agents breaks the remaining connections; these errors are not recorded as outcomes.
		this.hasEnded = true;
		this.agents.forEach((agent) => {
			agent.destroy();
		});
		return { startMs: this.startMs, endMs, requests: this.requests, deliveries: this.deliveries };
	}

	private async runClosedLoop(source: RequestSource): Promise<void> {
		const random = createRandom(this.options.seed, source);
		const untilMs = Math.min(source.untilMs ?? Infinity, this.options.durationMs);
		const sendRepeatedly = async (startMs: number): Promise<void> => {
			await sleep(startMs);
			while (epochNow() - this.startMs < untilMs) {
				const outcome = await this.send(source, drawCost(this.options.costs, random));
				if (outcome.result !== 'whole') {
					await sleep(RETRY_PAUSE_MS);
				}
			}
		};
		await Promise.all(drawClosedLoopStarts(this.options.seed, source).map(sendRepeatedly));
	}

	private async runOpenLoop(source: RequestSource): Promise<void> {
		const random = createRandom(this.options.seed, source);
		for (const arrivalMs of drawArrivalTimes(this.options.seed, source, this.options.durationMs)) {
			const wait = this.startMs + arrivalMs - epochNow();
			if (wait > 1) {
				await sleep(wait);
			}
			const sent = this.send(source, drawCost(this.options.costs, random)).then(() => void this.pending.delete(sent));
			this.pending.add(sent);
		}
	}

	private async send(source: RequestSource, cost: number): Promise<CallOutcome> {
		const body = JSON.stringify({ prompt: `${source.account}-${this.sequence++}`, max_tokens: cost, stream: true });
		const record: RequestRecord = {
			id: createHash('sha256').update(body).digest('hex'),
			account: source.account,
			router: source.router,
			sentMs: epochNow(),
			firstTokenMs: undefined,
			endMs: undefined,
			outcome: undefined,
		};
		this.requests.push(record);
		const outcome = await callCompletion(
			{
				router: new URL(this.options.routers[source.router] ?? ''),
				agent: this.agents[source.router] ?? http.globalAgent,
				token: this.options.tokens[source.account] ?? '',
				path: this.options.path,
				body,
			},
			cost,
			(count) => {
				const atMs = epochNow();
				const prompt = record.firstTokenMs === undefined ? body.length * PROMPT_COST_PER_BYTE : 0;
				record.firstTokenMs ??= atMs;
				this.deliveries.push({ atMs, account: source.account, service: count + prompt });
			},
		);
		if (!this.hasEnded) {
			record.endMs = epochNow();
			record.outcome = outcome;
		}
		return outcome;
	}
}

/** @returns milliseconds since the epoch, with sub-millisecond resolution */
export function epochNow(): number {
	return performance.timeOrigin + performance.now();
}
