import { describe, expect, test } from '@jest/globals';
import { parseLoadReport } from '../common/loadReport.js';
import { ServerHealth } from '../common/serverHealth.js';

const CONFIGURED = 8;

function report(running: number, waiting: number, draining = 0): ReturnType<typeof parseLoadReport> {
	return parseLoadReport(
		`# TYPE engine_requests_running gauge\nengine_requests_running{model="m"} ${running}\n` +
			`engine_requests_waiting ${waiting}\nengine_draining ${draining}\nother_total 5\n`,
	);
}

describe('ServerHealth', () => {
	// Guards against a limit that drops to the minimum because several delayed reports show the same overload, and
	// against a limit that stays low.
	test('lowers the limit once per overload and raises it again one step at a time', () => {
		let now = 0;
		const health = ServerHealth.create({ now: () => now });
		const limits: number[] = [];
		for (const [time, running, waiting] of [
			[0, 5, 3],
			[500, 5, 3],
			[1_000, 5, 0],
			[1_500, 5, 0],
			[2_000, 5, 0],
			[3_000, 5, 0],
			[4_000, 5, 0],
		] as const) {
			now = time;
			health.recordReport(report(running, waiting), CONFIGURED);
			limits.push(health.slotLimit(CONFIGURED));
		}
		expect(limits).toEqual([5, 5, 6, 6, 7, 8, 8]);
	});

	// Guards against sending requests to a server that is draining or down, and against never using it again afterwards.
	test('has no slots while draining or down', () => {
		const health = ServerHealth.create({ now: () => 0 });
		health.recordReport(report(1, 0, 1), CONFIGURED);
		expect([health.state, health.slotLimit(CONFIGURED)]).toEqual(['draining', 0]);
		health.recordReport(undefined, CONFIGURED);
		expect([health.state, health.slotLimit(CONFIGURED)]).toEqual(['live', CONFIGURED]);
		health.recordFailedPoll(false);
		expect(health.slotLimit(CONFIGURED)).toBe(CONFIGURED);
		health.recordFailedPoll(false);
		expect([health.state, health.slotLimit(CONFIGURED)]).toEqual(['down', 0]);
		health.recordReport(report(0, 0), CONFIGURED);
		health.recordFailedPoll(true);
		expect(health.state).toBe('down');
	});

	// Guards against overloading a server that refuses requests and therefore reports none as waiting.
	test('lowers the limit when a router was refused and the report shows fewer running requests', () => {
		const health = ServerHealth.create({ now: () => 0 });
		health.recordRequestFailure();
		health.recordReport(report(6, 0), CONFIGURED);
		expect(health.slotLimit(CONFIGURED)).toBe(6);
	});
});
