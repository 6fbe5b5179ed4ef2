import { readFileSync } from 'node:fs';
import { readCpuSeconds } from '../fleet/processStatistics.js';
import { sleep } from '../fleet/processes.js';

/** CPU time and written bytes of processes during a measurement window, as the mean over the processes. */
export interface ProcessUsage {
	/** CPU time in milliseconds per second. */
	readonly cpuMsPerSecond: number;
	/** Bytes per second passed to write calls, including those for sockets and pipes. */
	readonly writtenBytesPerSecond: number;
}

/**
 * Measures CPU time and written bytes of processes from /proc.
 *
 * @param pids process ids
 * @param windowMs duration of the measurement in milliseconds
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
 * @returns bytes that the process has passed to write calls since its start, including sockets (`wchar` in proc(5))
 */
export function readWrittenBytes(pid: number): number {
	return Number(/^wchar: (\d+)$/m.exec(readFileSync(`/proc/${pid}/io`, 'utf8'))?.[1] ?? 0);
}
