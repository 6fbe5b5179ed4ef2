import { createHash } from 'node:crypto';
import * as http from 'node:http';
import { sleep } from '../fleet/processes.js';
import { drawArrivalTimes, drawClosedLoopStarts } from './arrivals.js';
import { callCompletion, type CallOutcome } from './completionCall.js';
import { drawCost, createRandom, type CostRange, type RequestSource } from './workload.js';

// Prompt tokens cost a fraction of generated ones, and four bytes of the body count as one token (src/dispatch).
const PROMPT_COST_PER_BYTE = 0.05 / 4;
// A closed loop sends again this long after a refusal or a broken connection, so that it stays backlogged.
const PAUSE_AFTER_FAILURE_MS = 100;

/** What the load sends and where. */
export interface LoadOptions {
	readonly seed: number;
	readonly sources: readonly RequestSource[];
	readonly costs: CostRange;
	/** Base URLs of the routers, by the index that sources name. */
	readonly routers: readonly string[];
	/** Token of each account. */
	readonly tokens: readonly string[];
	/** Service and path, such as `drafts/v1/completions`. */
	readonly path: string;
	readonly durationMs: number;
}

/** One request of the load. Times are milliseconds since the epoch, so that they compare with those of stand-ins. */
export interface RequestRecord {
	/** SHA-256 digest of the body, by which the stand-ins name the request. */
	readonly id: string;
	readonly account: number;
	readonly router: number;
	readonly sentMs: number;
	firstTokenMs: number | undefined;
	endMs: number | undefined;
	outcome: CallOutcome | undefined;
}

/** Service as it arrived at callers, in the order of arrival. */
export interface Delivery {
	readonly atMs: number;
	readonly account: number;
	readonly service: number;
}

/** Everything that a load recorded. */
export interface LoadRecord {
	readonly startMs: number;
	endMs: number;
	readonly requests: readonly RequestRecord[];
	readonly deliveries: readonly Delivery[];
}

/** Sends the requests of all sources until the plan's duration has passed, and records what callers see. */
export class LoadGenerator {
	private readonly requests: RequestRecord[] = [];
	private readonly deliveries: Delivery[] = [];
	private readonly agents: readonly http.Agent[];
	private readonly pending = new Set<Promise<void>>();
	private sequence = 0;
	private startMs = 0;
	private ended = false;

	private constructor(private readonly plan: LoadOptions) {
		this.agents = plan.routers.map(() => new http.Agent({ keepAlive: true }));
	}

	/**
	 * @param plan what to send
	 * @returns a load that has not begun
	 */
	public static create(plan: LoadOptions): LoadGenerator {
		return new LoadGenerator(plan);
	}

	/**
	 * Sends until the plan's duration has passed, then waits for the requests in progress.
	 *
	 * @param drainMs longest wait for requests in progress after the load, in milliseconds; the rest is lost
	 * @returns what was recorded
	 */
	public async run(drainMs: number): Promise<LoadRecord> {
		this.startMs = epochNow();
		const ends = this.plan.sources.map((source) =>
			source.ratePerSecond === undefined ? this.runClosed(source) : this.runOpen(source),
		);
		await sleep(this.plan.durationMs);
		const endMs = epochNow();
		await Promise.race([Promise.all(ends).then(() => Promise.all(this.pending)), sleep(drainMs)]);
		// Connections that break from here on are broken by this end.
		this.ended = true;
		this.agents.forEach((agent) => {
			agent.destroy();
		});
		return { startMs: this.startMs, endMs, requests: this.requests, deliveries: this.deliveries };
	}

	private async runClosed(source: RequestSource): Promise<void> {
		const random = createRandom(this.plan.seed, source);
		const untilMs = Math.min(source.untilMs ?? Infinity, this.plan.durationMs);
		const chain = async (startMs: number): Promise<void> => {
			await sleep(startMs);
			while (epochNow() - this.startMs < untilMs) {
				const outcome = await this.send(source, drawCost(this.plan.costs, random));
				if (outcome.result !== 'whole') {
					await sleep(PAUSE_AFTER_FAILURE_MS);
				}
			}
		};
		await Promise.all(drawClosedLoopStarts(this.plan.seed, source).map(chain));
	}

	private async runOpen(source: RequestSource): Promise<void> {
		const random = createRandom(this.plan.seed, source);
		for (const at of drawArrivalTimes(this.plan.seed, source, this.plan.durationMs)) {
			const wait = this.startMs + at - epochNow();
			if (wait > 1) {
				await sleep(wait);
			}
			const sent = this.send(source, drawCost(this.plan.costs, random)).then(() => void this.pending.delete(sent));
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
				router: new URL(this.plan.routers[source.router] ?? ''),
				agent: this.agents[source.router] ?? http.globalAgent,
				token: this.plan.tokens[source.account] ?? '',
				path: this.plan.path,
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
		if (!this.ended) {
			record.endMs = epochNow();
			record.outcome = outcome;
		}
		return outcome;
	}
}

/** @returns milliseconds since the epoch with a resolution below a millisecond */
export function epochNow(): number {
	return performance.timeOrigin + performance.now();
}
