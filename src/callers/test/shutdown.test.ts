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

/** How far the dispatch of one request goes before it waits to be released. */
type Stage = 'queued' | 'sent' | 'answering';

interface Harness {
	readonly server: CallerServer;
	/** Sends a request and returns after its dispatch has reached the stage; the answer comes later. */
	readonly send: (stage: Stage) => Promise<{ readonly answer: Promise<Response> }>;
	readonly release: () => void;
}

async function withServer(use: (harness: Harness) => Promise<void>): Promise<void> {
	const released = Deferred.makeUnsafe<void>();
	const changes = Emitter.create<Configuration>();
	const reached = Emitter.create<string>();
	const run = (request: DispatchRequest, sink: IResponseSink): Effect.Effect<void> =>
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
	const server = CallerServer.create({ current: configuration, onDidChange: changes.event }, { dispatch: run });
	changes.fire(configuration);
	const port = await server.listen('127.0.0.1', 0);
	await use({
		server,
		send: async (stage) => {
			const arrived = new Promise((resolve) => reached.event((name) => name === stage && resolve(name)));
			const answer = fetch(`http://127.0.0.1:${port}/services/drafts/${stage}`, {
				headers: { authorization: `Bearer ${TOKEN}` },
			});
			await Promise.race([arrived, answer.catch(() => undefined)]);
			return { answer };
		},
		release: () => Effect.runSync(Deferred.succeed(released, undefined)),
	});
	server.stopAccepting();
	server.dispose();
}

describe("shutdown of the callers' interface", () => {
	// Guards against an answer that is cut off because the listener closes, and against an exit before its last bytes.
	test('runs a streaming answer to its end while new connections are refused', () =>
		withServer(async ({ server, send, release }) => {
			const { answer } = await send('answering');
			server.stopAccepting();
			await expect((await send('answering')).answer).rejects.toThrow();
			expect(server.requestsInProgress).toBe(1);
			release();
			expect(await (await answer).text()).toBe('first last');
			await Effect.runPromise(server.idle);
			expect(server.requestsInProgress).toBe(0);
		}));

	// Guards against a caller that repeats work that ran, or that takes half an answer for a whole one.
	test('gives each ended request its verdict', () =>
		withServer(async ({ server, send }) => {
			const queued = await send('queued');
			const sent = await send('sent');
			const answering = await send('answering');
			expect(server.abortRequests()).toBe(3);
			const first = await queued.answer;
			expect([first.status, first.headers.get('masticloom-verdict')]).toEqual([503, 'not-run']);
			expect(first.headers.get('retry-after')).toMatch(/^\d+$/);
			const second = await sent.answer;
			expect([second.status, second.headers.get('masticloom-verdict')]).toEqual([502, 'may-have-run']);
			await expect(answering.answer.then((response) => response.text())).rejects.toThrow();
			await Effect.runPromise(server.idle);
		}));
});
