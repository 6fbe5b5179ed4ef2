/** One value of a metric with its labels. */
export interface MetricSample {
	readonly labels?: Readonly<Record<string, string>>;
	readonly value: number;
}

/** Name, help text and labels of a metric whose value is read on each scrape. */
export interface MetricFamily {
	readonly name: string;
	readonly help: string;
	readonly kind: 'gauge' | 'counter';
	readonly labels: readonly string[];
}

/**
 * Metrics that are read from the components of the program on each scrape, in the order of the invariants and measures
 * on the design page. A metric that no component supplies is absent, since a zero would look like a measured value.
 */
export const METRIC_FAMILIES = {
	virtualServiceSpread: gauge(
		'masticloom_virtual_service_spread_cost_units',
		'Difference between the highest and lowest virtual service of backlogged accounts, at the scheduler of the pool.',
		['pool'],
	),
	slack: gauge(
		'masticloom_slack_cost_units',
		'How far above the floor an account may be and still reuse a slot, at the scheduler of the pool.',
		['pool'],
	),
	accountVirtualService: gauge(
		'masticloom_account_virtual_service_cost_units',
		'Service divided by share of accounts with requests on this router.',
		['pool', 'account'],
	),
	accountService: counter(
		'masticloom_account_service_cost_units_total',
		'Service charged to accounts by this router since its start.',
		['pool', 'account'],
	),
	accountQueued: gauge('masticloom_account_queued_requests', 'Requests queued on this router.', ['pool', 'account']),
	accountStalled: gauge(
		'masticloom_account_stalled_seconds',
		'Time in which requests of an account waited on this router and none of them started.',
		['pool', 'account'],
	),
	requestsInProgress: gauge(
		'masticloom_requests_in_progress',
		'Requests accepted by this router and not yet answered.',
		[],
	),
	atMostOnceRecords: counter('masticloom_at_most_once_records_total', 'Claims of at-most-once records, by result.', [
		'result',
	]),
	backendState: gauge(
		'masticloom_backend_server_state',
		'1 for the present state of a backend server (live, draining, leaving, down, unknown).',
		['pool', 'backend_server', 'state'],
	),
	backendRunning: gauge(
		'masticloom_backend_server_running_requests',
		'Requests that this router has in progress on a backend server.',
		['pool', 'backend_server'],
	),
	backendStarted: counter(
		'masticloom_backend_server_started_requests_total',
		'Requests that this router has started on a backend server.',
		['pool', 'backend_server'],
	),
	configurationVersion: gauge(
		'masticloom_configuration_version',
		'Version of the configuration in force; 0 before the first.',
		[],
	),
	slots: gauge(
		'masticloom_slots',
		'Slots of a pool: limit and leased at its scheduler, held and idle at this router.',
		['pool', 'state'],
	),
	poolContended: gauge('masticloom_pool_contended', '1 while a pool has unmet demand and no free slot.', ['pool']),
	poolContendedTime: counter(
		'masticloom_pool_contended_seconds_total',
		'Time for which a pool was contended while this router scheduled it.',
		['pool'],
	),
	idleWhileWaiting: gauge(
		'masticloom_idle_slots_while_waiting',
		'Slots that are idle at this router or free at the scheduler while a request that could use them waits.',
		['pool'],
	),
	peerBytes: counter(
		'masticloom_peer_bytes_total',
		'Bytes of messages between routers with the gRPC and HTTP/2 frame headers, by direction (sent, received).',
		['direction'],
	),
	peerMessages: counter('masticloom_peer_messages_total', 'Messages between routers by direction.', ['direction']),
	storeCalls: counter(
		'masticloom_store_calls_total',
		'Calls to the key-value store; a waiting watch counts as one.',
		[],
	),
	peers: gauge('masticloom_peers', 'Other routers by state (connecting, connected, silent, gone).', ['state']),
	schedulerTerm: gauge('masticloom_scheduler_term', 'Highest scheduler term heard of.', ['pool']),
	schedulerRole: gauge('masticloom_scheduler_role', '1 while this router is the scheduler of the pool.', ['pool']),
	ready: gauge('masticloom_ready', '1 while the router is ready for traffic.', []),
	certificateExpiry: gauge(
		'masticloom_certificate_expiry_timestamp_seconds',
		'End of validity of the certificate in use, in seconds since 1970.',
		[],
	),
} as const satisfies Readonly<Record<string, MetricFamily>>;

/** Functions that read the samples of each metric. A metric without a reader is not exported. */
export type MetricReaders = {
	readonly [Name in keyof typeof METRIC_FAMILIES]?: () => readonly MetricSample[];
};

function gauge(name: string, help: string, labels: readonly string[]): MetricFamily {
	return { name, help, kind: 'gauge', labels };
}

function counter(name: string, help: string, labels: readonly string[]): MetricFamily {
	return { name, help, kind: 'counter', labels };
}
