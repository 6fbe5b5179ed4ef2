/** Shortest time without CPU that counts as a pause; a CPU quota throttles a process for less than a tenth of a second. */
const MINIMUM_PAUSE_MS = 500;

/** Fraction of the time below which a process has not run; saturated ones on the smallest instances use more. */
const MAXIMUM_CPU_FRACTION = 0.1;

/**
 * Distinguishes a process that was frozen from one whose CPU is saturated, which also runs its timers late.
 *
 * @param lateMs milliseconds by which a timer was late
 * @param cpuMs CPU time in milliseconds that the process has used since the timer was set
 * @returns whether the process was not running
 */
export function isProcessPause(lateMs: number, cpuMs: number): boolean {
	return lateMs >= MINIMUM_PAUSE_MS && cpuMs < lateMs * MAXIMUM_CPU_FRACTION;
}
