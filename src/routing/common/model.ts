/**
 * Whether a request may be retried after an attempt that failed once the request had been sent.
 *
 * - `repeatable`: the request may run any number of times.
 * - `once`: the request must not be sent again.
 */
export type RepeatPolicy = 'repeatable' | 'once';

/** One of the services across which a route splits its requests. */
export interface RouteTarget {
	readonly service: string;
	/** Weight of the service relative to the other targets; greater than 0. */
	readonly weight: number;
}

/** How requests for one host below one path prefix are routed. */
export interface Route {
	readonly name: string;
	/** Value of the header `host` in lower case. */
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly targets: readonly RouteTarget[];
	readonly repeatPolicy: RepeatPolicy;
	/** Whether responses are event streams. */
	readonly streams: boolean;
	/** Whether a broken stream can be resumed on another backend server after its last event. */
	readonly resumable: boolean;
	/** Maximum time until the response is complete, in milliseconds. */
	readonly timeoutMs: number;
	/** Latency target in milliseconds for a response, or for the first event of a stream. */
	readonly aimMs: number;
	/** Target for the longest gap between events of a stream, in milliseconds; undefined when there is none. */
	readonly pauseAimMs: number | undefined;
	/** Priority of the requests; 0 is the highest. */
	readonly priority: number;
	/** Maximum number of backend servers that may run one request. */
	readonly maximumAttempts: number;
	/** Whether requests need no key. */
	readonly isPublic: boolean;
}

/** Capacity of each model engine of a service. */
export interface EngineSize {
	/** Maximum number of requests in a batch. */
	readonly batchSlots: number;
	/** Number of tokens that fit into the memory for running requests and cached prompt parts. */
	readonly memoryTokens: number;
	/** Number of generated tokens per event of a stream. */
	readonly tokensPerEvent: number;
}

/** A service to which routes send requests. */
export interface RoutedService {
	readonly name: string;
	/** Maximum number of connections that one backend server accepts from all routers together. */
	readonly maximumConnections: number;
	/** Undefined for plain services. */
	readonly engine: EngineSize | undefined;
	/** Requests per second that one backend server can handle while it is cold; infinite when there is no limit. */
	readonly coldRequestsPerSecond: number;
}

/** A client account and the keys that authenticate it. */
export interface RoutedAccount {
	readonly name: string;
	readonly keys: readonly string[];
	/** Overrides the priority of a route; undefined to keep it. */
	readonly priority: number | undefined;
}

/** Limits on the requests of callers. */
export interface IngressLimits {
	readonly maximumHeaderBytes: number;
	readonly maximumBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
	/** Tokens per second of all model engines together, with generated tokens counted twice; undefined when not stated. */
	readonly tokensPerSecond: number | undefined;
}

/** One version of the configuration that determines how requests are routed. */
export interface RoutingConfiguration {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly RoutedService[];
	/** Undefined when requests need no key. */
	readonly accounts: readonly RoutedAccount[] | undefined;
	readonly limits: IngressLimits;
}
