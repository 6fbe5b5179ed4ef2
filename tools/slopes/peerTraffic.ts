/**
 * Measures the cost of control messages. `--role receive` prints its address and counts updates. `--role send` connects to
 * `--port` and sends `--rate` updates per second, `--batch` of them in each frame, for `--seconds`. Both print their CPU
 * time and counts as a JSON line at the end.
 */
import { parseArgs } from 'node:util';
import type { PoolUpdate } from '../../src/peers/common/generated/masticloom/peers/v1/peers.js';
import { INSECURE_PEERS } from '../../src/peers/node/peerSecurity.js';
import { GrpcPeerNetwork } from '../../src/peers/node/grpcPeerNetwork.js';
import { shortKey } from '../../src/base/common/shortKey.js';
import { sleep } from '../fleet/processes.js';
import { readWrittenBytes } from './processUsage.js';

const { values } = parseArgs({
	options: {
		role: { type: 'string', default: 'receive' },
		port: { type: 'string', default: '0' },
		rate: { type: 'string', default: '100' },
		batch: { type: 'string', default: '1' },
		seconds: { type: 'string', default: '5' },
	},
});

/** Interval at which the sender sends the updates that are due, in milliseconds. */
const TICK_MS = 4;
const SETTLE_MS = 500;
const GRANTS_PER_UPDATE = 2;
const BASES_PER_UPDATE = 2;

function createUpdate(sequence: number): PoolUpdate {
	const indices = (count: number): readonly number[] => Array.from({ length: count }, (_, index) => index);
	return {
		pool: shortKey('models'),
		term: 3,
		sequence,
		grants: indices(GRANTS_PER_UPDATE).map((index) => ({ backend: shortKey(`engine-${index}`), count: 1 })),
		recalls: [],
		accounts: indices(BASES_PER_UPDATE).map((index) => index),
		excesses: indices(BASES_PER_UPDATE).map((index) => sequence + index),
		floor: sequence * 1.2,
		slack: 12.5,
		quantum: 1.5,
		contended: true,
		reportRequested: false,
	};
}

async function openNetwork(instance: string): Promise<readonly [GrpcPeerNetwork, number]> {
	const network = GrpcPeerNetwork.create({
		instance,
		failureDomain: 'east-1',
		address: '127.0.0.1:0',
		...INSECURE_PEERS,
		serveConfiguration: () => ({ version: 0, document: new Uint8Array() }),
	});
	return [network, await network.listen()];
}

async function send(): Promise<void> {
	const [network] = await openNetwork('a-sender');
	network.setEndpoints([{ instance: 'b-receiver', address: `127.0.0.1:${values.port}` }]);
	await sleep(SETTLE_MS);
	const rate = Number(values.rate);
	const batch = Number(values.batch);
	const startedAt = performance.now();
	const startCpu = process.cpuUsage();
	const startBytes = readWrittenBytes(process.pid);
	const end = startedAt + Number(values.seconds) * 1_000;
	let sent = 0;
	let frames = 0;
	while (performance.now() < end) {
		const due = Math.floor(((performance.now() - startedAt) / 1_000) * rate);
		while (due - sent >= batch) {
			const updates = Array.from({ length: batch }, () => createUpdate(++sent));
			network.send('b-receiver', { updates });
			frames++;
			// The network merges messages sent in the same event loop turn into one frame, so each frame is sent in its own turn.
			await new Promise((resolve) => setImmediate(resolve));
			await new Promise((resolve) => setImmediate(resolve));
		}
		await sleep(TICK_MS);
	}
	printUsage(startCpu, startedAt, { sent, frames, writtenBytes: readWrittenBytes(process.pid) - startBytes });
	await sleep(SETTLE_MS);
	network.dispose();
	process.exit(0);
}

async function receive(): Promise<void> {
	const [network, port] = await openNetwork('b-receiver');
	let received = 0;
	let startCpu = process.cpuUsage();
	let startedAt = performance.now();
	network.onDidReceive(({ frame }) => {
		if (frame.updates.length > 0 && received === 0) {
			startCpu = process.cpuUsage();
			startedAt = performance.now();
		}
		received += frame.updates.length;
	});
	network.onDidChangePeer((peer) => {
		if (peer.state === 'gone') {
			printUsage(startCpu, startedAt, { received });
			process.exit(0);
		}
	});
	process.stdout.write(`${JSON.stringify({ address: `127.0.0.1:${port}` })}\n`);
	await Promise.resolve();
}

function printUsage(startCpu: NodeJS.CpuUsage, startedAt: number, counts: Readonly<Record<string, number>>): void {
	const used = process.cpuUsage(startCpu);
	const seconds = (performance.now() - startedAt) / 1_000;
	const cpuMsPerSecond = (used.user + used.system) / 1_000 / seconds;
	process.stdout.write(`${JSON.stringify({ cpuMsPerSecond, seconds, ...counts })}\n`);
}

await (values.role === 'send' ? send() : receive());
