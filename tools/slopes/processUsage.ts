import { readFileSync } from 'node:fs';
import { readCpuSeconds } from '../fleet/processStatistics.js';
import { sleep } from '../fleet/processes.js';

/** What processes used over a window, as the mean over the processes. */
export interface ProcessUsage {
	/** Milliseconds of CPU per second. */
	readonly cpuMsPerSecond: number;
	/** Bytes written to sockets and pipes per second. */
	readonly writtenBytesPerSecond: number;
}

/**
 * Reads from the system what processes of this run use.
 *
 * @param pids process ids
 * @param windowMs length of the window
 * @returns the mean over the processes
 */
export async function measureProcessUsage(pids: readonly number[], windowMs: number): Promise<ProcessUsage> {
	const startedAt = performance.now();
	const before = pids.map((pid) => [readCpuSeconds(pid), readWrittenBytes(pid)] as const);
	await sleep(windowMs);
	const seconds = (performance.now() - startedAt) / 1_000;
	let cpu = 0;
	let written = 0;
	pids.forEach((pid, index) => {
		const [cpuBefore, writtenBefore] = before[index] ?? [0, 0];
		cpu += readCpuSeconds(pid) - cpuBefore;
		written += readWrittenBytes(pid) - writtenBefore;
	});
	return {
		cpuMsPerSecond: (cpu * 1_000) / seconds / pids.length,
		writtenBytesPerSecond: written / seconds / pids.length,
	};
}

/**
 * @param pid process id
 * @returns bytes that the process passed to write calls since its start, sockets included (proc(5), `wchar`)
 */
export function readWrittenBytes(pid: number): number {
	return Number(/^wchar: (\d+)$/m.exec(readFileSync(`/proc/${pid}/io`, 'utf8'))?.[1] ?? 0);
}
