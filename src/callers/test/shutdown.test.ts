import { createHash } from 'node:crypto';
import { describe, expect, test } from '@jest/globals';
import { Deferred, Effect } from 'effect';
import type { IResponseSink } from '../../backends/common/backendClient.js';
import { Emitter } from '../../base/common/event.js';
import type { Configuration } from '../../configuration/common/model.js';
import type { DispatchRequest } from '../../dispatch/common/dispatchService.js';
import { CallerServer } from '../node/callerServer.js';

const TOKEN = 'token of account a';

function sampleConfiguration(): Configuration {
	const tokenDigests = [createHash('sha256').update(TOKEN).digest('hex')];
	return {
		version: 1,
		accounts: [{ id: 'a', share: 1, tokenDigests, services: ['drafts'] }],
		services: [{ id: 'drafts', pool: 'p', kind: 'plain', operations: [], resumable: false, maximumBodyBytes: 1_000 }],
		pools: [{ id: 'p', slack: 1 }],
		backendServers: [],
	};
}

/** Stage at which the dispatch of a request waits until it is released. */
type Stage = 'queued' | 'sent' | 'answering';

interface Harness {
	readonly server: CallerServer;
	/** Sends a request and resolves when its dispatch has reached the stage; the response arrives later. */
	readonly send: (stage: Stage) => Promise<{ readonly response: Promise<Response> }>;
	readonly release: () => void;
}

async function withServer(use: (harness: Harness) => Promise<void>): Promise<void> {
	const released = Deferred.makeUnsafe<void>();
	const changes = Emitter.create<Configuration>();
	const reached = Emitter.create<string>();
	const dispatchUntilReleased = (request: DispatchRequest, sink: IResponseSink): Effect.Effect<void> =>
		Effect.gen(function* () {
			const stage = request.request.path.slice(1) as Stage;
			if (stage !== 'queued') {
				request.onDidChangeVerdict?.('may-have-run');
			}
			if (stage === 'answering') {
				sink.head({ status: 200, headers: {} });
				sink.write(Buffer.from('first '), () => undefined);
			}
			reached.fire(stage);
			yield* Deferred.await(released);
			if (stage === 'answering') {
				sink.write(Buffer.from('last'), () => undefined);
			}
		});
	const configuration = sampleConfiguration();
	const server = CallerServer.create(
		{ current: configuration, onDidChange: changes.event },
		{ dispatch: dispatchUntilReleased },
	);
	changes.fire(configuration);
	const port = await server.listen('127.0.0.1', 0);
	await use({
		server,
		send: async (stage) => {
			const arrived = new Promise((resolve) => reached.event((name) => name === stage && resolve(name)));
			const response = fetch(`http://127.0.0.1:${port}/services/drafts/${stage}`, {
				headers: { authorization: `Bearer ${TOKEN}` },
			});
			await Promise.race([arrived, response.catch(() => undefined)]);
			return { response };
		},
		release: () => Effect.runSync(Deferred.succeed(released, undefined)),
	});
	server.stopAccepting();
	server.dispose();
}

describe("shutdown of the callers' interface", () => {
	// Guards against truncating a response when the listener closes, and against exiting before its last bytes are
	// sent.
	test('runs a streaming response to its end while new connections are refused', () =>
		withServer(async ({ server, send, release }) => {
			const { response } = await send('answering');
			server.stopAccepting();
			await expect((await send('answering')).response).rejects.toThrow();
			expect(server.requestsInProgress).toBe(1);
			release();
			expect(await (await response).text()).toBe('first last');
			await Effect.runPromise(server.idle);
			expect(server.requestsInProgress).toBe(0);
		}));

	// Guards against a caller that repeats work that has run, or accepts a truncated response as complete.
	test('sends each aborted request its verdict', () =>
		withServer(async ({ server, send }) => {
			const queued = await send('queued');
			const sent = await send('sent');
			const answering = await send('answering');
			expect(server.abortRequests()).toBe(3);
			const queuedResponse = await queued.response;
			expect([queuedResponse.status, queuedResponse.headers.get('masticloom-verdict')]).toEqual([503, 'not-run']);
			expect(queuedResponse.headers.get('retry-after')).toMatch(/^\d+$/);
			const sentResponse = await sent.response;
			expect([sentResponse.status, sentResponse.headers.get('masticloom-verdict')]).toEqual([502, 'may-have-run']);
			await expect(answering.response.then((response) => response.text())).rejects.toThrow();
			await Effect.runPromise(server.idle);
		}));
});
