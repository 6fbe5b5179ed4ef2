import { describe, expect, test } from '@jest/globals';
import { FleetAssignments } from '../common/fleetAssignments.js';

const ROUTERS = Array.from({ length: 40 }, (_, index) => `router-${index}`);
const SERVERS = Array.from({ length: 80 }, (_, index) => `engine-${index}`);

function assignmentsOf(own: string, routers: readonly string[]): FleetAssignments {
	const assignments = FleetAssignments.create(own);
	const others = routers.filter((name) => name !== own);
	assignments.setRouters(others, others.length + 1);
	return assignments;
}

describe('FleetDuties', () => {
	test('all routers name the same keeper of each queue', () => {
		const ownersByRouter = ROUTERS.map((own) =>
			SERVERS.map((server) => assignmentsOf(own, ROUTERS).queueOwnerOf(server)),
		);
		for (const owners of ownersByRouter) {
			expect(owners).toEqual(ownersByRouter[0]);
		}
		// Forty routers have four queue groups.
		expect(new Set(ownersByRouter[0]).size).toBeLessThanOrEqual(4);
		expect(new Set(ownersByRouter[0]).size).toBeGreaterThan(1);
	});

	// Guards against moving the queues of all engines when one router is lost: no router knew the content of the queues.
	test('only the queues of a router that is lost move', () => {
		const [own = '', ...others] = ROUTERS;
		const assignments = assignmentsOf(own, ROUTERS);
		const before = SERVERS.map((server) => assignments.queueOwnerOf(server));
		const lost = before.find((owner) => owner !== own);
		const moved = assignments.setRouters(
			others.filter((name) => name !== lost),
			ROUTERS.length,
		);
		expect(moved).toBe(true);
		const after = SERVERS.map((server) => assignments.queueOwnerOf(server));
		expect(after).not.toContain(lost);
		expect(after.filter((owner, index) => owner !== before[index])).toHaveLength(
			before.filter((owner) => owner === lost).length,
		);
		const idle = others.find((name) => !before.includes(name) && name !== lost);
		const without = others.filter((name) => name !== lost && name !== idle);
		expect(assignments.setRouters(without, ROUTERS.length)).toBe(false);
	});

	test('every router of a small fleet owns all queues', () => {
		const assignments = assignmentsOf('router-1', ROUTERS.slice(0, 8));
		expect(assignments.isLargeFleet).toBe(false);
		expect(SERVERS.every((server) => assignments.ownsQueueOf(server))).toBe(true);
	});

	// A fleet that loses most of its routers for a moment must not switch to the protocol of a small fleet.
	test('a large fleet stays large while most of its routers are lost', () => {
		const assignments = assignmentsOf('router-0', ROUTERS);
		assignments.setRouters(ROUTERS.slice(1, 4), ROUTERS.length);
		expect(assignments.isLargeFleet).toBe(true);
	});

	test('a task is assigned to the requested number of routers, and others take it over', () => {
		const readers = (routers: readonly string[]): readonly string[] =>
			routers.filter((own) => assignmentsOf(own, routers).isAssigned('store', 5));
		const before = readers(ROUTERS);
		expect(before).toHaveLength(5);
		const left = ROUTERS.filter((name) => !before.slice(0, 2).includes(name));
		expect(readers(left)).toHaveLength(5);
		expect(readers(left)).toEqual(expect.arrayContaining(before.slice(2)));
	});
});
