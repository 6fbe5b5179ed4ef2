import { describe, expect, test } from '@jest/globals';
import { FleetAssignments } from '../common/fleetAssignments.js';

const ROUTERS = Array.from({ length: 40 }, (_, index) => `router-${index}`);
const SERVERS = Array.from({ length: 80 }, (_, index) => `engine-${index}`);

function dutiesOf(own: string, routers: readonly string[]): FleetAssignments {
	const duties = FleetAssignments.create(own);
	const others = routers.filter((name) => name !== own);
	duties.setRouters(others, others.length + 1);
	return duties;
}

describe('FleetDuties', () => {
	test('all routers name the same keeper of each queue', () => {
		const keepersBy = ROUTERS.map((own) => SERVERS.map((server) => dutiesOf(own, ROUTERS).queueOwnerOf(server)));
		for (const keepers of keepersBy) {
			expect(keepers).toEqual(keepersBy[0]);
		}
		// Forty routers are four groups.
		expect(new Set(keepersBy[0]).size).toBeLessThanOrEqual(4);
		expect(new Set(keepersBy[0]).size).toBeGreaterThan(1);
	});

	// When the queues of all engines moved at each lost router, nobody knew what was in them.
	test('only the queues of a router that is lost move', () => {
		const [own = '', ...others] = ROUTERS;
		const duties = dutiesOf(own, ROUTERS);
		const before = SERVERS.map((server) => duties.queueOwnerOf(server));
		const lost = before.find((keeper) => keeper !== own);
		const moved = duties.setRouters(
			others.filter((name) => name !== lost),
			ROUTERS.length,
		);
		expect(moved).toBe(true);
		const after = SERVERS.map((server) => duties.queueOwnerOf(server));
		expect(after).not.toContain(lost);
		expect(after.filter((keeper, index) => keeper !== before[index])).toHaveLength(
			before.filter((keeper) => keeper === lost).length,
		);
		const idle = others.find((name) => !before.includes(name) && name !== lost);
		const without = others.filter((name) => name !== lost && name !== idle);
		expect(duties.setRouters(without, ROUTERS.length)).toBe(false);
	});

	test('every router of a small fleet keeps all queues', () => {
		const duties = dutiesOf('router-1', ROUTERS.slice(0, 8));
		expect(duties.isLargeFleet).toBe(false);
		expect(SERVERS.every((server) => duties.ownsQueueOf(server))).toBe(true);
	});

	// A fleet that has lost most of its routers for a moment must not change how it works.
	test('a large fleet stays one while most of its routers are lost', () => {
		const duties = dutiesOf('router-0', ROUTERS);
		duties.setRouters(ROUTERS.slice(1, 4), ROUTERS.length);
		expect(duties.isLargeFleet).toBe(true);
	});

	test('as many routers as wanted have a duty, and others take it over', () => {
		const readers = (routers: readonly string[]): readonly string[] =>
			routers.filter((own) => dutiesOf(own, routers).isAssigned('store', 5));
		const before = readers(ROUTERS);
		expect(before).toHaveLength(5);
		const left = ROUTERS.filter((name) => !before.slice(0, 2).includes(name));
		expect(readers(left)).toHaveLength(5);
		expect(readers(left)).toEqual(expect.arrayContaining(before.slice(2)));
	});
});
