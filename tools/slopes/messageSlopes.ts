import { randomUUID } from 'node:crypto';
import { PoolReport } from '../../src/peers/common/generated/masticloom/peers/v1/peers.js';
import { PoolScheduler } from '../../src/scheduling/common/poolScheduler.js';
import { ProcessGroup } from '../fleet/processes.js';
import { type Slope, type SlopePoint, fitSlope } from './slope.js';

const UPDATE_RATES = [250, 1_000, 4_000];
const BATCH_SIZES = [1, 4, 16];
const SECONDS = 4;
const BACKLOGGED_COUNTS = [100, 500, 1_000, 1_900];
const REPORTS_PER_POINT = 2_000;
const BACKEND = 1;
const QUEUED_REQUESTS = 1;
const EXPECTED_COST = 100;

interface TrafficResult {
	readonly cpuMsPerSecond: number;
	readonly seconds: number;
	readonly sent?: number;
	readonly writtenBytes?: number;
}

/** @returns CPU time of sender and receiver as a function of the update rate, for several frame sizes, and bytes per update */
export async function measureMessages(): Promise<readonly Slope[]> {
	const slopes: Slope[] = [];
	const bytes: SlopePoint[] = [];
	for (const batch of BATCH_SIZES) {
		const cpu: SlopePoint[] = [];
		for (const rate of UPDATE_RATES) {
			const { sender, receiver } = await measureTraffic(rate, batch);
			cpu.push({ x: rate, y: sender.cpuMsPerSecond + receiver.cpuMsPerSecond });
			if (rate === UPDATE_RATES[1]) {
				bytes.push({ x: batch, y: (sender.writtenBytes ?? 0) / (sender.sent ?? 1) });
			}
		}
		const labels = { x: 'updates per second', y: `CPU of both ends, ms/s, ${batch} updates a frame` };
		slopes.push(fitSlope(`messages-cpu-${batch}`, labels, cpu));
	}
	return [...slopes, fitSlope('messages-bytes', { x: 'updates a frame', y: 'bytes on the wire per update' }, bytes)];
}

async function measureTraffic(
	rate: number,
	batch: number,
): Promise<{ readonly sender: TrafficResult; readonly receiver: TrafficResult }> {
	const group = ProcessGroup.create();
	try {
		const script = 'tools/slopes/peerTraffic.js';
		const receiver = await group.startStandIn('receiver', script, ['--role', 'receive']);
		const port = String(receiver.ready.address).split(':')[1] ?? '';
		const options = { role: 'send', port, rate: String(rate), batch: String(batch), seconds: String(SECONDS) };
		const sender = group.start(
			'sender',
			script,
			Object.entries(options).flatMap(([name, value]) => [`--${name}`, value]),
		);
		await Promise.all([sender.exit, receiver.program.exit]);
		const parseResult = (lines: readonly string[]): TrafficResult => JSON.parse(lines.at(-1) ?? '{}') as TrafficResult;
		return { sender: parseResult(sender.lastLines), receiver: parseResult(receiver.program.lastLines) };
	} finally {
		await group.end();
	}
}

/**
 * @returns CPU time of the scheduler per report and grant, and per search for outdated views of entries, as functions of
 * the number of backlogged accounts
 */
export function measureDecisions(): readonly Slope[] {
	const reports: SlopePoint[] = [];
	const driftScans: SlopePoint[] = [];
	for (const x of BACKLOGGED_COUNTS) {
		const withoutDrift = measureDecisionTime(x, false);
		reports.push({ x, y: withoutDrift });
		driftScans.push({ x, y: measureDecisionTime(x, true) - withoutDrift });
	}
	return [
		fitSlope('decisions-cpu', { x: 'backlogged accounts', y: 'scheduler CPU per report and grant, µs' }, reports),
		fitSlope('drift-scan-cpu', { x: 'backlogged accounts', y: 'scheduler CPU per search for drift, µs' }, driftScans),
	];
}

function measureDecisionTime(backlogged: number, withDrift: boolean): number {
	// The pool has one slot and each report returns it, so each report causes exactly one grant.
	const slotLimits = new Map([[BACKEND, 1]]);
	const scheduler = PoolScheduler.create(1, 1, { slack: 2, slotLimits, shareOf: () => 1 });
	const incarnation = randomUUID();
	const numbers = Array.from({ length: backlogged }, (_, index) => index);
	const empty = PoolReport.create({ pool: 1, term: 1, acknowledged: Number.MAX_SAFE_INTEGER });
	scheduler.applyReport('entry', incarnation, {
		...empty,
		complete: true,
		newAccounts: numbers.map((number) => number + 1),
		accounts: numbers,
		demands: numbers.map(() => 2 * QUEUED_REQUESTS),
		charged: numbers.map(() => 0),
		excesses: numbers.map(() => 0),
		expectedCosts: numbers.map((account) => ({ account, cost: EXPECTED_COST })),
	});
	scheduler.finishRebuild();
	scheduler.takeUpdate('entry');
	const startedAt = process.cpuUsage();
	for (let round = 0; round < REPORTS_PER_POINT; round++) {
		const accountFields = { accounts: [round % backlogged], demands: [2 * QUEUED_REQUESTS], charged: [round] };
		const slots = [{ backend: BACKEND, held: 0, failed: false }];
		scheduler.applyReport('entry', incarnation, { ...empty, ...accountFields, slots });
		for (const instance of scheduler.entriesToUpdate(withDrift)) {
			scheduler.takeUpdate(instance);
		}
	}
	const used = process.cpuUsage(startedAt);
	return (used.user + used.system) / REPORTS_PER_POINT;
}
