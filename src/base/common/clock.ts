/** Source of time, injected so that tests can use virtual time. */
export interface IClock {
	/** @returns milliseconds on a monotonic clock with an arbitrary origin */
	now(): number;
}

/** The process's monotonic clock. */
export const systemClock: IClock = { now: () => performance.now() };
