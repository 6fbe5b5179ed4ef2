import { readFileSync } from 'node:fs';

// Linux counts CPU time in ticks of 1/100 s on all supported platforms (USER_HZ).
const TICKS_PER_SECOND = 100;
// Fields after the command's closing parenthesis in /proc/PID/stat, from proc(5).
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/**
 * Reads the CPU time of a process of this run.
 *
 * @param pid process id
 * @returns seconds of user and system time; 0 when the process has ended
 */
export function readCpuSeconds(pid: number): number {
	try {
		const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
		const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
		return (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) / TICKS_PER_SECOND;
	} catch {
		return 0;
	}
}
