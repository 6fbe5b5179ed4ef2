import { describe, expect, test } from '@jest/globals';
import { shortKey } from '../../base/common/shortKey.js';
import type { PromptWork } from '../common/engineChoice.js';
import { EngineFleet } from '../common/engineFleet.js';
import { prefillMs, streamPauseMs } from '../common/prefillTime.js';
import { engineWith, SERVICE } from './engineFixture.js';

const NO_SERVERS: ReadonlySet<string> = new Set();

function fleetOf(...ids: readonly string[]): EngineFleet {
	const fleet = EngineFleet.create('router-1', 'a');
	fleet.setServers(
		ids.map((id) => engineWith(id)),
		0,
	);
	return fleet;
}

let prompts = 0;

function promptWith(document: string, overrides: Partial<PromptWork> = {}): PromptWork {
	return {
		parts: [
			{ key: shortKey('system'), tokens: 500 },
			{ key: shortKey(document), tokens: 5_000 },
			{ key: shortKey(`own part of prompt ${++prompts}`), tokens: 1_000 },
		],
		promptTokens: 6_500,
		tokensPerEvent: 5,
		pauseAimMs: 500,
		...overrides,
	};
}

function placeBest(fleet: EngineFleet, work: PromptWork, now: number): string {
	const [option] = fleet.rankedOptions(SERVICE, work, NO_SERVERS, now);
	if (option === undefined) {
		throw new Error('no engine could take the prompt');
	}
	fleet.place(option, work, now);
	return option.server.id;
}

describe('EngineFleet', () => {
	test('requests about one document go to the engine that has cached it', () => {
		const fleet = fleetOf('one', 'two', 'three', 'four');
		const first = placeBest(fleet, promptWith('tides'), 0);
		for (let now = 500; now < 5_000; now += 500) {
			expect(placeBest(fleet, promptWith('tides'), now)).toBe(first);
		}
	});

	test('a document with much traffic is prefilled by a second engine rather than queued at the first', () => {
		const fleet = fleetOf('one', 'two', 'three', 'four');
		const used = new Set<string>();
		for (let index = 0; index < 60; index++) {
			used.add(placeBest(fleet, promptWith('tides'), index * 10));
		}
		expect(used.size).toBeGreaterThan(1);
	});

	test('routers without information about each other choose the same engine for an unknown document', () => {
		const choices = ['router-1', 'router-2', 'router-3'].map((name) => {
			const fleet = EngineFleet.create(name, name);
			fleet.setServers(
				['one', 'two', 'three'].map((id) => engineWith(id)),
				0,
			);
			return placeBest(fleet, promptWith('tides'), 0);
		});
		expect(new Set(choices).size).toBe(1);
	});

	test('a placement of a peer counts as queued work and as a document that is cached', () => {
		const fleet = fleetOf('one', 'two');
		const parts = promptWith('tides').parts.slice(0, -1);
		fleet.applyPlacement(
			'router-2',
			{ server: shortKey('two'), sequence: 1, workMs: 120, parts: parts.map(({ key }) => key) },
			0,
		);
		const [best, other] = fleet.rankedOptions(SERVICE, promptWith('tides'), NO_SERVERS, 200);
		expect(best?.server.id).toBe('two');
		expect(best?.workMs).toBeCloseTo(prefillMs(6_500, 5_500));
		expect(other?.rereadTokens).toBe(5_500);
		expect(fleet.rankedOptions(SERVICE, promptWith('tides'), NO_SERVERS, 20)[0]?.waitMs).toBeCloseTo(100);
	});

	test('an engine that has restarted has nothing queued or cached from before', () => {
		const fleet = fleetOf('one');
		placeBest(fleet, promptWith('tides'), 0);
		fleet.setServers([engineWith('one', { startedAt: 2 })], 100);
		const [option] = fleet.rankedOptions(SERVICE, promptWith('tides'), NO_SERVERS, 100);
		expect(option?.waitMs).toBe(0);
		expect(option?.workMs).toBeCloseTo(prefillMs(6_500, 0));
	});

	// A prompt of 50,000 tokens pauses every stream of its engine for longer than the target.
	test('the longest prompts are placed at engines with few streams', () => {
		const fleet = fleetOf('busy', 'quiet');
		fleet.applyInProgress('router-2', new Map([[shortKey('busy'), 12]]));
		const long = promptWith('history', { promptTokens: 50_000, parts: [{ key: 1, tokens: 50_000 }] });
		fleet.applyPlacement('router-2', { server: shortKey('quiet'), sequence: 1, workMs: 300, parts: [] }, 0);
		expect(fleet.rankedOptions(SERVICE, long, NO_SERVERS, 0)[0]?.server.id).toBe('quiet');
		expect(fleet.rankedOptions(SERVICE, promptWith('tides'), NO_SERVERS, 0)[0]?.server.id).toBe('busy');
	});

	// Guards against engines with 12 slots that look idle while all slots are taken: requests waited 2 s for a slot.
	test('an engine without a free slot has a predicted wait', () => {
		const fleet = fleetOf('full', 'free');
		fleet.setServers([engineWith('full', { slots: 12 }), engineWith('free', { slots: 12 })], 0);
		fleet.applyInProgress('router-2', new Map([[shortKey('full'), 14]]));
		const options = fleet.rankedOptions(SERVICE, promptWith('tides'), NO_SERVERS, 0);
		expect(options.find(({ server }) => server.id === 'full')?.waitMs).toBeGreaterThan(200);
		expect(options.find(({ server }) => server.id === 'free')?.waitMs).toBe(0);
	});

	test('a placement of a peer occupies a slot until the next report of the peer', () => {
		const fleet = fleetOf('one');
		const inProgress = (): number | undefined =>
			fleet.rankedOptions(SERVICE, promptWith('tides'), NO_SERVERS, 0)[0]?.inProgress;
		fleet.applyPlacement('router-2', { server: shortKey('one'), sequence: 1, workMs: 10, parts: [] }, 0);
		expect(inProgress()).toBe(1);
		fleet.applyInProgress('router-2', new Map());
		expect(inProgress()).toBe(0);
	});

	test('an engine that fails half of its requests immediately is not preferred because it looks idle', () => {
		const fleet = fleetOf('grey', 'sound');
		for (let now = 0; now < 1_000; now += 50) {
			fleet.outcomesOf('grey')?.record(now % 100 === 0 ? 'failed' : 'answered', now);
		}
		fleet.applyPlacement('router-2', { server: shortKey('sound'), sequence: 1, workMs: 200, parts: [] }, 1_000);
		expect(fleet.rankedOptions(SERVICE, promptWith('tides'), NO_SERVERS, 1_000)[0]?.server.id).toBe('sound');
	});

	// Load pattern: two engines are busy most of the time, and a third one has lost power and looks idle.
	test('an engine that has stopped without ending its connections receives few prompts', () => {
		const fleet = fleetOf('dark', 'one', 'two');
		const readUntil = new Map<string, number>();
		let inPrefill: { readonly id: string; readonly sequence: number; readonly endsAt: number }[] = [];
		let atDarkEngine = 0;
		for (let now = 0; now < 4_000; now += 65) {
			for (const { id, sequence, endsAt } of inPrefill.filter((item) => item.endsAt <= now)) {
				fleet.recordFirstEvent(id, sequence, endsAt);
				fleet.recordEnd(id, sequence, { hadFirstEvent: true, slotTimeMs: 10, outcome: 'answered' }, endsAt);
			}
			inPrefill = inPrefill.filter(({ endsAt }) => endsAt > now);
			const work = promptWith(`document ${now}`);
			const [option] = fleet.rankedOptions(SERVICE, work, NO_SERVERS, now).filter(({ health }) => health.usable);
			if (option === undefined) {
				throw new Error('no engine is usable');
			}
			const { id } = option.server;
			const sequence = fleet.place(option, work, now);
			if (id === 'dark') {
				atDarkEngine++;
				continue;
			}
			const endsAt = Math.max(now, readUntil.get(id) ?? 0) + option.workMs;
			readUntil.set(id, endsAt);
			inPrefill.push({ id, sequence, endsAt });
		}
		expect(atDarkEngine).toBeLessThan(10);
	});

	test('an engine that is unreachable is excluded for a while and then tried again', () => {
		const fleet = fleetOf('dead');
		fleet.outcomesOf('dead')?.record('unreachable', 0);
		expect(fleet.rankedOptions(SERVICE, promptWith('tides'), NO_SERVERS, 100)[0]?.health.usable).toBe(false);
		expect(fleet.rankedOptions(SERVICE, promptWith('tides'), NO_SERVERS, 500)[0]?.health.usable).toBe(true);
	});
});

describe('streamPauseMs', () => {
	test('grows with the chunks that are prefilled between two events', () => {
		expect(streamPauseMs(1_000, 0, 5)).toBeLessThan(60);
		expect(streamPauseMs(12_000, 0, 5)).toBeLessThan(350);
		expect(streamPauseMs(50_000, 0, 5)).toBeGreaterThan(500);
	});
});
