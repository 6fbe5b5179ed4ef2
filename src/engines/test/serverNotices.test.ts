import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { shortKey } from '../../base/common/shortKey.js';
import { EngineFleet } from '../common/engineFleet.js';
import { ServerNotices } from '../common/serverNotices.js';
import { engineWith, reservationWith, SERVICE } from './engineFixture.js';

const WORK = { parts: [], promptTokens: 1_000, tokensPerEvent: 5, pauseAimMs: 500 };
const NO_SERVERS: ReadonlySet<string> = new Set();

function fleetWith(...ids: readonly string[]): EngineFleet {
	const fleet = EngineFleet.create('router-1', 'a');
	fleet.setServers(
		ids.map((id) => engineWith(id)),
		0,
	);
	return fleet;
}

function usableAt(fleet: EngineFleet, now: number): readonly string[] {
	return fleet
		.rankedOptions(SERVICE, WORK, NO_SERVERS, now)
		.filter(({ health }) => health.usable)
		.map(({ server }) => server.id)
		.sort();
}

describe('ServerNotices', () => {
	test('the longest time without requests counts', () => {
		fc.assert(
			fc.property(fc.array(fc.nat(10_000), { minLength: 1 }), (times) => {
				const notices = ServerNotices.create();
				times.forEach((milliseconds) => notices.rest(milliseconds, 0, 0));
				expect(notices.blockedMs(0)).toBe(Math.max(...times));
			}),
		);
	});

	// Otherwise all waiting requests would arrive in the same millisecond.
	test('a server receives one request at a time at the end of a backoff', () => {
		const notices = ServerNotices.create();
		notices.rest(3_000, 0, 0);
		expect(notices.allowsRequest(2_999, 0)).toBe(false);
		expect(notices.allowsRequest(3_000, 0)).toBe(true);
		expect(notices.allowsRequest(3_000, 1)).toBe(false);
		expect(notices.allowsRequest(4_000, 1)).toBe(true);
	});

	test('routers return at different times', () => {
		const returns = [0, 0.5, 1].map((random) => {
			const notices = ServerNotices.create();
			notices.rest(3_000, 0, random);
			return notices.blockedMs(0);
		});
		expect(new Set(returns).size).toBe(3);
		expect(Math.min(...returns)).toBe(3_000);
	});
});

describe('a server that is leaving', () => {
	// Guards against a server whose registration does not show that it is leaving: it received requests until it was gone.
	test('receives no further requests', () => {
		const fleet = fleetWith('engine-1', 'engine-2');
		fleet.recordLeaving('engine-1');
		expect(usableAt(fleet, 0)).toEqual(['engine-2']);
		expect(usableAt(fleet, 60_000)).toEqual(['engine-2']);
		expect(fleet.allowsRequest('engine-1', 0)).toBe(false);
	});

	test('is announced to peers once', () => {
		const fleet = fleetWith('engine-1');
		const announced: string[] = [];
		fleet.onDidReceiveLeavingNotice(({ server }) => announced.push(server));
		fleet.recordLeaving('engine-1');
		fleet.recordLeaving('engine-1');
		fleet.applyLeaving(shortKey('engine-1'));
		expect(announced).toEqual(['engine-1']);
	});

	test('is not offered by the router that owns its queue', () => {
		const fleet = fleetWith('engine-1', 'engine-2');
		fleet.applyLeaving(shortKey('engine-1'));
		const request = reservationWith(WORK, { connected: [shortKey('engine-1')], limitMs: 1_000 });
		expect(fleet.reserve('router-2', request, 0)?.server).toBe('engine-2');
		expect(fleet.ownedQueueReports(0).get(shortKey('engine-1'))?.suspendedMs).toBeGreaterThan(10_000);
		expect(fleet.ownedQueueReports(0).get(shortKey('engine-2'))?.suspendedMs).toBe(0);
	});

	test('is used again when a new incarnation is registered, and not before', () => {
		const fleet = fleetWith('engine-1');
		fleet.recordLeaving('engine-1');
		fleet.setServers([], 1_000);
		fleet.setServers([engineWith('engine-1')], 2_000);
		expect(usableAt(fleet, 2_000)).toEqual([]);
		fleet.setServers([engineWith('engine-1', { startedAt: 2 })], 3_000);
		expect(usableAt(fleet, 3_000)).toEqual(['engine-1']);
	});

	// Guards against a notice of an earlier incarnation that arrives late and excludes the new one.
	test('is used as a new incarnation although notices of the earlier one arrive later', () => {
		const fleet = fleetWith('engine-1');
		fleet.setServers([engineWith('engine-1', { startedAt: 2 })], 1_000);
		fleet.recordLeaving('engine-1', 1);
		fleet.applyLeaving(shortKey('engine-1'), 1);
		expect(usableAt(fleet, 1_000)).toEqual(['engine-1']);
		fleet.applyLeaving(shortKey('engine-1'), 2);
		expect(usableAt(fleet, 1_000)).toEqual([]);
	});

	// Guards against excluding a server without a start time permanently.
	test('and has not reported when it started is used again when it is registered again', () => {
		const fleet = EngineFleet.create('router-1', 'a');
		const server = engineWith('engine-1', { startedAt: undefined });
		fleet.setServers([server], 0);
		fleet.recordLeaving('engine-1');
		fleet.setServers([server], 500);
		expect(usableAt(fleet, 500)).toEqual([]);
		fleet.setServers([], 1_000);
		fleet.setServers([server], 2_000);
		expect(usableAt(fleet, 2_000)).toEqual(['engine-1']);
	});
});

describe('a server that accepts no requests for a while', () => {
	// Guards against sending requests again after only 60 ms, the suspension after a refusal.
	test('receives none from this router until the backoff ends', () => {
		const fleet = fleetWith('engine-1', 'engine-2');
		fleet.recordBackoff('engine-1', 3_000, 0);
		expect(usableAt(fleet, 2_999)).toEqual(['engine-2']);
		expect(usableAt(fleet, 5_000)).toEqual(['engine-1', 'engine-2']);
		expect(fleet.blockedInGroupOf('engine-1', 2_999)).toEqual(['engine-1']);
	});

	// A backoff applies to one router only: the server may have capacity for others.
	test('is offered to other routers by the router that owns its queue', () => {
		const fleet = fleetWith('engine-1');
		fleet.recordBackoff('engine-1', 3_000, 0);
		expect(fleet.ownedQueueReports(0).get(shortKey('engine-1'))?.suspendedMs).toBe(0);
	});

	test('is predicted to be usable at that time', () => {
		const fleet = fleetWith('engine-1');
		fleet.recordBackoff('engine-1', 3_000, 0);
		const [option] = fleet.rankedOptions(SERVICE, WORK, NO_SERVERS, 1_000);
		expect(option?.health.unusableMs).toBeGreaterThanOrEqual(2_000);
		expect(option?.health.unusableMs).toBeLessThanOrEqual(2_200);
	});
});
