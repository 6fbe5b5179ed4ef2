import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { VersionSource } from '../../streams/common/streamVersions.js';

const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.8, 1.2, 2, 4, 8, 16];
const ERROR_BUCKETS_SECONDS = [-0.4, -0.2, -0.1, -0.05, -0.02, 0, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 5];
const MILLISECONDS_PER_SECOND = 1_000;

/** Counters and histograms of the gateway. */
export class GatewayMetrics {
	private readonly registry = new Registry();
	private readonly requests = new Counter({
		name: 'masticloom_gateway_requests_total',
		help: 'Requests of callers by service, status sent and reason.',
		labelNames: ['service', 'status', 'reason'],
		registers: [this.registry],
	});
	private readonly retries = new Counter({
		name: 'masticloom_gateway_retries_total',
		help: 'Requests that were sent to a further backend server, by service.',
		labelNames: ['service'],
		registers: [this.registry],
	});
	private readonly handovers = new Counter({
		name: 'masticloom_gateway_handovers_total',
		help: 'Requests that were handed over to another router, by service and the reason why its answer was not passed on.',
		labelNames: ['service', 'reason'],
		registers: [this.registry],
	});
	private readonly notices = new Counter({
		name: 'masticloom_gateway_server_notices_total',
		help: 'What backend servers said of themselves in answers, by service and kind.',
		labelNames: ['service', 'kind'],
		registers: [this.registry],
	});
	private readonly leftDomainRequests = new Counter({
		name: 'masticloom_router_left_domain_requests_total',
		help: "Attempts sent to servers outside the router's failure domain, by service and domain of the server.",
		labelNames: ['service', 'domain'],
		registers: [this.registry],
	});
	private readonly leftDomainBytes = new Counter({
		name: 'masticloom_router_left_domain_bytes_total',
		help: 'Bytes of request and response bodies of these attempts, by service, domain of the server and direction.',
		labelNames: ['service', 'domain', 'direction'],
		registers: [this.registry],
	});
	private readonly resumptions = new Counter({
		name: 'masticloom_gateway_resumptions_total',
		help: 'Requests that take a stream up, by service and from where the version that began it is known.',
		labelNames: ['service', 'source'],
		registers: [this.registry],
	});
	private readonly memoryRefusals = new Counter({
		name: 'masticloom_router_server_memory_refusals_total',
		help: 'Requests refused for the memory of servers, by service and reason: full, or smaller than the request.',
		labelNames: ['service', 'reason'],
		registers: [this.registry],
	});
	private readonly firstEvent = new Histogram({
		name: 'masticloom_gateway_first_event_seconds',
		help: 'Time from the arrival of a request to the first bytes of its answer, by service.',
		labelNames: ['service'],
		buckets: LATENCY_BUCKETS_SECONDS,
		registers: [this.registry],
	});
	private readonly predictionError = new Histogram({
		name: 'masticloom_gateway_prediction_error_seconds',
		help: 'Observed time to the first event less the predicted time, by service.',
		labelNames: ['service'],
		buckets: ERROR_BUCKETS_SECONDS,
		registers: [this.registry],
	});
	private readonly total = new Histogram({
		name: 'masticloom_gateway_request_seconds',
		help: 'Time from the arrival of a request to the end of its answer, by service.',
		labelNames: ['service'],
		buckets: LATENCY_BUCKETS_SECONDS,
		registers: [this.registry],
	});

	private constructor() {}

	/** @returns metrics without observations */
	public static create(): GatewayMetrics {
		return new GatewayMetrics();
	}

	/** Media type of {@link render}. */
	public get contentType(): string {
		return this.registry.contentType;
	}

	/** @returns all metrics in the Prometheus text format */
	public render(): Promise<string> {
		return this.registry.metrics();
	}

	/**
	 * Adds a gauge whose value is read when the metrics are rendered.
	 *
	 * @param name of the metric
	 * @param help description of the metric
	 * @param read returns the current value
	 */
	public addGauge(name: string, help: string, read: () => number): void {
		new Gauge({
			name,
			help,
			registers: [this.registry],
			collect() {
				this.set(read());
			},
		});
	}

	/**
	 * Adds a gauge with a value for each combination of labels, which are read when the metrics are rendered.
	 *
	 * @param name of the metric
	 * @param help description of the metric
	 * @param labelNames names of the labels
	 * @param read returns the current values
	 */
	public addLabelledGauge(
		name: string,
		help: string,
		labelNames: readonly string[],
		read: () => readonly { readonly labels: Readonly<Record<string, string>>; readonly value: number }[],
	): void {
		new Gauge({
			name,
			help,
			labelNames: [...labelNames],
			registers: [this.registry],
			collect() {
				this.reset();
				read().forEach(({ labels, value }) => this.set(labels, value));
			},
		});
	}

	/**
	 * Counts an attempt that was sent to another failure domain.
	 *
	 * @param service of the request
	 * @param domain failure domain of the server
	 * @param bytes of the request body
	 */
	public countLeftDomain(service: string, domain: string, bytes: number): void {
		this.leftDomainRequests.inc({ service, domain });
		this.leftDomainBytes.inc({ service, domain, direction: 'request' }, bytes);
	}

	/**
	 * @param service of the request
	 * @param domain failure domain of the server
	 * @param bytes of a response body that were received from another failure domain
	 */
	public countBytesFromOtherDomain(service: string, domain: string, bytes: number): void {
		this.leftDomainBytes.inc({ service, domain, direction: 'response' }, bytes);
	}

	/**
	 * Counts a request that has ended.
	 *
	 * @param service of the request; empty when it has no route
	 * @param status sent to the caller; 0 when the caller disconnected first
	 * @param reason code of a response that the router generated itself; empty for the response of a backend server
	 * @param totalMs milliseconds from the arrival to the end
	 */
	public countRequest(service: string, status: number, reason: string, totalMs: number): void {
		this.requests.inc({ service, status: String(status), reason });
		this.total.observe({ service }, totalMs / MILLISECONDS_PER_SECOND);
	}

	/** @param service of the request that is retried */
	public countRetry(service: string): void {
		this.retries.inc({ service });
	}

	/**
	 * @param service of the server
	 * @param kind of the notice
	 */
	public countServerNotice(service: string, kind: 'leaving' | 'rest' | 'limit' | 'unreadable'): void {
		this.notices.inc({ service, kind });
	}

	/**
	 * @param service of a request that is refused
	 * @param reason whether the memory of the servers is full now, or smaller than the request
	 */
	public countMemoryRefusal(service: string, reason: 'full' | 'too-small'): void {
		this.memoryRefusals.inc({ service, reason });
	}

	/**
	 * @param service of a request that takes a stream up
	 * @param source from where the version that began the stream is known
	 */
	public countResumption(service: string, source: VersionSource | 'unknown'): void {
		this.resumptions.inc({ service, source });
	}

	/**
	 * @param service of the request that was handed over
	 * @param reason why the response of the other router was not passed on; empty when it was
	 */
	public countHandover(service: string, reason: string): void {
		this.handovers.inc({ service, reason });
	}

	/**
	 * @param service of the request
	 * @param observedMs milliseconds from the arrival to the first bytes of the response body
	 * @param predictedMs predicted milliseconds; undefined for plain services
	 */
	public observeFirstEvent(service: string, observedMs: number, predictedMs: number | undefined): void {
		this.firstEvent.observe({ service }, observedMs / MILLISECONDS_PER_SECOND);
		if (predictedMs !== undefined) {
			this.predictionError.observe({ service }, (observedMs - predictedMs) / MILLISECONDS_PER_SECOND);
		}
	}
}
