import { describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import type { IAttemptSink, IBackendClient, ServerNotice } from '../../backends/common/backendClient.js';
import { DispatchCounters } from '../node/dispatchCounters.js';

describe('DispatchCounters', () => {
	// Without the check for faults, an attempt that sends an event without end is only ended by its caller's deadline.
	test('passes faults and notices on between the client and the sink of an attempt', async () => {
		const seen: (string | undefined)[] = [];
		const client: IBackendClient = {
			call: (_server, _request, sink) =>
				Effect.sync(() => {
					sink.sent();
					sink.notice?.({ isLeaving: true, restMs: undefined, unreadableTime: undefined });
					seen.push(sink.findFault?.());
				}),
		};
		const sink: IAttemptSink = {
			head: () => undefined,
			write: () => true,
			sent: () => undefined,
			findFault: () => 'faulty',
			notice: ({ isLeaving }: ServerNotice) => seen.push(isLeaving ? 'leaving' : undefined),
		};
		const counters = DispatchCounters.create();
		const request = { method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0) };
		await Effect.runPromise(
			counters.countAttempts(client).call({ id: 'b0', url: 'http://127.0.0.1:9' }, request, sink),
		);
		expect(seen).toEqual(['leaving', 'faulty']);
		expect(counters.backends.get('b0')).toEqual({ started: 1, running: 0 });
	});
});
