/**
 * What may be done with a request whose first attempt failed after it was sent.
 *
 * - `repeatable`: it may run any number of times.
 * - `once`: it must not be sent again.
 */
export type RepeatPolicy = 'repeatable' | 'once';

/** One of the services among which a route splits its requests. */
export interface RouteTarget {
	readonly service: string;
	/** Part of the route's requests, relative to the other targets; greater than 0. */
	readonly weight: number;
}

/** What becomes of the requests of one host below one path prefix. */
export interface Route {
	readonly name: string;
	/** Lower-case value of the header `host`. */
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly targets: readonly RouteTarget[];
	readonly repeat: RepeatPolicy;
	/** Answers are streams of events. */
	readonly streams: boolean;
	/** A broken stream can continue on another backend server after its last event. */
	readonly resumable: boolean;
	/** Longest time until the whole answer, in milliseconds. */
	readonly timeoutMs: number;
	/** Time in milliseconds within which an answer, or the first event of a stream, is on time. */
	readonly aimMs: number;
	/** Longest pause in milliseconds between events of a stream that is on time. */
	readonly pauseAimMs: number | undefined;
	/** Rank of the requests; 0 is the most urgent. */
	readonly priority: number;
	/** Backend servers that one request may reach. */
	readonly maximumAttempts: number;
	/** Needs no key. */
	readonly isPublic: boolean;
}

/** Size of the model engines of a service. */
export interface EngineSize {
	/** Requests in one batch. */
	readonly batchSlots: number;
	/** Tokens that fit into the memory for running requests and cached prompt parts. */
	readonly memoryTokens: number;
	/** Generated tokens in one event of a stream. */
	readonly tokensPerEvent: number;
}

/** A service that routes lead to. */
export interface RoutedService {
	readonly name: string;
	/** Connections that one backend server accepts from all routers together. */
	readonly maximumConnections: number;
	/** Undefined for plain services. */
	readonly engine: EngineSize | undefined;
	/** Requests a second that one backend server bears while it is cold; infinite when it bears all. */
	readonly coldRequestsPerSecond: number;
}

/** A client account and the keys that authenticate it. */
export interface RoutedAccount {
	readonly name: string;
	readonly keys: readonly string[];
	/** Takes precedence over a route's priority. */
	readonly priority: number | undefined;
}

/** Limits on what callers may send. */
export interface IngressLimits {
	readonly maximumHeaderBytes: number;
	readonly maximumBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
	/** Tokens a second of all model engines together, a generated token counted twice; undefined when not stated. */
	readonly tokensPerSecond: number | undefined;
}

/** One version of everything that decides where a request goes. */
export interface RoutingConfiguration {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly RoutedService[];
	/** Undefined when requests need no key. */
	readonly accounts: readonly RoutedAccount[] | undefined;
	readonly limits: IngressLimits;
}
