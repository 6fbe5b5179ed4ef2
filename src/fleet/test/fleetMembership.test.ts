import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { FleetAssignments } from '../common/fleetAssignments.js';
import { type DeliveryRule, MembershipHarness } from './membershipHarness.js';

const ALWAYS: DeliveryRule = () => true;

function randomOf(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}

function fleetOf(routers: number, seed: number, isDelivered: DeliveryRule = ALWAYS): MembershipHarness {
	return MembershipHarness.create({ routers, domains: 6, random: randomOf(seed), isDelivered });
}

/** Mean number of datagrams that a router sends per second while the fleet does not change. */
function datagramsPerRouter(routers: number): number {
	const fleet = fleetOf(routers, 7);
	fleet.run(6_000);
	const before = fleet.sent;
	fleet.run(4_000);
	return (fleet.sent - before) / routers / 4;
}

describe('FleetMembership', () => {
	// With heartbeats from each router to all others, each of 195 routers sent 390 datagrams a second.
	test('the number of datagrams that a router sends does not grow with the fleet', () => {
		const [small = 0, medium, large] = [30, 100, 300].map(datagramsPerRouter);
		expect(medium).toBeLessThanOrEqual(small);
		expect(large).toBeLessThanOrEqual(small);
	});

	test('all routers know each other soon after they have started together', () => {
		const fleet = fleetOf(195, 1);
		fleet.run(2_500);
		expect(fleet.inconsistentRouters).toEqual([]);
	});

	test('all routers agree on the keepers of all queues', () => {
		const fleet = fleetOf(100, 2);
		fleet.run(3_000);
		const owners = fleet.running.map((name) => {
			const assignments = FleetAssignments.create(name);
			const others = fleet.servingSeenBy(name).filter((other) => other !== name);
			assignments.setRouters(others, others.length + 1);
			return Array.from({ length: 88 }, (_, index) => assignments.queueOwnerOf(`engine-${index}`)).join();
		});
		expect(new Set(owners).size).toBe(1);
	});

	// On some days 55 of 100 routers lose power at once, all relays of a domain among them.
	test('routers that lose power together are marked as lost, and are known again after their restart', () => {
		const fleet = fleetOf(120, 3);
		fleet.run(4_000);
		const random = randomOf(4);
		const stopped = fleet.running.filter(() => random() < 0.55);
		fleet.stop(stopped);
		fleet.run(4_500);
		expect(fleet.inconsistentRouters).toEqual([]);
		fleet.start(stopped);
		fleet.run(3_000);
		expect(fleet.inconsistentRouters).toEqual([]);
	});

	// A router that is cut off considers all others lost. When it is connected again, the others must not adopt that
	// view.
	test('a router that was cut off is known again, and the others still know each other', () => {
		const cutOff = { name: '', until: 0 };
		const fleet = fleetOf(
			60,
			5,
			(from, to, now) => now >= cutOff.until || (from !== cutOff.name && to !== cutOff.name),
		);
		fleet.run(4_000);
		for (const name of fleet.running.slice(0, 12)) {
			cutOff.name = name;
			cutOff.until = fleet.now + 5_500;
			fleet.run(5_000);
			const others = fleet.running.filter((other) => other !== name);
			expect(others.filter((other) => fleet.servingSeenBy(other).length < 59)).toEqual([]);
			fleet.run(4_000);
			expect(fleet.inconsistentRouters).toEqual([]);
		}
	});

	// A router that resumes after a freeze has received nothing for seconds, but the others are not lost.
	test('a router that was frozen keeps its view and is known again', () => {
		const fleet = fleetOf(60, 6);
		fleet.run(4_000);
		const [frozen = ''] = fleet.running;
		fleet.stop([frozen]);
		fleet.run(5_000);
		expect(fleet.inconsistentRouters).toEqual([]);
		fleet.resume(frozen);
		fleet.run(100);
		expect(fleet.servingSeenBy(frozen)).toHaveLength(60);
		fleet.run(2_500);
		expect(fleet.inconsistentRouters).toEqual([]);
	});

	test('views converge after any mix of stops, restarts, network cuts and datagram loss', () => {
		const event = fc.record({
			kind: fc.constantFrom('stop', 'start', 'cut-domain', 'cut-router'),
			index: fc.nat(29),
			share: fc.double({ min: 0.05, max: 0.6, noNaN: true }),
			pauseMs: fc.integer({ min: 100, max: 3_000 }),
		});
		fc.assert(
			fc.property(fc.array(event, { maxLength: 6 }), fc.nat(), fc.constantFrom(0, 0.05), (events, seed, loss) => {
				const random = randomOf(seed);
				let isConnected: DeliveryRule = ALWAYS;
				const fleet = MembershipHarness.create({
					routers: 30,
					domains: 3,
					random,
					isDelivered: (from, to, now) => isConnected(from, to, now) && random() >= loss,
				});
				fleet.run(3_000);
				for (const { kind, index, share, pauseMs } of events) {
					const all = Array.from({ length: 30 }, (_, position) => `router-${position}`);
					const isInDomain = (name: string): boolean => Number(name.slice('router-'.length)) % 3 === index % 3;
					if (kind === 'stop') {
						fleet.stop(all.filter(() => random() < share));
					} else if (kind === 'start') {
						fleet.start(all.filter((name) => !fleet.running.includes(name)));
					} else if (kind === 'cut-domain') {
						isConnected = (from, to) => isInDomain(from) === isInDomain(to);
					} else {
						isConnected = (from, to) => from !== all[index] && to !== all[index];
					}
					fleet.run(pauseMs);
				}
				isConnected = ALWAYS;
				fleet.start(Array.from({ length: 30 }, (_, position) => `router-${position}`));
				fleet.run(12_000);
				// With datagram loss, a router can be considered lost for a moment at any time.
				const limit = loss === 0 ? 0 : 2;
				expect(fleet.inconsistentRouters.length).toBeLessThanOrEqual(limit);
			}),
			{ numRuns: 25, seed: 15 },
		);
	});
});
