import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { Verdict } from '../../base/common/verdict.js';
import { METRIC_FAMILIES, type MetricFamily, type MetricReaders, type MetricSample } from '../common/metricFamilies.js';

// The default of 10 ms wakes the process 100 times per second.
const EVENT_LOOP_PRECISION_MS = 100;
const WAIT_BUCKETS_SECONDS = [0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1, 5, 10, 30, 60, 300];

/** Outcome of one request of a caller. */
export interface FinishedRequest {
	/** Undefined when the request was refused before its service was identified. */
	readonly service: string | undefined;
	readonly verdict: Verdict;
	/** HTTP status sent to the caller; undefined when the connection broke before a status was sent. */
	readonly status: number | undefined;
	/** Whether the complete response was sent. */
	readonly whole: boolean;
	/** Time in the queue in milliseconds. */
	readonly waitMs?: number;
}

/** Metrics of one router. */
export class RouterMetrics {
	private readonly registry = new Registry();
	private readonly requests = new Counter({
		name: 'masticloom_requests_total',
		help: 'Requests of callers by service, verdict, status sent, and whether the whole answer was sent.',
		labelNames: ['service', 'verdict', 'status', 'whole'],
		registers: [this.registry],
	});
	private readonly wait = new Histogram({
		name: 'masticloom_request_wait_seconds',
		help: 'Time that requests spent in the queue.',
		labelNames: ['service'],
		buckets: WAIT_BUCKETS_SECONDS,
		registers: [this.registry],
	});
	private constructor() {}

	/**
	 * @param readers functions that read the current values
	 * @returns the metrics, including those of the Node.js process
	 */
	public static create(readers: MetricReaders): RouterMetrics {
		const metrics = new RouterMetrics();
		collectDefaultMetrics({ register: metrics.registry, eventLoopMonitoringPrecision: EVENT_LOOP_PRECISION_MS });
		for (const [key, read] of Object.entries(readers)) {
			metrics.addFamily(METRIC_FAMILIES[key as keyof MetricReaders], read);
		}
		return metrics;
	}

	/** @param request request to count by its outcome */
	public countRequest(request: FinishedRequest): void {
		const service = request.service ?? '';
		this.requests.inc({
			service,
			verdict: request.verdict,
			status: request.status ?? 'none',
			whole: String(request.whole),
		});
		if (request.waitMs !== undefined) {
			this.wait.observe({ service }, request.waitMs / 1_000);
		}
	}

	/** Media type of {@link render}. */
	public get contentType(): string {
		return this.registry.contentType;
	}

	/** @returns all metrics in the Prometheus text format */
	public render(): Promise<string> {
		return this.registry.metrics();
	}

	private addFamily(family: MetricFamily, read: () => readonly MetricSample[]): void {
		const options = {
			name: family.name,
			help: family.help,
			labelNames: [...family.labels],
			registers: [this.registry],
		};
		if (family.kind === 'gauge') {
			new Gauge({
				...options,
				collect() {
					this.reset();
					read().forEach((sample) => this.set({ ...sample.labels }, sample.value));
				},
			});
			return;
		}
		new Counter({
			...options,
			collect() {
				// The components keep absolute totals, so the counter is rebuilt on each scrape.
				this.reset();
				read().forEach((sample) => this.inc({ ...sample.labels }, sample.value));
			},
		});
	}
}
