import { createConnection, createServer, type AddressInfo } from 'node:net';
import { afterEach, expect, test } from '@jest/globals';
import { systemClock } from '../../base/common/clock.js';
import { MemoryBudget } from '../../base/common/memoryBudget.js';
import { ResponseBuffering } from '../common/responseBuffering.js';
import { GatewayMetrics } from '../node/gatewayMetrics.js';
import { SlowCallerMonitor } from '../node/slowCallerMonitor.js';
import { pauseProcess } from './gatewayFixture.js';

/** Longer than the time after which a caller that does not read is disconnected while the budget is short. */
const PAUSE_MS = 3_500;
const BUDGET_BYTES = 100_000;

const cleanUps: (() => void)[] = [];

afterEach(() => cleanUps.splice(0).forEach((cleanUp) => cleanUp()));

// Guards against disconnecting a caller that has read while the process was paused, since its progress is not known yet.
test('a caller that reads during a pause of the process is not disconnected after it', async () => {
	const buffering = ResponseBuffering.create(MemoryBudget.create(BUDGET_BYTES), systemClock);
	const monitor = SlowCallerMonitor.start(buffering, { write: () => undefined }, GatewayMetrics.create());
	cleanUps.push(() => monitor.dispose());
	let isDisconnected = false;
	const held = buffering.open({ requestId: 'request-1', disconnect: () => (isDisconnected = true) });
	held.hold(BUDGET_BYTES / 2);
	// The bytes that arrive stand for the acknowledgement of the caller, which the operating system keeps during the pause.
	const server = createServer((socket) => socket.once('data', () => held.recordProgress(BUDGET_BYTES / 2)));
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
	cleanUps.push(() => server.close());
	const caller = createConnection((server.address() as AddressInfo).port, '127.0.0.1');
	cleanUps.push(() => caller.destroy());
	await new Promise((resolve) => setTimeout(resolve, PAUSE_MS / 10));
	await new Promise((resolve) => setImmediate(resolve));
	caller.write('progress');
	pauseProcess(PAUSE_MS);
	await new Promise((resolve) => setTimeout(resolve, PAUSE_MS / 10));
	expect(isDisconnected).toBe(false);
});
