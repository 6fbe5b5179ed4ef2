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

const HARMFUL_BODY = 'a prompt that crashes its server';

/** Crashes after which a part has to be known; the rule allows five before the router must have noticed. */
const CRASHES_UNTIL_KNOWN = 3;

/** Servers that end within this time of each other may have one cause, such as a power failure. */
const BETWEEN_CRASHES_MS = 300;

/** Time after which a prompt may test which of several parts is the cause, with a margin. */
const AMBIGUOUS_MS = 1_100;

/** Simulates servers that end when they begin to respond to a harmful prompt, and refuse connections from then on. */
function crashOnHarmfulPrompt(ended: Set<string>): BackendBehaviour {
	return (sink, request, target) =>
		Effect.suspend((): Effect.Effect<void, BackendFailure> => {
			const harmful = Buffer.from(request.body).toString() === HARMFUL_BODY;
			if (ended.has(target.id)) {
				return Effect.fail({ kind: 'unreachable' as const, verdict: 'not-run' as const, message: 'refused' });
			}
			sink.sent();
			sink.head({ status: 200, headers: { 'content-type': 'text/event-stream' } });
			sink.write(Buffer.from('id: 1\n'), () => undefined);
			if (harmful) {
				ended.add(target.id);
				return Effect.fail({ kind: 'broken' as const, verdict: 'may-have-run' as const, message: 'aborted' });
			}
			sink.write(Buffer.from('data: text\n\n'), () => undefined);
			return Effect.void;
		});
}

interface CrashingFixture extends GatewayFixture {
	readonly ended: Set<string>;
}

async function startRouter(isListening?: (server: string) => boolean): Promise<CrashingFixture> {
	const ended = new Set<string>();
	const route = routeWith({
		prefix: '/drafts/',
		targets: [{ service: 'scribes', weight: 1 }],
		streams: true,
	});
	const servers = Array.from({ length: 12 }, (_, index) => serverOf('scribes', `scribe-${index}`));
	const behaviours = [crashOnHarmfulPrompt(ended)];
	const fixture = await startGateway(
		behaviours,
		configurationWith([route]),
		servers,
		1_000,
		[],
		(server) => isListening?.(server) ?? !ended.has(server),
	);
	fixtures.push(fixture);
	return { ...fixture, ended };
}

let requests = 0;

/** Sends a prompt that has the given parts and one of its own. */
function sendPrompt(port: number, parts: readonly string[], body: string): Promise<FixtureResponse> {
	const id = `request-${++requests}`;
	const promptParts = [...parts, `own-${requests}`].join(',');
	const headers = { 'request-id': id, 'prompt-tokens': '300', 'prompt-parts': promptParts };
	return send(port, { path: `/drafts/${requests}`, headers, body });
}

async function crashServers({ port }: CrashingFixture, parts: readonly string[], count: number): Promise<void> {
	for (let crash = 0; crash < count; crash++) {
		await sendPrompt(port, [...parts, `document-${crash}`], HARMFUL_BODY);
		await pause(BETWEEN_CRASHES_MS);
	}
}

describe('a part of prompts that crashes each server that begins to respond', () => {
	// Guards against counting crashes by whole requests only: prompts that share nothing but one part crashed one server
	// after the other.
	test('is refused as not run after some crashes, whatever else the prompt has', async () => {
		const fixture = await startRouter();
		await crashServers(fixture, ['system', 'harmful'], CRASHES_UNTIL_KNOWN);
		expect(fixture.ended.size).toBe(CRASHES_UNTIL_KNOWN);
		await sendPrompt(fixture.port, ['system'], 'a harmless prompt');
		const sent = fixture.attempts.length;
		const response = await sendPrompt(fixture.port, ['system', 'harmful', 'another document'], HARMFUL_BODY);
		expect(response.status).toBe(503);
		expect(JSON.parse(response.body)).toMatchObject({ code: 'quarantined', verdict: 'not-run' });
		expect(fixture.attempts).toHaveLength(sent);
	});

	// Guards against refusing all prompts that share a part with the harmful ones, such as the system prompt of a route.
	test('does not affect prompts that share its other parts while these are served', async () => {
		const fixture = await startRouter();
		for (let crash = 0; crash < CRASHES_UNTIL_KNOWN + 1; crash++) {
			await crashServers(fixture, ['system', 'harmful'], 1);
			expect((await sendPrompt(fixture.port, ['system', 'document-0'], 'a harmless prompt')).status).toBe(200);
		}
	});

	// Guards against refusing a document for as long as the part that only ever comes with it.
	test('is told from a part that was in the same crashes by a prompt with only one of the two', async () => {
		const fixture = await startRouter();
		await crashServers(fixture, ['system', 'document', 'harmful'], CRASHES_UNTIL_KNOWN);
		await pause(AMBIGUOUS_MS);
		expect((await sendPrompt(fixture.port, ['system', 'document', 'harmful'], HARMFUL_BODY)).status).toBe(503);
		expect((await sendPrompt(fixture.port, ['system', 'document'], 'a harmless prompt')).status).toBe(200);
		expect((await sendPrompt(fixture.port, ['system', 'document'], 'a harmless prompt')).status).toBe(200);
		expect((await sendPrompt(fixture.port, ['system', 'document', 'harmful'], HARMFUL_BODY)).status).toBe(503);
		expect(fixture.ended.size).toBe(CRASHES_UNTIL_KNOWN);
	});

	test('is not taken for the cause when several servers end at once', async () => {
		const fixture = await startRouter();
		await Promise.all(
			Array.from({ length: 4 }, () => sendPrompt(fixture.port, ['system', 'shared document'], HARMFUL_BODY)),
		);
		await pause(BETWEEN_CRASHES_MS);
		expect((await sendPrompt(fixture.port, ['system', 'shared document'], 'a harmless prompt')).status).toBe(200);
	});

	test('is not suspected when its connection breaks but its server is still there', async () => {
		const fixture = await startRouter(() => true);
		const parts = ['system', 'document'];
		for (let reset = 0; reset < CRASHES_UNTIL_KNOWN + 2; reset++) {
			await sendPrompt(fixture.port, parts, HARMFUL_BODY);
			await pause(BETWEEN_CRASHES_MS);
		}
		expect((await sendPrompt(fixture.port, parts, 'a harmless prompt')).status).toBe(200);
	});
});
