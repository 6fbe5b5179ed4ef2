import { describe, expect, test } from '@jest/globals';
import { shortKey } from '../../base/common/shortKey.js';
import type { EngineOption, PromptWork } from '../common/engineChoice.js';
import { EngineFleet } from '../common/engineFleet.js';
import type { Reservation, ReservationRequest } from '../common/placementMessages.js';
import { engineWith, SERVICE } from './engineFixture.js';

const ENGINES = 12;
const ENGINES_PER_GROUP = 4;
const ROUTERS = 40;
const REPORT_INTERVAL_MS = 500;

/** Arrivals in a millisecond that keep the engines busy for about 70 % of the time. */
const ARRIVALS_PER_MS = 0.13;
const WORK_TOKENS = 3_600;
const LIMIT_MS = 300;

/** Streams that run at the same time on the engines of a group. */
const REQUESTS_IN_PROGRESS = 14;

const engineIds = Array.from({ length: ENGINES }, (_, index) => `engine-${index}`);
/** Each group is kept by the router of its number. */
const keeperOf = (server: string): number => Math.floor(engineIds.indexOf(server) / ENGINES_PER_GROUP);

function fleetOf(router: number): EngineFleet {
	const queues = { ownsQueueOf: (server: string) => keeperOf(server) === router, queueGroupOf: keeperOf };
	const fleet = EngineFleet.create(`router-${router}`, 'a', queues);
	fleet.setServers(
		engineIds.map((id) => engineWith(id)),
		0,
	);
	return fleet;
}

/** Numbers from 0 to 1 that are the same in each run. */
function randomNumbers(seed: number): () => number {
	let state = seed;
	return () => {
		state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
		return state / 0x1_0000_0000;
	};
}

interface EndOfPrompt {
	readonly at: number;
	readonly router: number;
	readonly server: string;
	readonly sequence: number;
}

/**
 * Replays prompts that arrive at random routers, at engines that read them one after the other.
 *
 * @param asksKeepers whether routers ask the keeper of a queue, or go by its last report only
 * @returns how long the prompts waited at their engines, in ascending order, in milliseconds
 */
function waitsOf(asksKeepers: boolean): readonly number[] {
	const random = randomNumbers(7);
	const fleets = Array.from({ length: ROUTERS }, (_, router) => fleetOf(router));
	const busyUntil = new Map<string, number>();
	let ends: EndOfPrompt[] = [];
	const waits: number[] = [];
	let prompts = 0;

	const report = (now: number): void => {
		for (const keeper of fleets) {
			for (const [server, state] of keeper.ownedQueueReports(now)) {
				fleets.forEach((fleet) => fleet.applyReport(server, state, now));
			}
		}
	};
	const finish = (now: number): void => {
		for (const { at, router, server, sequence } of ends.filter((end) => end.at <= now)) {
			fleets[router]?.recordFirstEvent(server, sequence, at);
			fleets[router]?.recordEnd(
				server,
				sequence,
				{ hadFirstEvent: true, slotTimeMs: undefined, outcome: 'answered' },
				at,
			);
			const notice = { server: shortKey(server), sequence, abandoned: false };
			fleets[keeperOf(server)]?.applyFirstEvent(`router-${router}`, notice, at);
			fleets[keeperOf(server)]?.applyInProgress(`router-${router}`, new Map([[shortKey(server), 0]]), false);
		}
		ends = ends.filter((end) => end.at > now);
	};
	const reserve = (
		fleet: EngineFleet,
		router: number,
		option: EngineOption,
		work: PromptWork,
		now: number,
	): Reservation | undefined => {
		const sequence = fleet.nextSequence();
		const limitMs = Math.min(LIMIT_MS, option.waitMs + 40);
		const request = requestWith(work, { sequence, limitMs });
		const answer = fleets[keeperOf(option.server.id)]?.reserve(`router-${router}`, request, now);
		if (answer === undefined) {
			throw new Error('the keeper does not know its engines');
		}
		answer.reports.forEach((state, key) => fleet.applyReport(key, state, now));
		const { server, waitMs, delayMs, workMs } = answer;
		return server === undefined ? undefined : { server, sequence, confirmed: true, waitMs, delayMs, workMs };
	};
	const arrive = (router: number, now: number): void => {
		const fleet = fleets[router];
		const work: PromptWork = {
			parts: [{ key: shortKey(`prompt ${++prompts}`), tokens: WORK_TOKENS }],
			promptTokens: WORK_TOKENS,
			tokensPerEvent: 5,
			pauseAimMs: Infinity,
		};
		for (let choice = 0; choice < 4 && fleet !== undefined; choice++) {
			const options = fleet.rankedOptions(SERVICE, work, new Set(), now);
			const [best] = options;
			if (best === undefined) {
				return;
			}
			const isOwn = keeperOf(best.server.id) === router;
			const reservation = asksKeepers && !isOwn ? reserve(fleet, router, best, work, now) : undefined;
			if (asksKeepers && !isOwn && reservation === undefined) {
				continue;
			}
			const option = options.find(({ server }) => server.id === reservation?.server) ?? best;
			const sequence = fleet.place(option, work, now, reservation);
			const begin = Math.max(now, busyUntil.get(option.server.id) ?? 0);
			const end = begin + option.workMs;
			busyUntil.set(option.server.id, end);
			waits.push(begin - now);
			ends.push({ at: end, router, server: option.server.id, sequence });
			return;
		}
	};

	for (let now = 0; now < 8_000; now++) {
		finish(now);
		if (now % REPORT_INTERVAL_MS === 0) {
			report(now);
		}
		if (random() < ARRIVALS_PER_MS) {
			arrive(Math.floor(random() * ROUTERS), now);
		}
	}
	return waits.sort((one, other) => one - other);
}

function requestWith(work: PromptWork, overrides: Partial<ReservationRequest> = {}): ReservationRequest {
	return {
		work,
		failureDomain: 'a',
		connected: [],
		service: shortKey(SERVICE),
		excluded: [],
		sequence: 1,
		claim: { account: 0, cost: 0 },
		limitMs: 100,
		maximumLoad: 1,
		maximumRereadTokens: Infinity,
		...overrides,
	};
}

function quantile(values: readonly number[], part: number): number {
	return values[Math.floor(values.length * part)] ?? NaN;
}

describe('places in the queue of an engine', () => {
	// With reports alone, 70 routers sent the prompts of half a second to the engine that had looked idle.
	test('are given out by one router while 40 place prompts', () => {
		const byReport = waitsOf(false);
		const byKeeper = waitsOf(true);
		expect(quantile(byReport, 0.9)).toBeGreaterThan(200);
		expect(quantile(byKeeper, 0.9)).toBeLessThan(120);
		expect(quantile(byKeeper, 0.99)).toBeLessThan(LIMIT_MS);
	});

	test('are declined beyond the limit, which the asking router then knows', () => {
		const keeper = fleetOf(0);
		const asking = fleetOf(9);
		const work = longPrompt(30_000);
		const servers = Array.from({ length: ENGINES_PER_GROUP + 1 }, (_, index) => {
			const answer = keeper.reserve('router-9', requestWith(work, { sequence: index + 1 }), 0);
			answer?.reports.forEach((report, key) => asking.applyReport(key, report, 0));
			return answer?.server;
		});
		expect(new Set(servers.slice(0, -1)).size).toBe(ENGINES_PER_GROUP);
		expect(servers.at(-1)).toBeUndefined();
		const seen = asking.rankedOptions(SERVICE, work, new Set(), 0).find(({ server }) => server.id === 'engine-0');
		expect(seen?.waitMs).toBeGreaterThan(400);
	});

	test('that are asked for twice count once', () => {
		const keeper = fleetOf(0);
		const given = keeper.reserve('router-9', requestWith(longPrompt(30_000)), 0)?.server ?? '';
		const before = keeper.ownedQueueReports(0).get(shortKey(given))?.waitMs;
		keeper.applyPlacement('router-9', { server: shortKey(given), sequence: 1, workMs: 600, parts: [] }, 0);
		expect(keeper.ownedQueueReports(0).get(shortKey(given))?.waitMs).toBe(before);
	});

	// The other routers went on sending to a server that one of them had found unreachable.
	test('are not given out at a server that a peer could not reach', () => {
		const keeper = fleetOf(0);
		engineIds.slice(1).forEach((id) => keeper.applyOutcome(shortKey(id), 'unreachable', 0));
		const request = requestWith(longPrompt(100), { excluded: [shortKey('engine-0')] });
		expect(keeper.reserve('router-9', request, 100)?.server).toBeUndefined();
		expect(keeper.reserve('router-9', request, 500)?.server).toBeDefined();
	});

	// Seventy routers each sent a document to another engine, which read it again.
	test('go to the engine of the group that has read the document, whichever router asks', () => {
		const keeper = fleetOf(0);
		const prompt = (router: number): ReservationRequest => {
			const own = { key: shortKey(`prompt of ${router}`), tokens: 1_000 };
			const parts = [{ key: shortKey('tides'), tokens: 5_000 }, own];
			return requestWith({ parts, promptTokens: 6_000, tokensPerEvent: 5, pauseAimMs: Infinity }, { limitMs: 1_000 });
		};
		const given = Array.from({ length: 6 }, (_, router) => {
			const answer = keeper.reserve(`router-${router + 5}`, prompt(router), router * 200);
			const read = { server: shortKey(answer?.server ?? ''), sequence: 1, abandoned: false };
			keeper.applyFirstEvent(`router-${router + 5}`, read, router * 200 + 150);
			return answer;
		});
		expect(new Set(given.map((answer) => answer?.server)).size).toBe(1);
		expect(given[5]?.workMs).toBeLessThan(30);
	});

	// In a large fleet a router sends to each of many engines so seldom that each request needed a new connection.
	test('go to engines to which the asking router is connected while these are as good', () => {
		const connectionsOpened = (tells: boolean): number => {
			const keeper = fleetOf(0);
			const connected = Array.from({ length: ROUTERS }, () => new Set<number>());
			let opened = 0;
			const inProgress: { readonly router: string; readonly key: number }[] = [];
			for (let request = 0; request < 400; request++) {
				const now = request * 20;
				const router = request % ROUTERS;
				const known = connected[router] ?? new Set();
				const parts = [{ key: shortKey(`request ${request}`), tokens: 600 }];
				const work = { parts, promptTokens: 600, tokensPerEvent: 5, pauseAimMs: Infinity };
				const terms = { sequence: request, connected: tells ? [...known] : [] };
				const key = shortKey(keeper.reserve(`router-${router}`, requestWith(work, terms), now)?.server ?? '');
				opened += known.has(key) ? 0 : 1;
				known.add(key);
				keeper.applyFirstEvent(`router-${router}`, { server: key, sequence: request, abandoned: false }, now + 12);
				inProgress.push({ router: `router-${router}`, key });
				const ended = inProgress.length > REQUESTS_IN_PROGRESS ? inProgress.shift() : undefined;
				if (ended !== undefined) {
					keeper.applyInProgress(ended.router, new Map([[ended.key, 0]]), false);
				}
			}
			return opened;
		};
		expect(connectionsOpened(true)).toBeLessThan(0.6 * connectionsOpened(false));
	});

	test('go to engines near the asking router, not near the keeper', () => {
		const keeper = EngineFleet.create('router-0', 'a', { ownsQueueOf: () => true, queueGroupOf: () => 0 });
		keeper.setServers(
			[engineWith('engine-1', { failureDomain: 'a' }), engineWith('engine-2', { failureDomain: 'b' })],
			0,
		);
		const request = requestWith(longPrompt(600), { failureDomain: 'b' });
		expect(keeper.reserve('router-9', request, 0)?.server).toBe('engine-2');
	});

	test('that would make an engine read a document again are declined where that is not wanted', () => {
		const keeper = fleetOf(0);
		const parts = [
			{ key: shortKey('tides'), tokens: 5_000 },
			{ key: 1, tokens: 1_000 },
		];
		const work: PromptWork = { parts, promptTokens: 6_000, tokensPerEvent: 5, pauseAimMs: Infinity };
		keeper.reserve('router-9', requestWith(work), 0);
		const spare = { limitMs: 50, maximumRereadTokens: 1_000 };
		expect(keeper.reserve('router-9', requestWith(work, { ...spare, sequence: 2 }), 10)?.server).toBeUndefined();
		expect(keeper.reserve('router-9', requestWith(work, { ...spare, sequence: 3 }), 300)?.server).toBeDefined();
	});
});

function longPrompt(tokens: number): PromptWork {
	return { parts: [{ key: 1, tokens }], promptTokens: tokens, tokensPerEvent: 5, pauseAimMs: Infinity };
}
