import { readFileSync } from 'node:fs';

// Linux reports CPU time in ticks of 1/100 s (USER_HZ) on all supported platforms.
const TICKS_PER_SECOND = 100;
// Indices of the fields after the closing parenthesis of the command name in /proc/PID/stat; see proc(5).
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/**
 * Reads the CPU time of a process from /proc.
 *
 * @param pid process id
 * @returns seconds of user and system time; 0 when the process no longer exists
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
