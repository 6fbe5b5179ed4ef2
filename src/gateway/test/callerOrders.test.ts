import { createConnection, type Socket } from 'node:net';
import { afterEach, describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import fc from 'fast-check';
import {
	type BackendBehaviour,
	configurationWith,
	type GatewayFixture,
	HOST,
	KEY,
	pause,
	pauseProcess,
	respondWith,
	routeWith,
	serverOf,
	startGateway,
} from './gatewayFixture.js';
import { statusesOf } from './rawRequests.js';

/** Seeds of the orders; more by hand: `ORDERS_SEEDS=100-150 npm test -- src/gateway/test/callerOrders.test.ts`. */
const [FIRST_SEED = 1, LAST_SEED = 3] = (process.env.ORDERS_SEEDS ?? '1-3').split('-').map(Number);
const CONNECTIONS = 150;

const HEADER_TIMEOUT_MS = 400;
const IDLE_TIMEOUT_MS = 1_500;
const SLOW_RESPONSE_MS = 250;
/** Long enough to be seen as a pause of the process. */
const PAUSE_MS = 700;
const DRAIN_MS = 700;
const SETTLE_MS = 2_500;
/** Longer than the header timeout; a caller that waits for so long between two pieces may be refused. */
const LONG_WAIT_MS = 900;
const TEST_TIMEOUT_MS = 60_000;

/** Statuses that promise that the request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Something that a caller sends. */
type Message = 'request' | 'slow-request' | 'request-with-body' | 'request-in-chunks' | 'noise';

/** What one caller does: messages, cut into pieces at fractions of their bytes, with a wait before each piece. */
interface CallerOrder {
	readonly messages: readonly Message[];
	readonly cuts: readonly { readonly at: number; readonly waitMs: number }[];
}

/** When the process pauses and the router begins to stop, in milliseconds from the start; undefined when it does not. */
interface RouterOrder {
	readonly pauseAt: number | undefined;
	readonly drainAt: number | undefined;
}

const messages = fc.oneof(
	{ weight: 4, arbitrary: fc.constant<Message>('request') },
	{ weight: 4, arbitrary: fc.constantFrom<Message>('slow-request', 'request-with-body', 'request-in-chunks') },
	{ weight: 1, arbitrary: fc.constant<Message>('noise') },
);

/** Uniform, unlike the numbers with a fraction of fast-check. */
const fractions = fc.integer({ min: 0, max: 1_000 }).map((thousandths) => thousandths / 1_000);

const callerOrders: fc.Arbitrary<CallerOrder> = fc.record({
	messages: fc.array(messages, { minLength: 1, maxLength: 4 }),
	cuts: fc.array(fc.record({ at: fractions, waitMs: fc.constantFrom(0, 20, 100, 300, LONG_WAIT_MS) }), {
		maxLength: 4,
	}),
});

const routerOrders: fc.Arbitrary<RouterOrder> = fc.record({
	pauseAt: fc.option(fc.constantFrom(50, 150, 300, 500, 800, 1_200), { nil: undefined }),
	drainAt: fc.option(fc.constantFrom(50, 150, 300, 500, 800, 1_200), { nil: undefined, freq: 2 }),
});

const fixtures: GatewayFixture[] = [];
const sockets: Socket[] = [];

afterEach(() => {
	sockets.splice(0).forEach((socket) => socket.destroy());
	fixtures.splice(0).forEach((fixture) => fixture.dispose());
});

const respond: BackendBehaviour = (sink, request, target) => {
	const response = respondWith(200, 'filed')(sink, request, target);
	return request.path.endsWith('slow') ? Effect.andThen(Effect.sleep(SLOW_RESPONSE_MS), response) : response;
};

async function startRouter(): Promise<GatewayFixture> {
	const configuration = configurationWith([routeWith({ timeoutMs: 10_000, aimMs: 10_000 })]);
	const limits = { ...configuration.limits, headerTimeoutMs: HEADER_TIMEOUT_MS, idleTimeoutMs: IDLE_TIMEOUT_MS };
	const servers = ['1', '2', '3', '4'].map((name) => serverOf('desk', name));
	const fixture = await startGateway([respond], { ...configuration, limits }, servers, 2 * CONNECTIONS);
	fixture.gateway.setLimits(limits);
	fixtures.push(fixture);
	return fixture;
}

function textOf(message: Message, id: string): string {
	const head = `POST /orders/${message === 'slow-request' ? 'slow' : '1'} HTTP/1.1\r\nHost: ${HOST}\r\nAuthorization: ${KEY}\r\n`;
	switch (message) {
		case 'noise':
			return 'no request\r\n\r\n';
		case 'request-with-body':
			return `${head}Request-Id: ${id}\r\nContent-Length: 12\r\n\r\ntwelve bytes`;
		case 'request-in-chunks':
			return `${head}Request-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n`;
		default:
			return `${head}Request-Id: ${id}\r\nContent-Length: 0\r\n\r\n`;
	}
}

/** Plays one caller, which sends all of its messages whatever it receives, and returns the statuses it has read. */
async function playCaller(
	port: number,
	name: string,
	{ messages, cuts }: CallerOrder,
): Promise<() => readonly number[]> {
	const text = messages.map((message, index) => textOf(message, `${name}.${index}`)).join('');
	const positions = [...cuts].sort((left, right) => left.at - right.at);
	const socket = createConnection({ port, host: '127.0.0.1', allowHalfOpen: true });
	let received = '';
	socket.on('data', (bytes) => (received += bytes.toString()));
	socket.on('error', () => undefined);
	sockets.push(socket);
	let sent = 0;
	for (const { at, waitMs } of [...positions, { at: 1, waitMs: 0 }]) {
		const end = Math.round(at * text.length);
		if (!socket.destroyed) {
			socket.write(text.slice(sent, end));
		}
		sent = end;
		await pause(waitMs);
	}
	return () => statusesOf(received).map(Number);
}

/** Plays generated orders of all callers and of the router at once, and returns the promises that were broken. */
async function play(seed: number): Promise<readonly string[]> {
	const { port, gateway, attempts } = await startRouter();
	const orders = fc.sample(callerOrders, { seed, numRuns: CONNECTIONS });
	const [router] = fc.sample(routerOrders, { seed, numRuns: 1 });
	const timers = [
		router?.pauseAt !== undefined && setTimeout(() => pauseProcess(PAUSE_MS), router.pauseAt),
		router?.drainAt !== undefined && setTimeout(() => gateway.startDraining(), router.drainAt),
		router?.drainAt !== undefined && setTimeout(() => gateway.stopAccepting(), router.drainAt + DRAIN_MS),
	];
	const callers = await Promise.all(orders.map((order, index) => playCaller(port, `caller-${index}`, order)));
	await pause(SETTLE_MS);
	timers.forEach((timer) => timer !== false && clearTimeout(timer));
	const runs = new Map<string, number>();
	for (const { request } of attempts) {
		const id = String(request.headers['request-id']);
		runs.set(id, (runs.get(id) ?? 0) + 1);
	}
	return orders.flatMap((order, index) => {
		const waitedMs = order.cuts.reduce((sum, { waitMs }) => sum + waitMs, 0);
		const isSound = waitedMs < HEADER_TIMEOUT_MS && !order.messages.includes('noise');
		const mustAnswer = isSound && router?.drainAt === undefined;
		const statuses = callers[index]?.() ?? [];
		return order.messages.flatMap((message, position) => {
			const count = runs.get(`caller-${index}.${position}`) ?? 0;
			const status = statuses[position];
			const isBroken =
				count > 1 ||
				(count > 0 && (status === undefined || PROMISES.has(status))) ||
				(count === 0 && status === 200) ||
				(mustAnswer && status === undefined);
			const response = status === undefined ? 'no response' : `status ${status}`;
			return isBroken
				? [`${message} ${position} of ${JSON.stringify(order)} (${JSON.stringify(router)}): ${response}, ${count} runs`]
				: [];
		});
	});
}

describe('generated orders of what callers send, pauses of the process and planned stops', () => {
	const seeds = Array.from({ length: LAST_SEED - FIRST_SEED + 1 }, (_, index) => FIRST_SEED + index);

	// Guards against a request that runs although its caller was promised that it never will, or that gets no response.
	test.each(seeds)(
		'run each request at most once, and tell its caller what has become of it (seed %i)',
		async (seed) => {
			expect(await play(seed)).toEqual([]);
		},
		TEST_TIMEOUT_MS,
	);
});
