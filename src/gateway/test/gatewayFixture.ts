import * as http from 'node:http';
import { Effect } from 'effect';
import type {
	BackendFailure,
	BackendRequest,
	BackendTarget,
	IAttemptSink,
	IBackendClient,
	ServerNotice,
} from '../../backends/common/backendClient.js';
import { createSuspects } from '../../backends/common/suspectRegistry.js';
import { HttpBackendClient } from '../../backends/node/httpBackendClient.js';
import { MemoryBudget } from '../../base/common/memoryBudget.js';
import { systemClock } from '../../base/common/clock.js';
import type { IDecisionLog, LogFields } from '../../base/node/structuredLog.js';
import { shortKey } from '../../base/common/shortKey.js';
import type { RegisteredServer } from '../../engines/common/directory.js';
import { EngineFleet } from '../../engines/common/engineFleet.js';
import type { PromptPart } from '../../engines/common/prefixCacheIndex.js';
import { engineWith } from '../../engines/test/engineFixture.js';
import { noRemoteReservations } from '../../engines/common/queueReservations.js';
import type { Route, RoutingConfiguration } from '../../routing/common/model.js';
import { RouteTable } from '../../routing/common/routeTable.js';
import { FleetShares } from '../../shares/common/fleetShares.js';
import { CrashDetector } from '../common/crashDetector.js';
import type { HeaderFields } from '../../base/common/headerFields.js';
import type { IHeaderCodec, StreamResumption } from '../common/ingress.js';
import { type Neighbour, NeighbourSelector } from '../common/neighbourSelector.js';
import { FleetRetryBudget } from '../common/fleetRetryBudget.js';
import type { IStreamVersions, StreamIdentity } from '../../streams/common/streamVersions.js';
import { GatewayMetrics } from '../node/gatewayMetrics.js';
import { GatewayServer } from '../node/gatewayServer.js';

/** Simulates how a backend server handles one attempt. */
export type BackendBehaviour = (
	sink: IAttemptSink,
	request: BackendRequest,
	target: BackendTarget,
) => Effect.Effect<void, BackendFailure>;

/** An attempt that reached a backend server. */
export interface RecordedAttempt {
	readonly target: BackendTarget;
	readonly request: BackendRequest;
	interrupted: boolean;
}

/** A gateway on a loopback port in front of simulated backend servers. */
export interface GatewayFixture {
	readonly port: number;
	readonly gateway: GatewayServer;
	readonly fleet: EngineFleet;
	readonly crashes: CrashDetector;
	readonly attempts: readonly RecordedAttempt[];
	readonly lines: readonly { readonly event: string; readonly fields: LogFields }[];
	readonly setConfiguration: (configuration: RoutingConfiguration | undefined) => void;
	readonly dispose: () => void;
}

/** Response that a test has received. */
export interface FixtureResponse {
	readonly status: number;
	readonly headers: http.IncomingHttpHeaders;
	readonly body: string;
	/** Whether the body is complete according to its framing. */
	readonly whole: boolean;
}

export const HOST = 'almanac.example';
export const KEY = 'key-of-harbour';

/**
 * @param overrides fields that differ
 * @returns a route whose requests are not repeatable
 */
export function routeWith(overrides: Partial<Route> = {}): Route {
	return {
		name: 'orders',
		host: HOST,
		prefix: '/orders/',
		targets: [{ service: 'desk', weight: 1 }],
		repeatPolicy: 'once',
		streams: false,
		resumable: false,
		timeoutMs: 2_000,
		aimMs: 200,
		pauseAimMs: undefined,
		priority: 1,
		maximumAttempts: 1,
		isPublic: false,
		...overrides,
	};
}

/**
 * @param routes of the configuration
 * @param overrides fields that differ
 * @returns a configuration with one account
 */
export function configurationWith(
	routes: readonly Route[],
	overrides: Partial<RoutingConfiguration> = {},
): RoutingConfiguration {
	return {
		version: 1,
		routes,
		services: [
			{ name: 'desk', maximumConnections: 10, engine: undefined, coldRequestsPerSecond: Infinity },
			{
				name: 'scribes',
				maximumConnections: 10,
				engine: { batchSlots: 8, memoryTokens: 100_000, tokensPerEvent: 5 },
				coldRequestsPerSecond: Infinity,
			},
		],
		accounts: [{ name: 'harbour', keys: [KEY], priority: undefined }],
		limits: {
			maximumHeaderBytes: 4_096,
			maximumBodyBytes: 10_000,
			headerTimeoutMs: 3_000,
			idleTimeoutMs: 5_000,
			tokensPerSecond: undefined,
		},
		...overrides,
	};
}

/** Simulates an unexpected error in the router while it decodes a request. */
function throwIfUnreadable(headers: HeaderFields): object {
	if (headers['x-unreadable'] !== undefined) {
		throw new Error('unexpected error in the header codec');
	}
	return {};
}

/** Decodes a list of part names; every part has the same number of tokens. */
function decodeParts(header: string | readonly string[] | undefined): readonly PromptPart[] {
	return typeof header === 'string' ? header.split(',').map((name) => ({ key: shortKey(name), tokens: 100 })) : [];
}

function decodeResumption(headers: HeaderFields): StreamResumption | undefined {
	const { resumes, 'resume-after': lastEventId } = headers;
	return typeof resumes === 'string' ? { firstAttempt: resumes, lastEventId: String(lastEventId) } : undefined;
}

/** Streams whose versions are remembered by the router itself; others are not known. */
function rememberVersions(): IStreamVersions {
	const versions = new Map<string, string>();
	const keyOf = ({ account, attempt }: StreamIdentity): string => `${account} ${attempt}`;
	return {
		recordBegin: (stream, version) => versions.set(keyOf(stream), version ?? ''),
		findOrigin: (_service, stream) => {
			const version = versions.get(keyOf(stream));
			return Effect.succeed(
				version === undefined ? { kind: 'unknown', isTemporary: false } : { kind: 'known', version, source: 'own' },
			);
		},
	};
}

/** Header codec for tests; the platform defines its own. */
export const testCodec: IHeaderCodec = {
	requestIdHeader: 'request-id',
	singleHeaders: ['request-id', 'deadline'],
	endToEndHeaders: new Set(['request-id']),
	decodeKey: (authorization) => authorization,
	decode: (headers) => ({
		...throwIfUnreadable(headers),
		id: String(headers['request-id'] ?? ''),
		key: typeof headers.authorization === 'string' ? headers.authorization : undefined,
		deadlineMs: headers.deadline === undefined ? undefined : Number(headers.deadline),
		parts: decodeParts(headers['prompt-parts']),
		promptTokens: Number(headers['prompt-tokens'] ?? 0),
		maximumOutputTokens: 100,
		expectedOutputTokens: undefined,
		resumption: decodeResumption(headers),
	}),
	encode: (headers, egress) => ({
		'request-id': String(headers['request-id'] ?? ''),
		...(egress.resumeAfter === undefined ? {} : { 'resume-after': egress.resumeAfter }),
		...(egress.deadlineLeftMs === undefined ? {} : { deadline: String(egress.deadlineLeftMs) }),
	}),
};

/**
 * @param service offered by the server
 * @param id of the server
 * @returns the registration of the server
 */
export function serverOf(service: string, id: string): RegisteredServer {
	return engineWith(id, { service, slots: 8 });
}

/**
 * Starts a gateway.
 *
 * @param behaviours of the attempts in order; the last one applies to all further attempts
 * @param configuration in force
 * @param servers that may get requests
 * @param maximumConnections of callers
 * @param neighbours to which requests can be handed over
 * @param isListening whether a server accepts connections when it is probed
 * @param budgetBytes memory for what callers send
 * @param responseBudget for responses that are held for slow callers
 * @returns the running gateway
 */
export async function startGateway(
	behaviours: readonly BackendBehaviour[],
	configuration: RoutingConfiguration,
	servers: readonly RegisteredServer[] = [serverOf('desk', 'desk-1'), serverOf('scribes', 'scribe-1')],
	maximumConnections = 1_000,
	neighbours: readonly Neighbour[] = [],
	isListening: (server: string) => boolean = () => true,
	budgetBytes = Infinity,
	responseBudget?: MemoryBudget,
): Promise<GatewayFixture> {
	const attempts: RecordedAttempt[] = [];
	const lines: { readonly event: string; readonly fields: LogFields }[] = [];
	const log: IDecisionLog = { write: (event, fields) => lines.push({ event, fields }) };
	const client: IBackendClient = {
		call: (target, request, sink) => {
			const recordedAttempt: RecordedAttempt = { target, request, interrupted: false };
			const behaviour = behaviours[Math.min(attempts.length, behaviours.length - 1)];
			attempts.push(recordedAttempt);
			return (behaviour?.(sink, request, target) ?? Effect.void).pipe(
				Effect.onInterrupt(() => Effect.sync(() => (recordedAttempt.interrupted = true))),
			);
		},
	};
	const handoverClient = HttpBackendClient.create();
	const fleet = EngineFleet.create('router-1', 'a');
	fleet.setServers(servers, systemClock.now());
	const crashes = CrashDetector.create({
		suspects: createSuspects(),
		probe: ({ id }) => Effect.succeed(isListening(id) ? 'accepting' : 'refusing'),
		clock: systemClock,
		reportCrash: (server, requests) => log.write('server-crashed', { server, requests }),
		reportProbe: (server, result, requests) => log.write('server-probed', { server, result, requests }),
	});
	let table: RouteTable | undefined = RouteTable.create(configuration);
	const gateway = GatewayServer.create(
		{
			clock: systemClock,
			fleet,
			reservations: noRemoteReservations,
			client,
			shares: FleetShares.create(
				{ nominalCapacityPerSecond: () => table?.configuration.limits.tokensPerSecond, load: () => undefined },
				() => 1,
			),
			codec: testCodec,
			streamVersions: rememberVersions(),
			retryBudget: FleetRetryBudget.create({ ratio: 0.2, slack: 50, windowMs: 10_000 }, () => 1),
			crashes,
			log,
			metrics: GatewayMetrics.create(),
			responseBudget,
		},
		() => table,
		{ client: handoverClient, neighbours: NeighbourSelector.create(() => neighbours) },
		MemoryBudget.create(budgetBytes),
		maximumConnections,
	);
	const port = await gateway.listen('127.0.0.1', 0);
	return {
		port,
		gateway,
		fleet,
		crashes,
		attempts,
		lines,
		setConfiguration: (next) => (table = next && RouteTable.create(next)),
		dispose: () => {
			gateway.dispose();
			handoverClient.dispose();
		},
	};
}

/**
 * Sends one request to a gateway on a connection of its own.
 *
 * @param port of the gateway
 * @param options path, method, headers and body
 * @returns the response, even if its body is cut off
 */
export function send(
	port: number,
	options: {
		readonly path?: string;
		readonly method?: string;
		readonly headers?: Readonly<Record<string, string>>;
		readonly body?: string;
	} = {},
): Promise<FixtureResponse> {
	const request = http.request({
		port,
		host: '127.0.0.1',
		method: options.method ?? 'POST',
		path: options.path ?? '/orders/1',
		agent: false,
		headers: { host: HOST, authorization: KEY, 'request-id': 'request-1', ...options.headers },
	});
	const response = receive(request);
	request.end(options.body);
	return response;
}

/** @returns the response to a request, even if its body is cut off */
export function receive(request: http.ClientRequest): Promise<FixtureResponse> {
	return new Promise((resolve, reject) => {
		request.on('error', reject);
		request.on('response', (response) => {
			let body = '';
			response.on('data', (chunk: Buffer) => (body += chunk.toString()));
			response.on('error', () => undefined);
			response.on('close', () =>
				resolve({ status: response.statusCode ?? 0, headers: response.headers, body, whole: response.complete }),
			);
		});
	});
}

/** @param milliseconds to wait */
export function pause(milliseconds: number): Promise<void> {
	return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/**
 * Waits for a condition.
 *
 * @param condition to wait for
 * @param limitMs milliseconds after which the test fails
 */
export async function waitUntil(condition: () => boolean, limitMs = 5_000): Promise<void> {
	for (const end = performance.now() + limitMs; !condition() && performance.now() < end;) {
		await pause(5);
	}
	if (!condition()) {
		throw new Error(`not met within ${limitMs} ms: ${condition.toString()}`);
	}
}

/**
 * Stops this process, as a freeze of its machine does; the operating system goes on receiving.
 *
 * @param milliseconds to stand still
 */
export function pauseProcess(milliseconds: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}

/** Blocks the event loop, as a saturated CPU does, until the load shedders of this process have recorded the lag. */
export async function blockEventLoop(): Promise<void> {
	pauseProcess(400);
	// A load shedder records the lag at its next timer.
	await new Promise((resolve) => setTimeout(resolve, 60));
}

/** @returns a behaviour that responds with a complete body */
export function respondWith(status: number, body: string): BackendBehaviour {
	return (sink) =>
		Effect.sync(() => {
			sink.sent();
			sink.head({ status, headers: { 'content-length': String(body.length), signature: 'signed' } });
			sink.write(Buffer.from(body), () => undefined);
		});
}

/**
 * @param text sent before the connection breaks
 * @param headers of the response
 * @returns a behaviour that breaks off its response
 */
export function breakConnectionAfter(text: string, headers: Readonly<Record<string, string>> = {}): BackendBehaviour {
	return (sink) =>
		Effect.andThen(
			Effect.sync(() => {
				sink.sent();
				sink.head({ status: 200, headers });
				sink.write(Buffer.from(text), () => undefined);
			}),
			Effect.fail({ kind: 'broken' as const, verdict: 'may-have-run' as const, message: 'reset' }),
		);
}

/**
 * @param notice of the server
 * @param next behaviour after the notice
 * @returns a behaviour whose response headers contain a notice
 */
export function withNotice(notice: Partial<ServerNotice>, next: BackendBehaviour): BackendBehaviour {
	return (sink, request, target) =>
		Effect.andThen(
			Effect.sync(() => sink.notice?.({ isLeaving: false, restMs: undefined, unreadableTime: undefined, ...notice })),
			next(sink, request, target),
		);
}

/** @returns a behaviour that accepts the request and never responds */
export function neverRespond(): BackendBehaviour {
	return (sink) =>
		Effect.andThen(
			Effect.sync(() => sink.sent()),
			Effect.never,
		);
}

/** @returns a behaviour that fails, before the request is sent if the server is unreachable, otherwise afterwards */
export function failWith(failure: Omit<BackendFailure, 'message'>): BackendBehaviour {
	return (sink) =>
		Effect.andThen(
			Effect.sync(() => {
				if (failure.kind !== 'unreachable') {
					sink.sent();
				}
			}),
			Effect.fail({ ...failure, message: `attempt ${failure.kind}` }),
		);
}
