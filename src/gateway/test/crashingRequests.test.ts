import { afterEach, describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import type { BackendFailure } from '../../backends/common/backendClient.js';
import {
	type BackendBehaviour,
	configurationWith,
	type FixtureResponse,
	type GatewayFixture,
	pause,
	routeWith,
	send,
	serverOf,
	startGateway,
} from './gatewayFixture.js';

const fixtures: GatewayFixture[] = [];

afterEach(() => fixtures.splice(0).forEach((fixture) => fixture.dispose()));

const HARMFUL_BODY = 'a request that crashes its server';
const SOUND_BODY = 'a sound request';
const EVENT = 'id: 1\ndata: text\n\n';
const EVENT_INTERVAL_MS = 15;

/** Servers that a request may end before it has to be known. */
const CRASHES_UNTIL_KNOWN = 3;

const REPETITIONS = 8;
const PAUSE_MS = 50;
const SOUND_RESPONSE_MS = 400;

interface CrashingFixture extends GatewayFixture {
	readonly ended: Set<string>;
}

const broken: BackendFailure = { kind: 'broken', verdict: 'may-have-run', message: 'aborted' };
const unreachable: BackendFailure = { kind: 'unreachable', verdict: 'not-run', message: 'refused' };

/** Simulates servers that end a while after they have begun to respond to the harmful request, and refuse connections. */
function crashAfter(crashMs: number, ended: Set<string>): BackendBehaviour {
	return (sink, request, target) =>
		Effect.gen(function* () {
			if (ended.has(target.id)) {
				return yield* Effect.fail(unreachable);
			}
			sink.sent();
			sink.head({ status: 200, headers: { 'content-type': 'text/event-stream' } });
			const isHarmful = Buffer.from(request.body).toString() === HARMFUL_BODY;
			const durationMs = isHarmful ? crashMs : SOUND_RESPONSE_MS;
			for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += EVENT_INTERVAL_MS) {
				sink.write(Buffer.from(EVENT), () => undefined);
				yield* Effect.sleep(Math.min(EVENT_INTERVAL_MS, durationMs - elapsedMs));
				if (ended.has(target.id)) {
					return yield* Effect.fail(broken);
				}
			}
			if (isHarmful) {
				ended.add(target.id);
				return yield* Effect.fail(broken);
			}
		});
}

async function startRouter(crashMs: number, servers: number): Promise<CrashingFixture> {
	const ended = new Set<string>();
	const route = routeWith({ prefix: '/drafts/', targets: [{ service: 'scribes', weight: 1 }], streams: true });
	const fixture = await startGateway(
		[crashAfter(crashMs, ended)],
		configurationWith([route]),
		Array.from({ length: servers }, (_, index) => serverOf('scribes', `scribe-${index}`)),
		1_000,
		[],
		(server) => !ended.has(server),
	);
	fixtures.push(fixture);
	return { ...fixture, ended };
}

let requests = 0;

function sendDraft(port: number, body: string): Promise<FixtureResponse> {
	const headers = { 'request-id': `request-${++requests}`, 'prompt-tokens': '300' };
	return send(port, { path: '/drafts/1', headers, body });
}

describe('a request that crashes each server that runs it', () => {
	// Guards against taking a response that has gone on for a while as proof that its request is harmless.
	test.each([0, 63, 400])('is refused after three servers, each %i ms after its first bytes', async (crashMs) => {
		const fixture = await startRouter(crashMs, 12);
		let last: FixtureResponse | undefined;
		for (let repetition = 0; repetition < REPETITIONS; repetition++) {
			last = await sendDraft(fixture.port, HARMFUL_BODY);
			await pause(PAUSE_MS);
		}
		expect(fixture.ended.size).toBeLessThanOrEqual(CRASHES_UNTIL_KNOWN);
		expect(last?.status).toBe(503);
		expect(JSON.parse(last?.body ?? '')).toMatchObject({ code: 'quarantined', verdict: 'not-run' });
	});

	// Guards against refusing whatever else ran on the servers.
	test('does not affect a request that was in progress at two of the crashes', async () => {
		const fixture = await startRouter(0, 1);
		for (let crash = 0; crash < 2; crash++) {
			const sound = sendDraft(fixture.port, SOUND_BODY);
			const harmful = sendDraft(fixture.port, HARMFUL_BODY);
			await Promise.all([sound, harmful]);
			fixture.ended.clear();
			await pause(PAUSE_MS);
		}
		const response = await sendDraft(fixture.port, SOUND_BODY);
		expect(response).toMatchObject({ status: 200, whole: true });
	});
});
