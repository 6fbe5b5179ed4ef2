import { afterEach, describe, expect, test } from '@jest/globals';
import { Effect, Fiber } from 'effect';
import { systemClock } from '../../base/common/clock.js';
import type { EngineOption, PlacementLimits } from '../../engines/common/engineChoice.js';
import type { ReservationResult } from '../../engines/common/queueReservations.js';
import {
	disposeRouters,
	type FixtureRouter,
	LARGE_FLEET_ROUTERS,
	server,
	startLargeFleet,
	waitUntil,
	shortPrompt,
} from './fleetFixture.js';

const NETWORK = '127.0.206';

/** Longer than any turn of the event loop that this many routers in one process take on a busy machine. */
const PATIENT_TIMEOUT_MS = 5_000;

afterEach(disposeRouters);

function keeperAmong(routers: readonly FixtureRouter[]): FixtureRouter {
	const keeper = routers.find(({ assignments: duties }) => duties.ownsQueueOf(server.id));
	if (keeper === undefined) {
		throw new Error('nobody keeps the queue');
	}
	return keeper;
}

function optionAt({ engines }: FixtureRouter): EngineOption {
	const [option] = engines.rankedOptions(server.service, shortPrompt, new Set(), systemClock.now());
	if (option === undefined) {
		throw new Error('no engine');
	}
	return option;
}

const NO_CLAIM = { account: 0, cost: 0 };

function termsWith(limitMs: number): PlacementLimits {
	return { limitMs, maximumLoad: 1, maximumRereadTokens: Infinity };
}

function reserve(router: FixtureRouter, limitMs = 500, promptTokens = 60_000): Promise<ReservationResult> {
	const prompt = { ...shortPrompt, promptTokens };
	return Effect.runPromise(
		router.reservations.reserve(optionAt(router), prompt, new Set(), termsWith(limitMs), NO_CLAIM),
	);
}

const waitAt = (router: FixtureRouter): number => optionAt(router).waitMs;

describe('QueueReservations', () => {
	test('a place that one router takes is work ahead for the others', async () => {
		const routers = await startLargeFleet(NETWORK, PATIENT_TIMEOUT_MS);
		const keeper = keeperAmong(routers);
		const [one, two] = routers.filter((router) => router !== keeper);
		if (one === undefined || two === undefined) {
			throw new Error('no other routers');
		}
		const first = await reserve(one);
		expect(first).toMatchObject({ kind: 'reserved', reservation: { confirmed: true } });
		expect(waitAt(keeper)).toBeGreaterThan(500);
		expect(await reserve(two)).toEqual({ kind: 'declined' });
		expect(waitAt(two)).toBeGreaterThan(500);
		// The report of the keeper tells routers that have not asked.
		await waitUntil(() => routers.every((router) => waitAt(router) > 300));
	});

	test('the end of a request frees its place', async () => {
		const routers = await startLargeFleet(NETWORK, PATIENT_TIMEOUT_MS);
		const keeper = keeperAmong(routers);
		const one = routers.find((router) => router !== keeper);
		const result = one && (await reserve(one));
		if (one === undefined || result?.kind !== 'reserved') {
			throw new Error('no place');
		}
		const sequence = one.engines.place(optionAt(one), shortPrompt, systemClock.now(), result.reservation);
		await waitUntil(() => optionAt(keeper).inProgress === 1);
		one.engines.recordEnd(
			server.id,
			sequence,
			{ hadFirstEvent: false, slotTimeMs: undefined, outcome: undefined },
			systemClock.now(),
		);
		await waitUntil(() => optionAt(keeper).inProgress === 0 && waitAt(keeper) === 0);
	});

	test('a place that was asked for by a caller that left is given back', async () => {
		const routers = await startLargeFleet(NETWORK, PATIENT_TIMEOUT_MS);
		const keeper = keeperAmong(routers);
		const one = routers.find((router) => router !== keeper);
		if (one === undefined) {
			throw new Error('no other router');
		}
		const fiber = Effect.runFork(
			one.reservations.reserve(
				optionAt(one),
				{ ...shortPrompt, promptTokens: 60_000 },
				new Set(),
				termsWith(500),
				NO_CLAIM,
			),
		);
		await Effect.runPromise(Fiber.interrupt(fiber));
		await waitUntil(() => waitAt(keeper) > 0);
		await waitUntil(() => waitAt(keeper) === 0 && optionAt(keeper).inProgress === 0);
	});

	// A request waited for a keeper that had lost its power.
	test('a keeper that does not answer holds nothing up, and the next one learns what is in its queue', async () => {
		const routers = await startLargeFleet(NETWORK);
		const keeper = keeperAmong(routers);
		const others = routers.filter((router) => router !== keeper);
		const [one] = others;
		const placed = one && (await reserve(one, 500, 300_000));
		if (one === undefined || placed?.kind !== 'reserved') {
			throw new Error('no place');
		}
		one.engines.place(optionAt(one), { ...shortPrompt, promptTokens: 300_000 }, systemClock.now(), placed.reservation);
		keeper.owner.dispose();
		const askedAt = Date.now();
		const result = await reserve(one, 10_000);
		expect(result).toMatchObject({ kind: 'reserved', reservation: { confirmed: false } });
		expect(Date.now() - askedAt).toBeLessThan(300);
		expect(one.events).toContain('reservation-unanswered');
		await waitUntil(() => others.every(({ exchange }) => exchange.routerCount === LARGE_FLEET_ROUTERS - 1), 10_000);
		const next = keeperAmong(others);
		await waitUntil(() => waitAt(next) > 500);
	});
});
